package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

// newReadyTable returns a table of n ready endpoints with the limit.
func newReadyTable(n, limit int) *router.Table {
	t := &router.Table{Now: func() time.Time { return epoch }}
	for i := range n {
		t.Update(status(i, 1, router.Ready, limit))
	}
	return t
}

func status(i int, sequence uint64, s router.State, limit int) router.Endpoint {
	return router.Endpoint{
		Instance: recorder.Name(fmt.Sprintf("agent-%04d", i)), Serves: assistant, Version: "v1", BootID: "b", Sequence: sequence,
		State: s, Limit: limit, Seen: epoch, Address: netip.MustParseAddrPort("127.0.0.1:7000"),
	}
}

var _ = Describe("Picker", func() {
	// More requests than the limit last reported would only be refused.
	It("never has more in flight at an endpoint than its limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n, limit := rapid.IntRange(1, 6).Draw(t, "endpoints"), rapid.IntRange(0, 5).Draw(t, "limit")
			p := router.Picker{Table: newReadyTable(n, limit), Now: func() time.Time { return epoch }, Rand: rand.New(rand.NewPCG(1, 1)).IntN}
			at := map[recorder.Name]int{}
			var picks []*router.Pick
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				if len(picks) > 0 && rapid.IntRange(0, 3).Draw(t, "step") == 0 {
					at[picks[0].Endpoint.Instance]--
					picks[0].Done()
					picks = picks[1:]
					continue
				}
				k, err := p.Pick(router.Request{Serves: assistant, Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix")})
				if err != nil {
					if len(picks) < n*limit {
						t.Fatalf("%v with %d of %d in flight", err, len(picks), n*limit)
					}
					continue
				}
				picks = append(picks, &k)
				if at[k.Endpoint.Instance]++; at[k.Endpoint.Instance] > limit {
					t.Fatalf("%s has %d in flight, limit %d", k.Endpoint.Instance, at[k.Endpoint.Instance], limit)
				}
			}
		})
	})

	// If a pick is lost in a race with an update, its request counts as in flight forever.
	It("keeps its counts under concurrent updates", func() {
		t := newReadyTable(8, 4)
		p := router.Picker{Table: t}
		var wg sync.WaitGroup
		for g := range 4 {
			wg.Go(func() {
				for i := range 500 {
					if k, err := p.Pick(router.Request{Serves: assistant, Prefix: uint64(i % 5)}); err == nil {
						t.Observe(k.Endpoint.Instance, 4, 1)
						k.Done()
					}
					t.Update(status(g, uint64(i+2), router.State(5+i%3), 4))
				}
			})
		}
		wg.Wait()
		for i := range 8 {
			t.Update(status(i, 1000, router.Ready, 4))
		}
		var picks int
		for range 32 {
			if _, err := p.Pick(router.Request{Serves: assistant}); err == nil {
				picks++
			}
		}
		Expect(picks).To(Equal(32))
	})

	// Garbage collection caused by the request path adds latency at peak load.
	It("allocates nothing", func() {
		p := router.Picker{Table: newReadyTable(430, 64)}
		exclude := []recorder.Name{"agent-0001"}
		i := uint64(0)
		Expect(testing.AllocsPerRun(1000, func() {
			i++
			k, _ := p.Pick(router.Request{Serves: assistant, Version: "v1", Prefix: i % 3 * i, Exclude: exclude})
			k.Done()
		})).To(BeZero())
	})

	// Replacing a few endpoints must not move the prefixes of the others.
	It("moves only the prefixes of an endpoint that left", func() {
		t := newReadyTable(20, 4)
		p := router.Picker{Table: t, Now: t.Now}
		home := func(prefix uint64) recorder.Name {
			k, err := p.Pick(router.Request{Serves: assistant, Prefix: prefix})
			Expect(err).NotTo(HaveOccurred())
			k.Done()
			return k.Endpoint.Instance
		}
		before := map[uint64]recorder.Name{}
		for i := range 500 {
			h := router.PrefixHash(fmt.Append(nil, "prompt ", i))
			before[h] = home(h)
		}
		t.Update(status(7, 2, router.Leaving, 4))
		for h, n := range before {
			if n != "agent-0007" {
				Expect(home(h)).To(Equal(n))
			}
		}
	})
})

func BenchmarkPick(b *testing.B) {
	for _, prefix := range []uint64{0, 12345} {
		for _, n := range []int{15, 100, 430, 1000} {
			b.Run(fmt.Sprintf("prefix=%v/endpoints=%d", prefix != 0, n), func(b *testing.B) {
				t := newReadyTable(n, 64)
				p := router.Picker{Table: t}
				b.ReportAllocs()
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for h := prefix; pb.Next(); h += prefix {
						k, err := p.Pick(router.Request{Serves: assistant, Version: "v1", Prefix: h})
						if err != nil {
							b.Error(err)
							return
						}
						k.Done()
					}
				})
			})
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, s := range []router.State{router.Ready, router.Leaving} {
		b.Run("to="+s.String(), func(b *testing.B) {
			t := newReadyTable(430, 64)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := status(1, uint64(i+2), router.Ready, 64)
				if i%2 == 0 {
					e.State = s
				}
				t.Update(e)
			}
		})
	}
}

// Headers of responses come from other processes; no text may be taken for a
// state that it does not name.
func FuzzParseState(f *testing.F) {
	f.Add("ready")
	f.Add("state-9")
	f.Fuzz(func(t *testing.T, s string) {
		if v, err := router.ParseState(s); err == nil && v.String() != s {
			t.Errorf("%q is read as %v", s, v)
		}
	})
}
