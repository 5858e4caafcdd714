package connector

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Stamp orders the records that the processes of one writer wrote under a key. The log may
// have them in another order: the platform may execute a write without an answer seconds later.
type Stamp struct {
	// Started is the start of the writer's process. It isn't the zero time.
	Started time.Time `json:"started"`
	// Sequence increases with each record of the process.
	Sequence int64 `json:"sequence"`
}

// Compare returns a number below, equal to or above 0 if the record of s was written before, as
// or after that of o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(s.Started.Compare(o.Started), cmp.Compare(s.Sequence, o.Sequence))
}

// UnmarshalJSON decodes a stamp. It returns an error of kind Invalid if the stamp names no
// start.
func (s *Stamp) UnmarshalJSON(b []byte) error {
	const op = "decode stamp"
	type plain Stamp
	var v plain
	if err := json.Unmarshal(b, &v); err != nil {
		return &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if v.Started.IsZero() {
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.New("field started: missing")}
	}
	*s = Stamp(v)
	return nil
}
