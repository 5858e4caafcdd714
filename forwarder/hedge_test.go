package forwarder_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// Without retries left, a stream whose endpoint is silent for a while must not be broken off.
func TestSilentEndpointWithoutRetryBudget(t *testing.T) {
	f, all := newHandler(t, 2)
	f.Budget = forwarder.Budget{Share: -1, Burst: func() float64 { return 0 }}
	s := &script{steps: []string{"pause 1500"}}
	for _, b := range all {
		b.script = s
	}
	if got, want := sendRequest(serve(t, f), "resume"), "200 id: 1|data: e1||id: 2|data: e2"; got != want {
		t.Errorf("the caller got %q, want %q", got, want)
	}
	if got := summarizeRequests(all); got != "  sent 1 ran 1\n" {
		t.Errorf("the endpoints got %q, want one request", got)
	}
}

// An endpoint whose request another one has answered must not go on with it, and its slot must
// be free again.
func TestSupersededEndpointStops(t *testing.T) {
	f, all := newHandler(t, 2)
	resets := holdRequests(all, "hold", "ok")
	s := httptest.NewServer(f)
	got := sendRequest(s.URL, "any")
	s.Close()
	if got != "200 hello" {
		t.Errorf("the caller got %q", got)
	}
	expectReset(t, resets)
	if p := f.Dispatcher.Status()[0]; p.InFlight != 0 {
		t.Errorf("%d slots are taken after the call", p.InFlight)
	}
}

// A caller that leaves while a second endpoint is asked must stop the work at both.
func TestCallerLeavesTwoEndpoints(t *testing.T) {
	f, all := newHandler(t, 2)
	resets := holdRequests(all, "hold", "hold")
	s := httptest.NewServer(f)
	ctx, cancel := context.WithTimeout(context.Background(), 1800*time.Millisecond)
	defer cancel()
	if r, err := http.DefaultClient.Do(newRequest(ctx, s.URL, "any", "id-1")); err == nil {
		_ = r.Body.Close()
		t.Fatal("the caller got a response")
	}
	expectReset(t, resets)
	expectReset(t, resets)
	s.Close()
	if p := f.Dispatcher.Status()[0]; p.InFlight != 0 {
		t.Errorf("%d slots are taken after the call", p.InFlight)
	}
}

// holdRequests sets the steps of all endpoints, and returns the errors with which the
// connections of held requests end.
func holdRequests(all []*fakeEndpoint, steps ...string) <-chan error {
	ended := make(chan error, len(steps))
	s := &script{steps: steps}
	for _, b := range all {
		b.script = s
		b.onHold = func(c net.Conn) {
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := io.Copy(io.Discard, c)
			ended <- err
		}
	}
	return ended
}

func expectReset(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection to an endpoint ended with %v, want a reset", err)
		}
	case <-time.After(time.Second):
		t.Error("an endpoint still works on the request a second later")
	}
}

// An endpoint that doesn't read a request whose body exceeds the buffers of the connection must
// not keep the caller from another one.
func TestEndpointThatReadsNothing(t *testing.T) {
	f, all := newHandlerWithTimeout(t, 2, 6*time.Second)
	dials := atomic.Int32{}
	f.Transport = &forwarder.Transport{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		var d net.Dialer
		if dials.Add(1) == 1 {
			return d.DialContext(ctx, "tcp", unreadAddress(t))
		}
		return d.DialContext(ctx, "tcp", a.String())
	}}
	s := &script{}
	for _, b := range all {
		b.script = s
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	q := newRequest(ctx, serve(t, f), "any", "id-1")
	body := strings.NewReader(strings.Repeat("x", 4<<20-1))
	q.Body, q.ContentLength = io.NopCloser(body), int64(body.Len())
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatalf("the caller got %v after %d dials", err, dials.Load())
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		t.Errorf("the caller got status %d", r.StatusCode)
	}
}

// unreadAddress returns an address at which connections are accepted and never read.
func unreadAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}
