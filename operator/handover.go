package operator

import (
	"cmp"
	"context"
	"slices"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// handoverOperations is the number of operations in a handover, about what two
// operators decide in half a shift.
const handoverOperations = 20

// OperationShow tells what became of an operation. An operation that this
// gateway has not read from the log has the kind OUTCOME_KIND_UNKNOWN.
func (s *Server) OperationShow(_ context.Context, q *operatorv1.OperationShowRequest) (*operatorv1.OperationShowResponse, error) {
	id, err := parseID(q.GetId())
	if err != nil {
		return nil, err
	}
	state, err := s.state("show operation")
	if err != nil {
		return nil, err
	}
	o := &operatorv1.Outcome{OperationId: id.String(), Kind: operatorv1.OutcomeKind_OUTCOME_KIND_UNKNOWN}
	if v, known := state.Operation(id); known {
		o = outcomeOf(v, "")
	}
	return &operatorv1.OperationShowResponse{Outcome: o}, nil
}

// Handover lists the rollouts in progress, what is out of service, and the
// latest decisions of operators.
func (s *Server) Handover(context.Context, *operatorv1.HandoverRequest) (*operatorv1.HandoverResponse, error) {
	state, err := s.state("handover")
	if err != nil {
		return nil, err
	}
	r := &operatorv1.HandoverResponse{Revision: state.Offset, AgeMs: s.Age().Milliseconds()}
	endpoints := s.Endpoints()
	for _, v := range rollouts(state, (*registrar.Rollout).IsActive) {
		r.Rollouts = append(r.Rollouts, rolloutOf(state, v, endpoints))
	}
	for _, d := range state.FailureDomains {
		if d.Out {
			r.DomainsOut = append(r.DomainsOut, &operatorv1.OutDomain{
				Name: string(d.Name), By: string(d.By), Reason: d.Reason, Revision: d.Revision,
			})
		}
	}
	for n, d := range state.Drains {
		r.Drained = append(r.Drained, &operatorv1.DrainedEndpoint{
			Instance: string(n), By: string(d.By), Reason: d.Reason, Revision: d.Revision,
		})
	}
	slices.SortFunc(r.DomainsOut, func(a, b *operatorv1.OutDomain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(r.Drained, func(a, b *operatorv1.DrainedEndpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	r.Operations = latest(state)
	return r, nil
}

// latest returns the newest operations of operators, newest first. Operations
// of instances, such as grants, would hide them.
func latest(s *registrar.State) []*operatorv1.Outcome {
	var out []*operatorv1.Outcome
	for i := len(s.Operations) - 1; i >= 0; i-- {
		for _, o := range slices.Backward(s.Operations[i]) {
			if s.Operators[o.Author] == nil && o.Author != recorder.Bootstrap {
				continue
			}
			if out = append(out, outcomeOf(o, "")); len(out) == handoverOperations {
				return out
			}
		}
	}
	return out
}

func compareNames(a, b recorder.Name) int { return cmp.Compare(a, b) }
