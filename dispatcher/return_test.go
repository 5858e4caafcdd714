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

// newFullRankedHarness returns a harness with ranks 0 and 2 whose only engine, of four slots, is full.
func newFullRankedHarness(t *testing.T) (*harness, []*resolver.Route, []*dispatcher.Lease) {
	t.Helper()
	w, routes := newRankedHarness(4, 0, 2)
	w.run("endpoint e1 a 1")
	w.d.Update()
	var leases []*dispatcher.Lease
	for range 5 {
		l, _, err := w.d.Begin(dispatcher.Request{Service: "s", Deadline: w.now.Add(30 * time.Second), Match: resolver.Match{Route: routes[0]}})
		if l == nil || err != nil {
			t.Fatalf("no slot: %v", err)
		}
		leases = append(leases, l)
	}
	return w, routes, leases
}

// returnOf sends a request of a route that may not wait and returns when its caller is to come
// back.
func (w *harness) returnOf(t *testing.T, r *resolver.Route) time.Duration {
	t.Helper()
	_, _, err := w.d.Begin(dispatcher.Request{Service: "s", Deadline: w.now.Add(30 * time.Second), FirstBy: w.now, Match: resolver.Match{Route: r}})
	var e *dispatcher.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return e.RetryAfter
}

// A burst of refused callers of a less urgent rank must not push the return of an urgent one
// behind theirs: it precedes them in the queue.
func TestReturnsOfRanks(t *testing.T) {
	w, routes, _ := newFullRankedHarness(t)
	for range 20 {
		w.returnOf(t, routes[1])
	}
	first, second := w.returnOf(t, routes[0]), w.returnOf(t, routes[0])
	if first > 500*time.Millisecond || second <= first {
		t.Errorf("urgent callers come back after %s and %s, want after one and two slots", first, second)
	}
	if got := w.returnOf(t, routes[1]); got < 20*first {
		t.Errorf("the 21st less urgent caller comes back after %s, want it behind the others", got)
	}
}

// The rate of less urgent requests has the slots of more urgent ones taken out, so that those
// who wait with more urgent requests must not be counted at that rate as well.
func TestReturnBehindUrgentRequests(t *testing.T) {
	w, routes, leases := newFullRankedHarness(t)
	for range 20 {
		if _, q, err := w.d.Begin(dispatcher.Request{Service: "s", Deadline: w.now.Add(30 * time.Second), Match: resolver.Match{Route: routes[0]}}); q == nil {
			t.Fatalf("not queued: %v", err)
		}
	}
	for _, l := range leases[:4] {
		w.now = w.now.Add(250 * time.Millisecond)
		l.Done(dispatcher.Served)
	}
	// A less urgent request gets a slot a second at least by the deviation of a count of none, and no
	// other one waits.
	if got := w.returnOf(t, routes[1]); got > 2*time.Second {
		t.Errorf("a less urgent caller comes back after %s, want after one slot of its rank", got)
	}
}
