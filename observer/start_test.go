package observer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// A process that starts with all others after a loss of power must have its tables as soon
// as the first peer is ready, and from the platform if none is. Agents waited 0.7 s for a
// seed that was gone, and then read a large configuration from the platform for 1 to 2 s.
func TestStartReader(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		// ready is when peers begin to respond, and delay the time of a response of the platform.
		ready, delay time.Duration
		hanging      bool
		want         string
		within       time.Duration
	}{
		{"peers are ready", 0, 5 * ms, false, "peer", 10 * ms},
		{"peers start later", 300 * ms, 5 * ms, false, "peer", 400 * ms},
		{"no peer", time.Hour, 5 * ms, false, "platform", 410 * ms},
		{"first peer hangs", 0, 5 * ms, true, "peer", 300 * ms},
		{"neither", time.Hour, time.Hour, false, "", 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				asked := 0
				s := &observer.StartReader{
					PlatformDelay: 400 * ms,
					Peers: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
						asked++
						if c.hanging && asked == 1 {
							<-ctx.Done()
							return connector.Changes{}, ctx.Err()
						}
						if time.Since(began) < c.ready {
							return connector.Changes{}, errors.New("connection refused")
						}
						return items(1), nil
					},
					Platform: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
						select {
						case <-time.After(c.delay):
							return items(2), nil
						case <-ctx.Done():
							return connector.Changes{}, ctx.Err()
						}
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				got := ""
				if r, err := s.Read(ctx, 0, time.Second); err == nil {
					got = map[uint64]string{1: "peer", 2: "platform"}[r.Items[0].Offset]
				}
				if took := time.Since(began); got != c.want || took > c.within {
					t.Errorf("read from %q after %s, want %q within %s", got, took, c.want, c.within)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A peer that has just started must be asked again soon, and not after the backoff for
// peers that failed.
func TestStartingPeerIsAskedAgain(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/tables/{name}", &observer.Handler{Tables: map[string]*observer.Table{"t": {}}})
	starting, far := httptest.NewServer(mux), newPeer(t)
	defer starting.Close()
	near := netip.MustParseAddrPort(strings.TrimPrefix(starting.URL, "http://"))
	now := time.Unix(1000, 0)
	r := &observer.PeerReader{
		Table: "t", Client: http.DefaultClient, Now: func() time.Time { return now },
		Peers: func() []netip.AddrPort { return []netip.AddrPort{near, far.address} },
	}
	for i, want := range []bool{false, true, false, true, false} {
		if _, err := r.Read(t.Context(), 0, 0); (err == nil) != want {
			t.Errorf("read %d: error %v", i, err)
		}
		if want {
			now = now.Add(100 * time.Millisecond)
		}
	}
}

// Guards against a read of peers that goes on after the start of the table: the platform was first,
// and the next read of peers begins while the one before ends. Both changed the same map, which
// ends the process if they meet.
func TestReadsOfPeersOverlap(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	r := &observer.PeerReader{Table: "t", Client: s.Client(), Now: time.Now, Peers: func() []netip.AddrPort { return []netip.AddrPort{address} }}
	var g sync.WaitGroup
	for range 2 {
		g.Go(func() {
			for range 50 {
				_, _ = r.Read(t.Context(), 0, 0)
			}
		})
	}
	g.Wait()
}
