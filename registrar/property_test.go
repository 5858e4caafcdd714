package registrar_test

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

func nameGenerator(prefix string, n int) *rapid.Generator[recorder.Name] {
	return rapid.Map(rapid.IntRange(1, n), func(i int) recorder.Name { return recorder.Name(fmt.Sprint(prefix, i)) })
}

// drawChange draws a change over a few names, so that changes often conflict.
func drawChange(t *rapid.T, s *registrar.State) recorder.Change {
	domain, model, version := nameGenerator("d", 3), nameGenerator("m", 2), nameGenerator("v", 2)
	rollout, endpoint := nameGenerator("r", 4), nameGenerator("e", 6)
	c := recorder.Change{}
	if rapid.Bool().Draw(t, "expects") {
		c.Expect = new(rapid.Uint64Range(0, s.Offset+1).Draw(t, "expect"))
	}
	switch rapid.SampledFrom([]int{0, 1, 2, 3, 3, 3, 4, 4, 4, 4, 5, 5, 5, 5, 7, 8, 9}).Draw(t, "what") {
	case 0:
		c.Kind = recorder.PutFailureDomain
		c.FailureDomain = &recorder.FailureDomain{Name: domain.Draw(t, "domain"), Region: "delta"}
	case 1:
		c.Kind, c.Model = recorder.PutModel, &recorder.Model{Name: model.Draw(t, "model"), OrderTimeout: recorder.Duration(time.Minute)}
	case 2:
		v := version.Draw(t, "version")
		c.Kind, c.Version = recorder.PutVersion, &recorder.Version{
			Model: model.Draw(t, "model"), Name: v, Manifest: recorder.DigestOf([]byte(v)), Digest: recorder.DigestOf([]byte(v)), Size: 1,
		}
	case 3:
		c.Kind, c.Rollout = recorder.StartRollout, &recorder.Rollout{
			Name: rollout.Draw(t, "rollout"), Model: model.Draw(t, "model"), Version: version.Draw(t, "version"),
			Steps:  rapid.SliceOfN(rapid.SliceOfN(domain, 1, 2), 0, 3).Draw(t, "steps"),
			MaxOut: rapid.IntRange(1, 2).Draw(t, "max-out"), Lease: recorder.Duration(time.Minute),
		}
	case 4:
		c.Kind = rapid.SampledFrom([]recorder.ChangeKind{
			recorder.PauseRollout, recorder.ResumeRollout, recorder.ReverseRollout, recorder.AdvanceRollout, recorder.FinishRollout,
		}).Draw(t, "move")
		c.Object, c.Step = string(rollout.Draw(t, "rollout")), rapid.IntRange(0, 2).Draw(t, "step")
	case 5:
		c.Kind, c.Grant = recorder.TakeGrant, &recorder.Grant{
			Holder: endpoint.Draw(t, "holder"), FailureDomain: domain.Draw(t, "domain"), Rollout: rollout.Draw(t, "rollout"),
			Version: version.Draw(t, "version"), Lease: recorder.Duration(time.Minute),
		}
	case 7:
		c.Kind, c.Release = recorder.RevokeGrant, &recorder.Release{Grant: rapid.Uint64Range(1, s.Offset+1).Draw(t, "grant")}
	case 8:
		c.Kind = rapid.SampledFrom([]recorder.ChangeKind{
			recorder.TakeDomainOut, recorder.BringDomainIn, recorder.DrainEndpoint, recorder.ReturnEndpoint,
		}).Draw(t, "switch")
		c.Object = string(domain.Draw(t, "object"))
	case 9:
		c.Kind, c.Object = recorder.RemoveObject, rapid.SampledFrom([]string{
			"model/m1", "version/m1/v1", "failure-domain/d1", "rollout/r1", "rollout/r2",
		}).Draw(t, "object")
	}
	return c
}

// declaredState returns a State with all failure domains, models and versions
// that drawChange names.
func declaredState() *registrar.State {
	r := recorder.Record{Operation: uuid.UUID{1}, Author: "anna"}
	for _, n := range []recorder.Name{"d1", "d2", "d3"} {
		r.Changes = append(r.Changes, recorder.Change{
			Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: n, Region: "delta"},
		})
	}
	for _, m := range []recorder.Name{"m1", "m2"} {
		r.Changes = append(r.Changes, recorder.Change{
			Kind: recorder.PutModel, Model: &recorder.Model{Name: m, OrderTimeout: recorder.Duration(time.Minute)},
		})
		for _, v := range []recorder.Name{"v1", "v2"} {
			r.Changes = append(r.Changes, recorder.Change{Kind: recorder.PutVersion, Version: &recorder.Version{
				Model: m, Name: v, Manifest: recorder.DigestOf([]byte(v)), Digest: recorder.DigestOf([]byte(v)), Size: 1,
			}})
		}
	}
	s, _ := new(registrar.State).Apply(1, r)
	return s
}

