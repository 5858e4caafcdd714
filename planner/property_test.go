package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/planner"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// startedRollout returns a State with a running rollout of two steps, and its
// endpoints.
func startedRollout() (*registrar.State, []planner.Endpoint) {
	r := recorder.Record{Operation: uuid.UUID{1}, Author: "anna"}
	minute := recorder.Duration(time.Minute)
	r.Changes = append(
		r.Changes,
		recorder.Change{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "d1", Region: "delta"}},
		recorder.Change{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "d2", Region: "delta"}},
		recorder.Change{Kind: recorder.PutModel, Model: &recorder.Model{Name: "assistant", OrderTimeout: minute}},
		recorder.Change{Kind: recorder.PutVersion, Version: &recorder.Version{Model: "assistant", Name: "v1", Size: 1}},
		recorder.Change{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{
			Name: "r1", Model: "assistant", Version: "v1", Steps: [][]recorder.Name{{"d1"}, {"d2"}}, MaxOut: 2, Lease: minute,
		}},
	)
	s, _ := new(registrar.State).Apply(1, r)
	var v []planner.Endpoint
	for i := range 4 {
		v = append(v, planner.Endpoint{
			Instance: recorder.Name(fmt.Sprint("e", i)), FailureDomain: recorder.Name(fmt.Sprint("d", 1+i%2)), Model: "assistant",
		})
	}
	return s, v
}

// Gateways plan on States of different age while endpoints take and release grants.
// Whatever the gateways append, a step must begin only after the endpoints of the
// one before serve the version, a grant must not be revoked before its lease has
// expired, and the rollout must finish. In the first 300 rounds endpoints may hang;
// operators resume the rollout whenever it is paused.
func TestGatewaysFinishARollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, endpoints := startedRollout()
		now := time.Unix(1_800_000_000, 0)
		names := []recorder.Name{"gateway-1", "gateway-2", "gateway-3"}
		lag := make([]*registrar.State, len(names))
		plans := make([]*planner.Planner, len(names))
		for i, n := range names {
			lag[i] = s
			plans[i] = &planner.Planner{
				Self: n, Gateways: func() []recorder.Name { return names }, Age: func() time.Duration { return time.Second },
			}
		}
		granted := make(map[uint64]time.Time)
		appended := 0
		apply := func(c recorder.Change, id recorder.OperationID, author recorder.Name) bool {
			var o registrar.Outcome
			s, o = s.Apply(s.Offset+1, recorder.Record{Operation: id, Author: author, Changes: []recorder.Change{c}})
			return o.Accepted && o.Offset == s.Offset
		}
		for round := range 700 {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, len(endpoints)-1).Draw(t, "endpoint")
			e := &endpoints[i]
			target := s.Target("assistant", e.FailureDomain)
			switch g := s.ActiveGrant(e.Instance); {
			case target.Version == nil || e.Version == "v1":
			case g == nil:
				c := recorder.Change{Kind: recorder.TakeGrant, Grant: &recorder.Grant{
					Holder: e.Instance, FailureDomain: e.FailureDomain, Rollout: "r1", Version: "v1", Lease: recorder.Duration(time.Minute),
				}}
				if apply(c, uuid.UUID{2, 15: byte(s.Offset), 14: byte(s.Offset >> 8)}, e.Instance) {
					granted[s.Offset] = now
				}
			case round > 300 || rapid.IntRange(0, 4).Draw(t, "hangs") > 0:
				c := recorder.Change{Kind: recorder.ReleaseGrant, Release: &recorder.Release{Grant: g.Offset, OK: true}}
				if apply(c, uuid.UUID{3, 15: byte(s.Offset), 14: byte(s.Offset >> 8)}, e.Instance) {
					e.Version, e.Ready = "v1", true
				}
			}
			if s.Rollouts["r1"].Phase == registrar.Paused {
				apply(recorder.Change{Kind: recorder.ResumeRollout, Object: "r1"}, uuid.UUID{4, 15: byte(round), 14: byte(round >> 8)}, "anna")
			}
			k := rapid.IntRange(0, len(names)-1).Draw(t, "gateway")
			if round > 300 || rapid.Bool().Draw(t, "reads") {
				lag[k] = s
			}
			for _, c := range plans[k].Observe(now, lag[k], endpoints) {
				before := s
				if !apply(c, planner.OperationID(c), names[k]) {
					continue
				}
				appended++
				checkDecision(t, before, c, endpoints, granted, now)
			}
		}
		if r := s.Rollouts["r1"]; r.Phase != registrar.Done {
			t.Fatalf("the rollout is %s in step %d after %d appended changes, want it done", r.Phase, r.Step, appended)
		}
	})
}

