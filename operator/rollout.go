package operator

import (
	"context"
	"slices"
	"time"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// RolloutStart starts a rollout.
func (s *Server) RolloutStart(ctx context.Context, q *operatorv1.RolloutStartRequest) (*operatorv1.RolloutStartResponse, error) {
	r := &recorder.Rollout{
		Name: recorder.Name(q.GetName()), Model: recorder.Name(q.GetModel()), Version: recorder.Name(q.GetVersion()),
		MaxOut: int(q.GetMaxOut()), Lease: recorder.Duration(time.Duration(q.GetLeaseMs()) * time.Millisecond),
		Reason: q.GetOperation().GetReason(),
	}
	for _, t := range q.GetSteps() {
		var names []recorder.Name
		for _, d := range t.GetFailureDomains() {
			names = append(names, recorder.Name(d))
		}
		r.Steps = append(r.Steps, names)
	}
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.StartRollout, Rollout: r})
	if err != nil {
		return nil, err
	}
	return &operatorv1.RolloutStartResponse{Outcome: o}, nil
}

// RolloutPause stops the rollout from taking further endpoints out of service.
func (s *Server) RolloutPause(ctx context.Context, q *operatorv1.RolloutPauseRequest) (*operatorv1.RolloutPauseResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.PauseRollout, Object: q.GetName()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.RolloutPauseResponse{Outcome: o}, nil
}

// RolloutResume continues a paused rollout.
func (s *Server) RolloutResume(ctx context.Context, q *operatorv1.RolloutResumeRequest) (*operatorv1.RolloutResumeResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.ResumeRollout, Object: q.GetName()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.RolloutResumeResponse{Outcome: o}, nil
}

// RolloutReverse returns all endpoints to the version before the rollout.
func (s *Server) RolloutReverse(ctx context.Context, q *operatorv1.RolloutReverseRequest) (*operatorv1.RolloutReverseResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.ReverseRollout, Object: q.GetName()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.RolloutReverseResponse{Outcome: o}, nil
}

// RolloutStatus returns a rollout and its progress over the known endpoints.
func (s *Server) RolloutStatus(_ context.Context, q *operatorv1.RolloutStatusRequest) (*operatorv1.RolloutStatusResponse, error) {
	const op = "rollout status"
	state, err := s.state(op)
	if err != nil {
		return nil, err
	}
	r := state.Rollouts[recorder.Name(q.GetName())]
	if r == nil {
		return nil, fail(op, classifier.NotFound, "rollout %q does not exist", q.GetName())
	}
	return &operatorv1.RolloutStatusResponse{Rollout: rolloutOf(state, r, s.Endpoints())}, nil
}

// rolloutOf returns the wire form of a rollout.
func rolloutOf(s *registrar.State, r *registrar.Rollout, endpoints []*operatorv1.Endpoint) *operatorv1.Rollout {
	v := &operatorv1.Rollout{
		Name: string(r.Name), Model: string(r.Model), Version: string(r.Version), From: string(r.From),
		Phase: string(r.Phase), Step: uint32(r.Step), Steps: uint32(max(1, len(r.Steps))), Revision: r.Revision,
		By: string(r.By), LastBy: string(r.LastBy), Reason: r.LastReason,
		Succeeded: uint32(r.Succeeded), Failed: uint32(r.Failed), LastFailure: r.LastFailure,
		MaxOut: uint32(r.MaxOut), LeaseMs: r.Lease.Std().Milliseconds(),
	}
	target := r.Version
	if r.Phase == registrar.Reversing || r.Phase == registrar.Reversed {
		target = r.From
	}
	for _, e := range endpoints {
		if e.GetServes() != "model/"+string(r.Model) {
			continue
		}
		v.Endpoints++
		v.ChunksVerified += uint64(e.GetChunksVerified())
		v.ChunksTotal += uint64(e.GetChunksTotal())
		if e.GetVersion() == string(target) {
			v.EndpointsOnTarget++
		}
	}
	for _, g := range s.Grants {
		if g.Rollout == r.Name {
			v.Granted = append(v.Granted, string(g.Holder))
		}
	}
	slices.Sort(v.Granted)
	return v
}

// rollouts returns the rollouts that match, sorted by name.
func rollouts(s *registrar.State, match func(*registrar.Rollout) bool) []*registrar.Rollout {
	var out []*registrar.Rollout
	for _, r := range s.Rollouts {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *registrar.Rollout) int { return compareNames(a.Name, b.Name) })
	return out
}
