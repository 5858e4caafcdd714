package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// A queued request must not wait until its deadline once all endpoints have paused or left.
func TestQueuedRequestsEndWithPause(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice dispatcher.Notice
		reason string
		// earliest and latest bound Error.RetryAfter. A caller with 2 s left comes back after
		// 700 ms at the latest.
		earliest, latest time.Duration
	}{
		{"pause", dispatcher.Notice{Pause: 3 * time.Second}, "paused", 3 * time.Second, 3 * time.Second},
		{"leave", dispatcher.Notice{Leaving: true}, "no-endpoint", 300 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness()
			w.run("endpoint e1 a 1")
			w.run("send 4")
			r := dispatcher.Request{Service: "s", Deadline: w.now.Add(waitTime(time.Second)), Match: resolver.Match{Route: &resolver.Route{}}}
			ended := make(chan error, 1)
			go func() {
				_, err := w.d.Acquire(t.Context(), r)
				ended <- err
			}()
			for w.d.Status()[0].Queued == 0 {
				time.Sleep(time.Millisecond)
			}
			w.d.Notice(w.leases["e1"][0], c.notice)
			var e *dispatcher.Error
			if err := <-ended; !errors.As(err, &e) || e.Reason != c.reason || e.RetryAfter < c.earliest || e.RetryAfter > c.latest {
				t.Errorf("got %v, want %s with %s to %s", err, c.reason, c.earliest, c.latest)
			}
			if s := w.d.Status()[0]; s.Queued != 0 {
				t.Errorf("%d requests are queued", s.Queued)
			}
		})
	}
}

// A queued request must not wait for an endpoint that left because one is free that it may not
// use.
func TestQueuedRequestEndsWithItsOnlyEndpoint(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.run("endpoint e2 b 1")
	w.run("send 4 home=ra")
	r := dispatcher.Request{Service: "s", Deadline: w.now.Add(waitTime(time.Second)), Match: resolver.Match{Route: &resolver.Route{Regions: []string{"ra"}}}}
	ended := make(chan error, 1)
	go func() {
		_, err := w.d.Acquire(t.Context(), r)
		ended <- err
	}()
	for w.d.Status()[0].Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	w.d.Notice(w.leases["e1"][0], dispatcher.Notice{Leaving: true})
	var e *dispatcher.Error
	if err := <-ended; !errors.As(err, &e) || e.Reason != "no-endpoint" {
		t.Errorf("got %v, want no-endpoint", err)
	}
}

// A pause that follows another one too soon for a log line must end waits as well.
func TestSecondPauseEndsWaits(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.run("send 4")
	w.d.Notice(w.leases["e1"][0], dispatcher.Notice{Pause: 100 * time.Millisecond})
	w.run("sleep 200ms")
	r := dispatcher.Request{Service: "s", Deadline: w.now.Add(waitTime(time.Second)), Match: resolver.Match{Route: &resolver.Route{}}}
	ended := make(chan error, 1)
	go func() {
		_, err := w.d.Acquire(t.Context(), r)
		ended <- err
	}()
	for w.d.Status()[0].Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	w.d.Notice(w.leases["e1"][0], dispatcher.Notice{Pause: 3 * time.Second})
	var e *dispatcher.Error
	if err := <-ended; !errors.As(err, &e) || e.Reason != "paused" {
		t.Errorf("got %v, want paused", err)
	}
}

// A request must not be sent on a lease that was given before the endpoint said that it
// leaves or pauses.
func TestLeaseIsRevoked(t *testing.T) {
	for _, n := range []dispatcher.Notice{{Leaving: true}, {Pause: time.Second}} {
		w := newHarness()
		w.run("endpoint e1 a 1")
		w.run("send 2")
		w.d.Notice(w.leases["e1"][0], n)
		if !w.leases["e1"][1].IsRevoked() {
			t.Errorf("%+v: the other lease isn't revoked", n)
		}
		w.run("sleep 1s")
		if got := w.leases["e1"][1].IsRevoked(); got != n.Leaving {
			t.Errorf("%+v: revoked %t after the pause", n, got)
		}
	}
}

// A pause that ends while the request may still wait is no reason to refuse it, and the
// log must name each endpoint that turns once.
func TestShortPauseIsWaitedFor(t *testing.T) {
	w := newHarness()
	var noticed []dispatcher.Notice
	w.d.Noticed = func(_ observer.Endpoint, v dispatcher.Notice, _ dispatcher.NoticeSource) {
		noticed = append(noticed, v)
	}
	w.run("endpoint e1 a 1")
	w.run("send 1")
	for range 3 {
		w.d.Notice(w.leases["e1"][0], dispatcher.Notice{Pause: 300 * time.Millisecond})
	}
	if len(noticed) != 1 {
		t.Errorf("noticed %v, want one call", noticed)
	}
	r := dispatcher.Request{Service: "s", Deadline: w.now.Add(waitTime(400 * time.Millisecond)), Match: resolver.Match{Route: &resolver.Route{}}}
	if err := w.d.Available(r); err != nil {
		t.Errorf("a request that may wait for 400 ms: %v", err)
	}
	r.Deadline = w.now.Add(waitTime(200 * time.Millisecond))
	if err := w.d.Available(r); err == nil {
		t.Error("a request that may wait for 200 ms is not refused")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := w.d.Acquire(ctx, r); err == nil {
		t.Error("an endpoint that pauses got a request")
	}
}