func checkDecision(t *rapid.T, s *registrar.State, c recorder.Change, endpoints []planner.Endpoint, granted map[uint64]time.Time, now time.Time) {
	switch c.Kind {
	case recorder.RevokeGrant:
		if held := now.Sub(granted[c.Release.Grant]); held < time.Minute {
			t.Fatalf("a grant was revoked after %v, before its lease of 1m expired", held)
		}
	case recorder.AdvanceRollout, recorder.FinishRollout:
		for _, e := range endpoints {
			if s.Target("assistant", e.FailureDomain).Version != nil && e.Version != "v1" {
				t.Fatalf("%s while %s serves %q instead of v1", c.Kind, e.Instance, e.Version)
			}
		}
	}
}

// If all gateways appended at once, the log would take hundreds of records for one
// change; if they waited for a dead gateway, none would append. Exactly one must
// append at once, and the others after a distinct delay each.
func TestRankStaggersGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, endpoints := startedRollout()
		for i := range endpoints {
			endpoints[i].Version, endpoints[i].Ready = "v1", true
		}
		n := rapid.IntRange(1, 20).Draw(t, "gateways")
		var names []recorder.Name
		for i := range n {
			names = append(names, recorder.Name(fmt.Sprint("gateway-", i)))
		}
		now := time.Unix(1_800_000_000, 0)
		firstAppends := make(map[time.Duration]int)
		for _, self := range names {
			p := planner.Planner{Self: self, Gateways: func() []recorder.Name { return names }, Age: func() time.Duration { return 0 }}
			for wait := time.Duration(0); ; wait += time.Second {
				if wait > time.Duration(n)*planner.DefaultRankDelay {
					t.Fatalf("%s never appends", self)
				}
				if len(p.Observe(now.Add(wait), s, endpoints)) > 0 {
					firstAppends[wait]++
					break
				}
			}
		}
		if firstAppends[0] != 1 || len(firstAppends) != n {
			t.Fatalf("gateways by first append: %v", firstAppends)
		}
	})
}

// The limit is the overhead allowed on a node, 4.4% of a core, at one Observe per
// second with 12,000 endpoints and 2,000 finished rollouts (several months).
func BenchmarkObserve(b *testing.B) {
	s, _ := startedRollout()
	for i := range 2000 {
		name := recorder.Name(fmt.Sprint("old", i))
		r := *s.Rollouts["r1"]
		r.Name, r.Phase = name, registrar.Done
		s.Rollouts[name] = &r
	}
	endpoints := make([]planner.Endpoint, 12_000)
	for i := range endpoints {
		endpoints[i] = planner.Endpoint{
			Instance: recorder.Name(fmt.Sprint("e", i)), FailureDomain: "d1", Model: "assistant", Version: "v1", Ready: true,
		}
	}
	p := planner.Planner{
		Self: "gateway-1", Gateways: func() []recorder.Name { return []recorder.Name{"gateway-1"} },
		Age: func() time.Duration { return 0 },
	}
	now := time.Unix(1_800_000_000, 0)
	for b.Loop() {
		now = now.Add(time.Second)
		p.Observe(now, s, endpoints)
	}
}
