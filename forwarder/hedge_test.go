package forwarder_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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
func TestOvertakenEndpointStops(t *testing.T) {
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
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/any/x", strings.NewReader("body"))
	q.Host = "h"
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(headers.RequestID, "id-1")
	if r, err := http.DefaultClient.Do(q); err == nil {
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
