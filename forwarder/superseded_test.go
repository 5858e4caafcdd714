package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// lateDial dials as usual, but lets the second attempt fail or succeed a while after the first
// one has superseded it.
func lateDial(wait time.Duration, fail bool) *forwarder.Transport {
	dials := atomic.Int32{}
	return &forwarder.Transport{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		if dials.Add(1) != 2 {
			return d.DialContext(ctx, "tcp", a.String())
		}
		<-ctx.Done()
		time.Sleep(wait)
		if fail {
			return nil, ctx.Err()
		}
		return d.DialContext(context.WithoutCancel(ctx), "tcp", a.String())
	}}
}

// askLate sends a request to two endpoints with these steps.
func askLate(t *testing.T, tr *forwarder.Transport, steps ...string) (answer, requests string) {
	f, all := newHandlerWithTimeout(t, 2, 4*time.Second)
	f.Transport = tr
	s := &script{steps: steps}
	for _, b := range all {
		b.script = s
	}
	answer = sendRequest(serve(t, f), "resume")
	return answer, summarizeRequests(all)
}

// A stream that goes on and then breaks off, before the attempt beside it has ended, must be
// resumed. The call waited forever.
func TestStreamBreaksBeforeSupersededAttemptEnds(t *testing.T) {
	got, requests := askLate(t, lateDial(200*time.Millisecond, true), "pause-cut 1500", "stream 1")
	if want := "200 id: 1|data: e1||id: 2|data: e2||id: 3|data: e3"; got != want {
		t.Errorf("the caller got %q, want %q (endpoints: %q)", got, want, requests)
	}
}

// An attempt that was superseded counts against the attempts of its route, also if the one that
// superseded it breaks off at once.
func TestSupersededAttemptCounts(t *testing.T) {
	got, requests := askLate(t, &forwarder.Transport{}, "pause-cut 1500", "silent 0", "stream 1")
	if want := "200 id: 1|data: e1||id: 2|data: e2 BROKEN OFF"; got != want {
		t.Errorf("the caller got %q, want %q", got, want)
	}
	if want := "  sent 2 ran 2 resume=1\n"; requests != want {
		t.Errorf("the endpoints got %q, want %q", requests, want)
	}
}

// An attempt that is superseded while it connects must not end the call, as if the caller had
// left.
func TestSupersededWhileConnecting(t *testing.T) {
	got, requests := askLate(t, lateDial(0, false), "pause-on 1500")
	if want := "200 id: 1|data: e1||id: 2|data: e2||id: 3|data: e3"; got != want {
		t.Errorf("the caller got %q, want %q", got, want)
	}
	if want := "  sent 1 ran 1\n"; requests != want {
		t.Errorf("the endpoints got %q, want %q", requests, want)
	}
}

// lateConn delivers a response a while after its attempt has been superseded, as one does that
// was read already.
type lateConn struct {
	net.Conn
	ctx      context.Context
	response io.Reader
}

func (c *lateConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *lateConn) Close() error { return nil }

func (c *lateConn) Read(b []byte) (int, error) {
	<-c.ctx.Done()
	time.Sleep(50 * time.Millisecond)
	return c.response.Read(b)
}

// A superseded attempt must not write to the caller, also if it is the only one left and only
// has a comment.
func TestSupersededAttemptHasComment(t *testing.T) {
	dials := atomic.Int32{}
	tr := &forwarder.Transport{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", a.String())
		if err != nil || dials.Add(1) != 2 {
			return c, err
		}
		t.Cleanup(func() { _ = c.Close() })
		return &lateConn{Conn: c, ctx: ctx, response: strings.NewReader(
			"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 99\r\n\r\n: late\n\n")}, nil
	}}
	got, _ := askLate(t, tr, "pause 1500")
	if want := "200 id: 1|data: e1||id: 2|data: e2"; got != want {
		t.Errorf("the caller got %q, want %q", got, want)
	}
}
