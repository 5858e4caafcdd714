package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// retryAfter sends a request that may not wait and returns when its caller is to come back.
func (w *harness) retryAfter(t *testing.T, left time.Duration) time.Duration {
	t.Helper()
	r := dispatcher.Request{Service: "s", Deadline: w.now.Add(left), FirstBy: w.now, Match: resolver.Match{Route: &resolver.Route{Aim: w.aim}}}
	_, err := w.d.Acquire(context.Background(), r)
	var e *dispatcher.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return e.RetryAfter
}

// Callers who are refused at one moment must not be told to come back at one: few of them would
// find a slot. They come back as slots are expected, whatever the target latency.
func TestReturnsAreSpread(t *testing.T) {
	for _, aim := range []time.Duration{40 * time.Millisecond, 4 * time.Second} {
		w := newHarness()
		w.aim = aim
		w.run("endpoint e1 a 1")
		w.run("send 4")
		for i := range 5 {
			w.run(fmt.Sprintf("queue q%d deadline=30s", i))
		}
		for range 2 {
			w.run("sleep 250ms")
			w.run("free e1")
		}
		// Three requests wait for the four slots a second, so that a slot is free in 1 s.
		for i := range 4 {
			want := time.Duration(i+4) * 250 * time.Millisecond
			if got := w.retryAfter(t, 30*time.Second); got != want {
				t.Errorf("caller %d comes back after %s, want %s", i, got, want)
			}
		}
	}
}

// A caller waits a third of its remaining time at most before it comes back, so a longer time
// would tell it nothing. Many who are told that third at one moment must not all come at its end.
func TestReturnsAreHonoured(t *testing.T) {
	for name, prepare := range map[string]string{"full": "send 4", "no endpoint": "notice e1 leaving"} {
		w := newHarness()
		w.run("endpoint e1 a 1")
		w.run("send 1")
		w.run(prepare)
		var all []time.Duration
		for range 100 {
			all = append(all, w.retryAfter(t, 3*time.Second))
		}
		slices.Sort(all)
		if all[99] > time.Second || all[0] < 0 {
			t.Errorf("%s: callers with 3 s left come back after %s to %s, want at most 1 s", name, all[0], all[99])
		}
		if all[90]-all[10] < 200*time.Millisecond {
			t.Errorf("%s: four of five callers come back within %s", name, all[90]-all[10])
		}
	}
}

// A caller must not be told to come back when its work no longer fits into its time.
func TestReturnLeavesTimeForWork(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	for range 50 {
		w.run("send 1")
		w.run("sleep 1s")
		w.run("free e1")
	}
	w.run("send 4")
	for range 20 {
		if got := w.retryAfter(t, 1200*time.Millisecond); got > 200*time.Millisecond {
			t.Fatalf("a caller with 1.2 s left for 1 s of work comes back after %s", got)
		}
	}
}

// A caller that is refused alone because no engine has weights must come back as late as it can:
// weights take seconds to arrive, and it has one more attempt.
func TestReturnsLateWithoutWeights(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	for range 50 {
		w.run("send 4")
		w.run("sleep 100ms")
		for range 4 {
			w.run("free e1")
		}
	}
	w.run("send 1")
	w.run("notice e1 leaving")
	for range 10 {
		w.run("sleep 200ms")
		if got := w.retryAfter(t, 6*time.Second); got < 1900*time.Millisecond || got > 2*time.Second {
			t.Errorf("a caller with 6 s left comes back after %s, want 1.9 s or more", got)
		}
	}
}
