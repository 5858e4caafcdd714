package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// putAccount returns the change that declares client account n.
func putAccount(n int) recorder.Change {
	name := fmt.Sprintf("account-%05d", n)
	return recorder.Change{Kind: recorder.PutClientAccount, ClientAccount: &recorder.ClientAccount{
		Name: recorder.Name(name), KeyDigests: []recorder.Digest{recorder.DigestOf([]byte(name))},
		RequestsPerSecond: 100, Burst: 100, Concurrency: 100, Weight: 1,
	}}
}

func drainEndpoint(n int) recorder.Change {
	return recorder.Change{Kind: recorder.DrainEndpoint, Object: fmt.Sprintf("agent-%05d", n), Reason: "rack"}
}

// stateOf returns the State after n changes, 400 in each record.
func stateOf(b *testing.B, n int, change func(int) recorder.Change) *registrar.State {
	s := new(registrar.State)
	for i := 0; i < n; {
		r := recorder.Record{Format: recorder.Format, Operation: operationID(s.Offset + 1), Author: "anna", At: time.Unix(0, 0)}
		for ; i < n && len(r.Changes) < 400; i++ {
			r.Changes = append(r.Changes, change(i))
		}
		var o registrar.Outcome
		if s, o = s.Apply(s.Offset+1, r); !o.Accepted {
			b.Fatal(o.Reason)
		}
	}
	return s
}

// benchmarkStates runs f on States of several sizes.
func benchmarkStates(b *testing.B, f func(b *testing.B, s *registrar.State, change func(int) recorder.Change)) {
	for _, n := range []int{10, 100, 1000, 9000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) { f(b, stateOf(b, n, putAccount), putAccount) })
	}
	b.Run("drained=12000", func(b *testing.B) { f(b, stateOf(b, 12000, drainEndpoint), drainEndpoint) })
}

func BenchmarkApply(b *testing.B) {
	benchmarkStates(b, func(b *testing.B, s *registrar.State, change func(int) recorder.Change) {
		b.ReportAllocs()
		for i := uint64(0); b.Loop(); i++ {
			r := recorder.Record{Format: recorder.Format, Operation: operationID(1<<32 + i), Author: "anna", Changes: []recorder.Change{change(3)}}
			if n, o := s.Apply(s.Offset+1, r); n == s || o.Offset == 0 {
				b.Fatal(o.Reason)
			}
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	benchmarkStates(b, func(b *testing.B, s *registrar.State, _ func(int) recorder.Change) {
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			v, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			n = len(v)
		}
		b.ReportMetric(float64(n), "bytes")
	})
}

func BenchmarkRestore(b *testing.B) {
	benchmarkStates(b, func(b *testing.B, s *registrar.State, _ func(int) recorder.Change) {
		v, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			if _, err := registrar.Restore(v); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkTakeGrant applies a grant and its release while other grants are held.
func BenchmarkTakeGrant(b *testing.B) {
	for _, n := range []int{1, 6, 20, 59} {
		b.Run(fmt.Sprintf("granted=%d", n), func(b *testing.B) {
			s := new(registrar.State)
			apply := func(author recorder.Name, c ...recorder.Change) {
				r := recorder.Record{Format: recorder.Format, Operation: operationID(s.Offset + 1), Author: author, Changes: c}
				var o registrar.Outcome
				if s, o = s.Apply(s.Offset+1, r); !o.Accepted {
					b.Fatal(o.Reason)
				}
			}
			take := func(i int) {
				h := recorder.Name(fmt.Sprintf("agent-%05d", i))
				apply(h, recorder.Change{Kind: recorder.TakeGrant, Grant: &recorder.Grant{
					Holder: h, FailureDomain: "d", Rollout: "x", Version: "v1", Lease: recorder.Duration(time.Hour),
				}})
			}
			digest := recorder.DigestOf([]byte("v1"))
			apply("anna",
				recorder.Change{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "d", Region: "r"}},
				recorder.Change{Kind: recorder.PutModel, Model: &recorder.Model{Name: "m", OrderTimeout: recorder.Duration(time.Minute)}},
				recorder.Change{Kind: recorder.PutVersion, Version: &recorder.Version{Model: "m", Name: "v1", Manifest: digest, Digest: digest, Size: 1}},
				recorder.Change{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{
					Name: "x", Model: "m", Version: "v1", MaxOut: 1000, Lease: recorder.Duration(time.Hour),
				}})
			for i := range n {
				take(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				take(n)
				apply(recorder.Name(fmt.Sprintf("agent-%05d", n)), recorder.Change{Kind: recorder.ReleaseGrant, Release: &recorder.Release{Grant: s.Offset, OK: true}})
			}
		})
	}
}
