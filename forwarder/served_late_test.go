package forwarder_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// An endpoint that responds while the gateway is about to record its silence must not be avoided
// after it has served.
func TestServedEndpointIsNotAvoided(t *testing.T) {
	f, all := newHandlerWithTimeout(t, 1, 4*time.Second)
	all[0].script = &script{steps: []string{"slow 1800"}}
	var busy atomic.Bool
	f.Dispatcher.IsCurrent = func() bool {
		if busy.Load() {
			time.Sleep(300 * time.Millisecond)
		}
		return true
	}
	// From 1.4 s on, the dispatcher is locked for 0.3 s three times. The call notices the silence at
	// 1.6 s, the attempt ends at 1.8 s, and both wait for the lock in this order.
	other := dispatcher.Request{Service: "s", Match: resolver.Match{Route: &resolver.Route{}}}
	time.AfterFunc(1400*time.Millisecond, func() {
		busy.Store(true)
		for range 3 {
			if l, err := f.Dispatcher.Acquire(t.Context(), other); err == nil {
				l.Done(dispatcher.Canceled)
			}
		}
		busy.Store(false)
	})
	if got := sendRequest(serve(t, f), "any"); got != "200 hello" {
		t.Errorf("the caller got %q", got)
	}
	if f.Dispatcher.Status()[0].Avoided != 0 {
		t.Error("the endpoint that has just served is avoided")
	}
}
