package operator

import (
	"context"
	"encoding/json"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// Apply declares objects as one record. It leaves out objects that are
// declared like this already, and appends nothing when none is left.
func (s *Server) Apply(ctx context.Context, q *operatorv1.ApplyRequest) (*operatorv1.ApplyResponse, error) {
	const op = "apply"
	id, err := parseID(q.GetOperation().GetId())
	if err != nil {
		return nil, err
	}
	d, err := recorder.ParseDeclaration(q.GetDeclaration())
	if err != nil {
		return nil, err
	}
	state, err := s.state(op)
	if err != nil {
		return nil, err
	}
	changes := d.Changes()
	if err := expectAll(changes, q); err != nil {
		return nil, err
	}
	if s.isFresh() {
		changes = differing(state, changes)
	}
	if len(changes) == 0 {
		return &operatorv1.ApplyResponse{Outcome: &operatorv1.Outcome{
			OperationId: id.String(), Kind: operatorv1.OutcomeKind_OUTCOME_KIND_ACCEPTED, Revision: state.Offset,
			Reason: "every object is declared like this already", Author: string(author(ctx)),
		}}, nil
	}
	changes[0].Reason = q.GetOperation().GetReason()
	o, err := s.submit(ctx, q.GetOperation(), changes)
	if err != nil {
		return nil, err
	}
	return &operatorv1.ApplyResponse{Outcome: o}, nil
}

// expectAll sets the expected revisions of the request on the changes.
func expectAll(changes []recorder.Change, q *operatorv1.ApplyRequest) error {
	const op = "read expected revisions"
	if e := expected(q.GetOperation()); e != nil {
		if len(changes) != 1 {
			return fail(op, classifier.Invalid, "one revision is given for %d objects; name each object", len(changes))
		}
		changes[0].Expect = e
	}
	left := len(q.GetExpectedRevisions())
	for i := range changes {
		if v, ok := q.GetExpectedRevisions()[changes[i].Key()]; ok {
			changes[i].Expect = &v
			left--
		}
	}
	if left != 0 {
		return fail(op, classifier.Invalid, "%d of the keys are not in the declaration", left)
	}
	return nil
}

// differing returns the changes that have an effect. A change whose expected
// revision is not the present one stays, so that the log rejects it.
func differing(s *registrar.State, changes []recorder.Change) []recorder.Change {
	var out []recorder.Change
	for _, c := range changes {
		have := s.Revision(c.Key())
		if isDeclared(s, &c) && (c.Expect == nil || *c.Expect == have) {
			continue
		}
		out = append(out, c)
	}
	return out
}

func isDeclared(s *registrar.State, c *recorder.Change) bool {
	before := declared(s, c.Key())
	return before != nil && jsonOf(before) == jsonOf(valueOf(c))
}

// Diff tells which objects of a declaration are new or differ.
func (s *Server) Diff(_ context.Context, q *operatorv1.DiffRequest) (*operatorv1.DiffResponse, error) {
	d, err := recorder.ParseDeclaration(q.GetDeclaration())
	if err != nil {
		return nil, err
	}
	state, err := s.state("diff")
	if err != nil {
		return nil, err
	}
	r := new(operatorv1.DiffResponse)
	for _, c := range differing(state, d.Changes()) {
		v := &operatorv1.Difference{
			Key: c.Key(), Kind: operatorv1.DifferenceKind_DIFFERENCE_KIND_ADDED, After: jsonOf(valueOf(&c)),
		}
		if before := declared(state, c.Key()); before != nil {
			v.Kind, v.Revision = operatorv1.DifferenceKind_DIFFERENCE_KIND_CHANGED, state.Revision(c.Key())
			v.Before = jsonOf(before)
		}
		r.Differences = append(r.Differences, v)
	}
	return r, nil
}

// Remove removes one object.
func (s *Server) Remove(ctx context.Context, q *operatorv1.RemoveRequest) (*operatorv1.RemoveResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.RemoveObject, Object: q.GetKey()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.RemoveResponse{Outcome: o}, nil
}

// jsonOf returns the JSON form of a domain type, which always has one.
func jsonOf(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(b)
}
