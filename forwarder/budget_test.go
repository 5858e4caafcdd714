package forwarder_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// A retry for which no slot is free must not use up the budget: under overload the gateway would
// repeat nothing.
func TestRetryWithoutAttemptKeepsBudget(t *testing.T) {
	const paused = "200 id: 1|data: e1||id: 2|data: e2"
	for name, c := range map[string]struct {
		route, step, want string
		connecting        bool
	}{
		"no slot":                      {"any", "refuse", "503 own retry-after", false},
		"silent one goes on":           {"resume", "pause 1500", paused, false},
		"superseded while it connects": {"resume", "pause 1500", paused, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, all := newHandler(t, 2)
			f.Budget = forwarder.Budget{Share: 0.001, Burst: func() float64 { return 1 }}
			var dials atomic.Int32
			f.Transport = &forwarder.Transport{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
				if c.connecting && a == all[1].address() && dials.Add(1) <= retrier.DefaultIdle {
					<-ctx.Done()
				}
				var d net.Dialer
				return d.DialContext(ctx, "tcp", a.String())
			}}
			url := serve(t, f)
			release := fill(t, f.Dispatcher, "i0")
			all[0].script = &script{steps: strings.Split(strings.Repeat(c.step+",", retrier.DefaultIdle), ",")}
			all[1].script = &script{}
			var g sync.WaitGroup
			for range retrier.DefaultIdle {
				g.Go(func() {
					if got := sendRequest(url, c.route); got != c.want {
						t.Errorf("without a free slot the caller got %q, want %q", got, c.want)
					}
				})
			}
			if c.connecting {
				time.AfterFunc(time.Second, release)
			}
			g.Wait()
			if !c.connecting {
				release()
			}
			time.Sleep(avoidTime)
			s := &script{steps: []string{"refuse", "ok"}}
			all[0].script, all[1].script = s, s
			if got := sendRequest(url, "any"); got != "200 hello" {
				t.Errorf("after %d retries without an attempt the caller got %q, want a retry", retrier.DefaultIdle, got)
			}
		})
	}
}

// fill takes the slots of all endpoints but one, and returns a function that frees them.
func fill(t *testing.T, d *dispatcher.Dispatcher, but string) (release func()) {
	t.Helper()
	q := dispatcher.Request{Service: "s", Match: resolver.Match{Route: &resolver.Route{}}, Exclude: []string{but}}
	var leases []*dispatcher.Lease
	for {
		l, err := d.Acquire(context.Background(), q)
		if err != nil {
			break
		}
		leases = append(leases, l)
	}
	return func() {
		for _, l := range leases {
			l.Done(dispatcher.Served)
		}
	}
}