func snapshot(t *rapid.T, s *registrar.State) []byte {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against gateways whose States differ, which would decide differently
// from then on: a reader that was restored from a snapshot, or that saw a record
// twice, must hold the same bytes as one that applied every record.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := declaredState(), declaredState()
		var first []recorder.Record
		for offset := uint64(2); offset <= 25; offset++ {
			r := recorder.Record{Format: recorder.Format, Operation: uuid.UUID{15: byte(offset)}, Author: "anna"}
			for range rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "changes") {
				r.Changes = append(r.Changes, drawChange(t, a))
			}
			repeat := len(first) > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0
			if repeat {
				r = rapid.SampledFrom(first).Draw(t, "repeated")
			}
			first = append(first, r)
			before := snapshot(t, a)
			n, o := a.Apply(offset, r)
			if !bytes.Equal(before, snapshot(t, a)) {
				t.Fatal("applying a record changed the earlier state")
			}
			checkApply(t, a, n, r, o, repeat)
			if again, p := n.Apply(offset, r); again != n || p != o {
				t.Fatalf("a lower or equal offset was applied, or its outcome differs: %v, %v", p, o)
			}
			a = n
			b, _ = b.Apply(offset, r)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				v, err := registrar.Restore(snapshot(t, b))
				if err != nil {
					t.Fatal(err)
				}
				b = v
			}
			if x, y := snapshot(t, a), snapshot(t, b); !bytes.Equal(x, y) {
				t.Fatalf("snapshots differ:\n%s\n%s", x, y)
			}
		}
	})
}

// checkApply checks the State n and the outcome o of applying r to s: a rejected
// or repeated record changes nothing but the offset and the outcomes, grants stay
// within MaxOut, and a model has one active rollout at most.
func checkApply(t *rapid.T, s, n *registrar.State, r recorder.Record, o registrar.Outcome, repeat bool) {
	if n.Offset != s.Offset+1 {
		t.Fatalf("offset %d follows %d", n.Offset, s.Offset)
	}
	if repeat || !o.Accepted {
		unchanged := *n
		unchanged.Offset, unchanged.Operations = s.Offset, s.Operations
		if !bytes.Equal(snapshot(t, s), snapshot(t, &unchanged)) {
			t.Fatal("a rejected or repeated record changed the state")
		}
		return
	}
	for _, c := range r.Changes {
		if c.Kind == recorder.TakeGrant {
			checkMaxOut(t, n, c.Grant)
		}
	}
	active := make(map[recorder.Name]int)
	for v := range maps.Values(n.Rollouts) {
		if v.IsActive() {
			active[v.Model]++
		}
	}
	for m, k := range active {
		if k > 1 {
			t.Fatalf("model %q has %d active rollouts", m, k)
		}
	}
}

// checkMaxOut checks that the grants of the model in the failure domain of g do
// not exceed MaxOut.
func checkMaxOut(t *rapid.T, s *registrar.State, g *recorder.Grant) {
	out := 0
	for v := range maps.Values(s.Grants) {
		if r := s.Rollouts[v.Rollout]; v.FailureDomain == g.FailureDomain && r != nil && r.Model == s.Rollouts[g.Rollout].Model {
			out++
		}
	}
	if limit := s.Rollouts[g.Rollout].MaxOut; out > limit {
		t.Fatalf("%d endpoints of failure domain %q are out; at most %d may be", out, g.FailureDomain, limit)
	}
}

// Guards against a damaged snapshot: Restore must either return an error or a
// State that a further Snapshot and Restore leave unchanged and on which Apply
// does not panic.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"format":1,"state":{"offset":3,"client-accounts":{"a":null}}}`))
	f.Add([]byte(`{"format":1,"state":{"offset":3,"models":{"m":{"name":"m","order-timeout":"1m","active":"r"}}}}`))
	s, _ := new(registrar.State).Apply(1, recorder.Record{
		Format: recorder.Format, Operation: uuid.UUID{1}, Author: "anna", Changes: []recorder.Change{
			{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "d1", Region: "delta"}},
			{Kind: recorder.PutModel, Model: &recorder.Model{Name: "m1", OrderTimeout: recorder.Duration(time.Minute)}},
			{Kind: recorder.PutVersion, Version: &recorder.Version{Model: "m1", Name: "v1", Manifest: recorder.Digest{1}, Digest: recorder.Digest{1}, Size: 1}},
			{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{Name: "r1", Model: "m1", Version: "v1", MaxOut: 1, Lease: recorder.Duration(time.Minute)}},
		},
	})
	b, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := registrar.Restore(b)
		if err != nil {
			return
		}
		x, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again, err := registrar.Restore(x)
		if err != nil {
			t.Fatal(err)
		}
		if y, _ := again.Snapshot(); !bytes.Equal(x, y) {
			t.Fatalf("snapshots differ:\n%s\n%s", x, y)
		}
		for _, c := range []recorder.Change{
			{Kind: recorder.FinishRollout, Object: "r1"},
			{Kind: recorder.AdvanceRollout, Object: "r1", Step: 1},
			{Kind: recorder.RemoveObject, Object: "version/m1/v1"},
			{Kind: recorder.TakeGrant, Grant: &recorder.Grant{Holder: "e", FailureDomain: "d1", Rollout: "r1", Version: "v1"}},
			{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{Name: "r2", Model: "m1", Version: "v1", MaxOut: 1}},
		} {
			_, _ = s.Apply(s.Offset+1, recorder.Record{Operation: uuid.UUID{2}, Author: "anna", Changes: []recorder.Change{c}})
		}
	})
}
