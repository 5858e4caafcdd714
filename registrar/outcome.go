package registrar

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Outcome is the result of one operation.
type Outcome struct {
	Operation recorder.OperationID `json:"operation"`
	// Offset is the offset of the record; it is the revision when accepted.
	Offset   uint64 `json:"offset"`
	Accepted bool   `json:"accepted"`
	// Kind and Reason say why the record was rejected; empty for an accepted one.
	Kind   classifier.Kind `json:"kind,omitempty"`
	Reason string          `json:"reason,omitempty"`
	// Author is the operator or instance that made the decision.
	Author recorder.Name `json:"author"`
}

// Err returns nil for an accepted operation, else an *Error.
func (o Outcome) Err() error {
	if o.Accepted {
		return nil
	}
	return &Error{Op: "operation " + o.Operation.String(), Kind: o.Kind, Err: errors.Newf("%s", o.Reason)}
}

// Outcomes are kept in blocks. Adding one copies the list of blocks and the last
// block only, so applying a record stays cheap and earlier States stay unchanged.
const (
	blockLen  = 256
	maxBlocks = 16
)

// outcomeBlocks holds the outcomes of the latest operations, oldest first. All
// blocks but the last hold blockLen outcomes.
type outcomeBlocks [][]Outcome

func (o outcomeBlocks) add(v Outcome) outcomeBlocks {
	n := append(outcomeBlocks(nil), o...)
	if len(n) == 0 || len(n[len(n)-1]) == blockLen {
		n = append(n, nil)
	}
	last := n[len(n)-1]
	n[len(n)-1] = append(last[:len(last):len(last)], v)
	if len(n) > maxBlocks+1 {
		n = n[1:]
	}
	return n
}

// Operation returns the outcome of an operation, if it is among the latest.
func (s *State) Operation(id recorder.OperationID) (Outcome, bool) {
	for i := len(s.Operations) - 1; i >= 0; i-- {
		b := s.Operations[i]
		for j := len(b) - 1; j >= 0; j-- {
			if b[j].Operation == id {
				return b[j], true
			}
		}
	}
	return Outcome{}, false
}
