package distributor_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// handlers is a transport that calls the handler of the host of the URL without a
// network.
type handlers map[string]http.Handler

func (h handlers) RoundTrip(q *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h[q.URL.Host].ServeHTTP(w, q)
	return w.Result(), q.Context().Err()
}

// Guards against instances with different member lists that wait for each other until
// HedgeDelay, and against all of them asking the origin to end the wait: a burst of 6 s
// then took 31 s.
func TestCycle(t *testing.T) {
	for _, n := range []int{2, 3, 8} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			RegisterTestingT(t)
			w := newWeights("abcdefgh")
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				var reads atomic.Int64
				peers := make(handlers)
				var members []distributor.Member
				for i := range n {
					members = append(members, distributor.Member{
						Instance: recorder.Name(fmt.Sprintf("i%d", i)), FailureDomain: "d", Region: "r",
						Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
					})
				}
				var fetchers []*distributor.Fetcher
				for i, m := range members {
					s := new(distributor.Store)
					w.fill(s, 0)
					peers[m.Address.String()] = &distributor.Handler{Store: s, Self: m}
					fetchers = append(fetchers, &distributor.Fetcher{
						Self: m, OriginRegion: "r", Store: s, Origin: w.origin(&reads), Client: &http.Client{Transport: peers},
						// Each list holds only the next instance, which is thus asked first.
						Members: func() []distributor.Member { return members[(i+1)%n : (i+1)%n+1] },
					})
				}
				begin := time.Now()
				var g errgroup.Group
				for _, f := range fetchers {
					g.Go(func() error { _, err := f.Fetch(t.Context(), w.version, nil); return err })
				}
				Expect(g.Wait()).To(Succeed())
				t.Logf("%d instances: %v, %d reads of %d chunks", n, time.Since(begin), reads.Load(), len(w.manifest.Chunks))
				Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
				Expect(float64(reads.Load())).To(BeNumerically("<=", 1.2*float64(len(w.manifest.Chunks))))
			})
		})
	}
}

// Guards against a fetch that keeps waiting for a source after the member list changed.
func TestNewerList(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefgh")
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		var reads atomic.Int64
		peers := make(handlers)
		var members []distributor.Member
		for i, chunks := range []int{0, 8} {
			s := new(distributor.Store)
			w.fill(s, chunks)
			a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
			peers[a.String()] = &distributor.Handler{Store: s}
			members = append(members, distributor.Member{
				Instance: recorder.Name(fmt.Sprintf("i%d", i)), FailureDomain: "d", Region: "r", Address: a,
			})
		}
		begin := time.Now()
		f := &distributor.Fetcher{
			Self:         distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"},
			OriginRegion: "r", Store: new(distributor.Store), Origin: w.origin(&reads), Client: &http.Client{Transport: peers},
			Members: func() []distributor.Member {
				if time.Since(begin) < time.Second {
					return members[:1]
				}
				return members[1:]
			},
		}
		_, err := f.Fetch(t.Context(), w.version, nil)
		Expect(err).NotTo(HaveOccurred())
		t.Logf("%v, %d reads", time.Since(begin), reads.Load())
		Expect(time.Since(begin)).To(BeNumerically("<", 3*time.Second))
		Expect(reads.Load()).To(BeZero())
	})
}
