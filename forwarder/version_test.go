package forwarder_test

import (
	"errors"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// A silent endpoint must not begin a request after the time of its version: it would go on with
// it when it wakes.
func TestSilentEndpointOfOlderVersion(t *testing.T) {
	const within = 2 * time.Second
	state, all := newStateWithTimeout(t, 1, 6*time.Second, time.Now)
	state.Decode = func(key string, _ []byte) (*observer.Decision, error) {
		if key != "c" {
			return &observer.Decision{Target: &observer.Target{Model: "m", Version: int64(key[0] - '0')}}, nil
		}
		c := configurationWithTimeout(6 * time.Second)
		c.Services[0].Engine = &resolver.Engine{Model: "m", Slots: 4}
		return &observer.Decision{Configuration: c}, nil
	}
	decode := state.DecodeEndpoint
	state.DecodeEndpoint = func(key string, b []byte) (*observer.Endpoint, error) {
		e, err := decode(key, b)
		e.Versions = map[string]int64{"m": 1}
		return e, err
	}
	state.ApplyEndpoints([]connector.Item{{Key: "i0", Value: []byte("y"), Offset: 5}}, true)
	state.ApplyOperator([]connector.Item{{Key: "c", Value: []byte("y"), Offset: 6}, {Key: "1", Value: []byte("y"), Offset: 7}}, time.Time{})
	f := handlerOf(state)
	f.Dispatcher.Grace, f.Dispatcher.MaxVersionDelay = within*9/10, within
	f.Dispatcher.Update()
	state.ApplyOperator([]connector.Item{{Key: "2", Value: []byte("y"), Offset: 8}}, time.Now())
	named := time.Now()
	f.Dispatcher.Update()
	ended := holdRequests(all, "hold")
	s := httptest.NewServer(f)
	defer s.Close()
	got := make(chan string, 1)
	go func() { got <- sendRequest(s.URL, "any") }()
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v, want a reset", err)
		}
	case <-time.After(4 * time.Second):
	}
	if d := time.Since(named); d > within {
		t.Errorf("the request was still at the endpoint %s after version 2 was named, %s allowed", d, within)
	}
	if a := <-got; a != "502 own" {
		t.Errorf("the caller got %q", a)
	}
}
