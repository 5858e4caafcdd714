package operator

import (
	"context"
	"time"

	"github.com/google/uuid"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// uuidLen is the length of the canonical text form, the only one accepted, so
// that one operation has one spelling in log lines.
const uuidLen = 36

// submitTimeout bounds the wait for a log that neither takes nor refuses a
// record. It is below the 6 s in which an accepted change is in force.
const submitTimeout = 5 * time.Second

func parseID(s string) (recorder.OperationID, error) {
	id, err := uuid.Parse(s)
	if err != nil || len(s) != uuidLen || id == uuid.Nil {
		return uuid.Nil, fail("read operation id", classifier.Invalid, "%q is not a UUID such as %s",
			s, "01890a5d-ac96-774b-bcce-b302099a8057")
	}
	return id, nil
}

// submitOne submits one change with the reason and the expected revision of
// the operation.
func (s *Server) submitOne(ctx context.Context, o *operatorv1.Operation, c recorder.Change) (*operatorv1.Outcome, error) {
	c.Expect, c.Reason = expected(o), o.GetReason()
	return s.submit(ctx, o, []recorder.Change{c})
}

func expected(o *operatorv1.Operation) *uint64 {
	if o == nil || o.ExpectedRevision == nil {
		return nil
	}
	v := o.GetExpectedRevision()
	return &v
}

// submit appends the changes as one record, unless the operation is known.
func (s *Server) submit(ctx context.Context, o *operatorv1.Operation, changes []recorder.Change) (*operatorv1.Outcome, error) {
	id, err := parseID(o.GetId())
	if err != nil {
		return nil, err
	}
	state, err := s.state("submit")
	if err != nil {
		return nil, err
	}
	if first, known := state.Operation(id); known {
		return outcomeOf(first, ""), nil
	}
	r := recorder.Record{
		Format: recorder.Format, Operation: id, Author: author(ctx), At: s.Now().UTC(), Changes: changes,
	}
	if _, err := r.Encode(); err != nil {
		return nil, err
	}
	c, stop := context.WithTimeout(ctx, submitTimeout)
	defer stop()
	v, err := s.Submit(c, r)
	if err == nil {
		return outcomeOf(v, o.GetReason()), nil
	}
	switch classifier.Of(err) {
	case classifier.Unavailable, classifier.Exhausted, classifier.Invalid, classifier.Refused:
		return nil, err
	}
	return &operatorv1.Outcome{
		OperationId: id.String(), Kind: operatorv1.OutcomeKind_OUTCOME_KIND_UNKNOWN,
		Rejection: classifier.OutcomeUnknown.String() + ": " + err.Error(), Reason: o.GetReason(), Author: string(r.Author),
	}, nil
}

// outcomeOf returns the wire form of an outcome. The note is the operator's
// reason, which the State does not keep.
func outcomeOf(v registrar.Outcome, note string) *operatorv1.Outcome {
	o := &operatorv1.Outcome{
		OperationId: v.Operation.String(), Kind: operatorv1.OutcomeKind_OUTCOME_KIND_ACCEPTED,
		Revision: v.Offset, Reason: note, Author: string(v.Author),
	}
	if !v.Accepted {
		o.Kind = operatorv1.OutcomeKind_OUTCOME_KIND_REJECTED
		o.Revision, o.Rejection = 0, v.Kind.String()+": "+v.Reason
	}
	return o
}
