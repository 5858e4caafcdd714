package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// untilNoVersionMayBeUsed names version 2 and waits until the endpoints' version 1 may no
// longer be used.
func (w *harness) untilNoVersionMayBeUsed() {
	w.run("operator v version 2")
	w.run("sleep 9s")
}

// heldRequest is a request that may wait for up to 2 s.
func (w *harness) heldRequest() dispatcher.Request {
	return dispatcher.Request{
		Service: "s", Deadline: w.now.Add(6 * time.Second), FirstBy: w.now.Add(waitTime(2 * time.Second)),
		Match: resolver.Match{Route: &resolver.Route{Aim: 400 * time.Millisecond}},
	}
}

// acquireHeld acquires leases for n such requests, and sends the endpoints' ids or the
// errors.
func (w *harness) acquireHeld(t *testing.T, n int) <-chan string {
	got := make(chan string, n)
	r := w.heldRequest()
	for range n {
		go func() {
			l, err := w.d.Acquire(t.Context(), r)
			if err != nil {
				got <- err.Error()
				return
			}
			got <- l.Endpoint.ID
		}()
	}
	return got
}

// While all engines load the next version, requests must wait for the first one that is
// ready: refused ones come back once, while there is none yet, or all at the same time. Those
// that arrive when it is ready must not overtake them.
func TestHeldWhileLoading(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.untilNoVersionMayBeUsed()
	w.run("report e1 1 0")
	got := w.acquireHeld(t, 4)
	for w.d.Status()[0].Queued < 4 {
		select {
		case s := <-got:
			t.Fatalf("got %s before an engine was ready", s)
		case <-time.After(time.Millisecond):
		}
	}
	w.run("report e1 2 0")
	if s := w.run("send 1"); s != "refused-full:1" {
		t.Errorf("a request that arrived after the load got %q, want none of the four slots", s)
	}
	for range 4 {
		if s := <-got; s != "e1" {
			t.Errorf("got %s", s)
		}
	}
}

// If no engine is about to be ready, a request must be refused at once.
func TestNotHeld(t *testing.T) {
	for name, prepare := range map[string]func(*harness){
		"no instance reports": func(*harness) {},
		"draining":            func(w *harness) { w.run("endpoint e1 a 1 draining"); w.run("report e1 1 0") },
		"long outage": func(w *harness) {
			for range 60 {
				w.run("report e1 1 0")
				left, cancel := context.WithCancel(t.Context())
				cancel()
				_, _ = w.d.Acquire(left, w.heldRequest())
				w.run("sleep 100ms")
			}
			w.run("report e1 1 0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness()
			w.run("endpoint e1 a 1")
			w.untilNoVersionMayBeUsed()
			prepare(w)
			select {
			case s := <-w.acquireHeld(t, 1):
				if s != "acquire: no-endpoint" {
					t.Errorf("got %s", s)
				}
			case <-time.After(time.Second):
				t.Error("the request is held")
			}
		})
	}
}

// A request must wait for a slot while its caller does, though the target latency has passed.
// If it is refused, its caller has used up an attempt.
func TestWaitsLongerThanTarget(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.run("send 4")
	got := w.acquireHeld(t, 1)
	for w.d.Status()[0].Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	select {
	case s := <-got:
		t.Fatalf("got %s before the caller's time was over", s)
	case <-time.After(500 * time.Millisecond):
	}
	w.leases["e1"][0].Done(dispatcher.Served)
	if s := <-got; s != "e1" {
		t.Errorf("got %s", s)
	}
}

// Agents that are silent for 1.5 s while their engines load must not have requests refused
// that wait for the first engine. When they have been silent for longer, no end is in sight.
func TestHeldWhileAgentsAreSilent(t *testing.T) {
	for silence, held := range map[string]bool{"1500ms": true, "2500ms": false} {
		w := newHarness()
		w.run("endpoint e1 a 1")
		w.untilNoVersionMayBeUsed()
		w.run("report e1 1 0")
		w.run("sleep " + silence)
		got := w.acquireHeld(t, 1)
		for w.d.Status()[0].Queued < 1 && len(got) < 1 {
			time.Sleep(time.Millisecond)
		}
		w.run("report e1 2 0")
		if s := <-got; (s == "e1") != held {
			t.Errorf("agents silent for %s: got %s", silence, s)
		}
	}
}
