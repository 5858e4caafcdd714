package forwarder_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// failingDials dials as usual, but fails the first dials to an endpoint with the error.
func failingDials(to netip.AddrPort, count int32, err error, dials *atomic.Int32) *forwarder.Transport {
	return &forwarder.Transport{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if a == to && dials.Add(1) <= count {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", a.String())
	}}
}

// A dial that timed out made the gateway refuse a request with 503 if the only other endpoint
// refused it, although the endpoint was there: a process that was paused finds the time of a dial
// over whose connection was made meanwhile. An endpoint that stays unreached, or at whose address
// nothing listens, must not be dialed over and over.
func TestDialTimesOutBesideRefusal(t *testing.T) {
	for _, c := range []struct {
		name  string
		route string
		// timeout is that of the route; 0 stands for the usual one.
		timeout time.Duration
		// fails is the number of dials that fail with err.
		fails int32
		err   error
		// alone leaves out the endpoint that refuses, and refusedFirst lets it get the first
		// attempt.
		alone, refusedFirst bool
		want                string
		dials               int32
	}{
		{name: "dialed before the refusal", route: "any", fails: 1, err: os.ErrDeadlineExceeded, want: "200 hello", dials: 2},
		{name: "dialed after the refusal", route: "any", fails: 1, err: os.ErrDeadlineExceeded, refusedFirst: true, want: "200 hello", dials: 2},
		{name: "at most once", route: "once", fails: 1, err: os.ErrDeadlineExceeded, want: "200 hello", dials: 2},
		{name: "alone", route: "any", fails: 1, err: os.ErrDeadlineExceeded, alone: true, want: "200 hello", dials: 2},
		{name: "stays unreached", route: "any", fails: 9, err: os.ErrDeadlineExceeded, want: "503 own retry-after", dials: 2},
		{name: "nothing listens", route: "any", fails: 9, err: syscall.ECONNREFUSED, want: "503 own retry-after", dials: 1},
		{name: "no time to dial", route: "any", timeout: 600 * time.Millisecond, fails: 1, err: os.ErrDeadlineExceeded, want: "503 own retry-after", dials: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			count, timeout := 2, routeTimeout
			if c.alone {
				count = 1
			}
			if c.timeout > 0 {
				timeout = c.timeout
			}
			f, all := newHandlerWithTimeout(t, count, timeout)
			unreached := all[count-1]
			all[0].script = &script{steps: []string{"refuse"}}
			unreached.script = &script{}
			var dials atomic.Int32
			f.Transport = failingDials(unreached.address(), c.fails, c.err, &dials)
			url := serve(t, f)
			if !c.alone {
				first := "i1"
				if c.refusedFirst {
					first = "i0"
				}
				// The first attempt goes to the endpoint that has a free slot.
				release := fill(t, f.Dispatcher, first)
				time.AfterFunc(100*time.Millisecond, release)
			}
			if got := sendRequest(url, c.route); got != c.want {
				t.Errorf("the caller got %q, want %q", got, c.want)
			}
			if got := dials.Load(); got != c.dials {
				t.Errorf("%d dials to the endpoint, want %d", got, c.dials)
			}
			for _, b := range all {
				if b.ran > 1 {
					t.Errorf("the request ran %d times", b.ran)
				}
			}
		})
	}
}

// A gateway that reaches no endpoint must not dial each of them again before it refuses a request:
// its callers could go on to another gateway.
func TestDialAgainOnceForEachCall(t *testing.T) {
	f, all := newHandlerWithTimeout(t, 2, routeTimeout)
	for _, b := range all {
		b.script = &script{}
	}
	var dials atomic.Int32
	f.Transport = &forwarder.Transport{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
		dials.Add(1)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}}
	if got := sendRequest(serve(t, f), "any"); got != "503 own retry-after" {
		t.Errorf("the caller got %q", got)
	}
	if got := dials.Load(); got != 3 {
		t.Errorf("%d dials to two endpoints, want 3", got)
	}
}
