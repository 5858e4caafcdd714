package registrar

import (
	"strings"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Target is what an endpoint should serve.
type Target struct {
	// Version is nil where the endpoint should serve nothing.
	Version *Version
	// Offset is the offset that set the target; an order to an empty engine
	// carries it as its fencing number.
	Offset uint64
	// Rollout is the rollout that set the target, or nil.
	Rollout *Rollout
	// GrantRollout is the rollout under which an endpoint takes a grant to reach
	// the version: Rollout, or the finished rollout that left the version. An
	// endpoint that was out of service or cut off while a rollout finished still
	// serves the version before. Nil where there is none.
	GrantRollout *Rollout
}

// Target returns what the endpoints of a model in a failure domain should
// serve.
func (s *State) Target(model, domain recorder.Name) Target {
	m := s.Models[model]
	if m == nil {
		return Target{}
	}
	r := s.Rollouts[m.Active]
	if r != nil && r.Phase == Reversing {
		return Target{Version: s.version(model, r.From), Offset: r.TargetAt, Rollout: r, GrantRollout: r}
	}
	if r != nil && r.Covers(domain) {
		return Target{Version: s.version(model, r.Version), Offset: r.TargetAt, Rollout: r, GrantRollout: r}
	}
	return Target{Version: s.version(model, m.Settled), Offset: m.SettledAt, GrantRollout: s.Rollouts[m.SettledBy]}
}

// Prefetch returns the version that endpoints of the model fetch ahead of their
// step, or nil.
func (s *State) Prefetch(model recorder.Name) *Version {
	m := s.Models[model]
	if m == nil {
		return nil
	}
	r := s.Rollouts[m.Active]
	if r == nil || r.Phase == Reversing {
		return nil
	}
	return s.version(model, r.Version)
}

func (s *State) version(model, name recorder.Name) *Version {
	return s.Versions[string(model)+"/"+string(name)]
}

// OutCount returns the number of grants that keep endpoints of a model in a
// failure domain out of service. Grants of an earlier rollout of the model count
// as well.
func (s *State) OutCount(model, domain recorder.Name) int {
	n := 0
	for _, g := range s.Grants {
		if r := s.Rollouts[g.Rollout]; g.FailureDomain == domain && (r == nil || r.Model == model) {
			n++
		}
	}
	return n
}

// ActiveGrant returns the grant that the instance holds, or nil.
func (s *State) ActiveGrant(holder recorder.Name) *Grant {
	for _, g := range s.Grants {
		if g.Holder == holder {
			return g
		}
	}
	return nil
}

// IsOut reports whether operators took the failure domain out of service.
func (s *State) IsOut(domain recorder.Name) bool {
	d := s.FailureDomains[domain]
	return d != nil && d.Out
}

// AccountByKey returns the client account that a key's digest belongs to, or nil.
func (s *State) AccountByKey(d recorder.Digest) *ClientAccount {
	if s.index == nil {
		return nil
	}
	return s.index.accounts[d]
}

// OperatorByKey returns the operator that a key's digest belongs to, or nil.
func (s *State) OperatorByKey(d recorder.Digest) *OperatorAccount {
	if s.index == nil {
		return nil
	}
	return s.index.operators[d]
}

// ServiceByPath returns the service whose prefix is the longest that matches the
// path, or nil.
func (s *State) ServiceByPath(path string) *Service {
	var best *Service
	for _, v := range s.Services {
		if strings.HasPrefix(path, v.Prefix) && (best == nil || len(v.Prefix) > len(best.Prefix)) {
			best = v
		}
	}
	return best
}

// index maps key digests to their owners for the look-ups of the request path.
type index struct {
	accounts  map[recorder.Digest]*ClientAccount
	operators map[recorder.Digest]*OperatorAccount
}

func newIndex(s *State) *index {
	x := &index{
		accounts:  make(map[recorder.Digest]*ClientAccount),
		operators: make(map[recorder.Digest]*OperatorAccount),
	}
	for _, a := range s.ClientAccounts {
		for _, d := range a.KeyDigests {
			x.accounts[d] = a
		}
	}
	for _, o := range s.Operators {
		for _, d := range o.KeyDigests {
			x.operators[d] = o
		}
	}
	return x
}
