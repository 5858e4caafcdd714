package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// place sends a request with a hint that isn't to go to the endpoints, and returns its lease.
func (w *harness) place(t *testing.T, route *resolver.Route, hint int, not ...string) *dispatcher.Lease {
	t.Helper()
	l, err := w.d.Acquire(context.Background(), dispatcher.Request{
		Service: "s", Match: resolver.Match{Route: route}, Deadline: w.now.Add(time.Hour), Answer: maxAnswer, Hint: hint, Exclude: not,
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// An engine with a short answer must be preferred to one with a long answer: both have one request,
// and were chosen alike. A stream beyond its expected length isn't stuck, and neither is it about
// to end.
func TestChoiceByWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		hints [2]int
		// events are the numbers of events that have arrived.
		events [2]int
		want   string
	}{
		{"long and short", [2]int{280, 35}, [2]int{0, 0}, "e2"},
		{"none and short", [2]int{0, 14}, [2]int{0, 0}, "e2"},
		{"about to end and fresh", [2]int{280, 140}, [2]int{38, 0}, "e1"},
		{"beyond its hint and about to end", [2]int{70, 210}, [2]int{20, 29}, "e2"},
	} {
		w := newHarness()
		w.run("endpoint e1 a 1")
		w.run("endpoint e2 a 1")
		route := &resolver.Route{Name: "r"}
		w.train(t, route, true, 1)
		for i, not := range []string{"e2", "e1"} {
			l := w.place(t, route, c.hints[i], not)
			l.PrefillDone()
			for range c.events[i] {
				l.CountEvent()
			}
		}
		for range 20 {
			l := w.place(t, route, 70)
			if l.Endpoint.ID != c.want {
				t.Errorf("%s: %s was chosen, want %s", c.name, l.Endpoint.ID, c.want)
			}
			l.Done(dispatcher.Canceled)
		}
		if n := w.d.Status()[0].Avoided; n != 0 {
			t.Errorf("%s: %d endpoints are avoided", c.name, n)
		}
	}
}

// The work that other gateways have at an engine counts by its report: an engine where their requests
// wait was chosen like one where none does.
func TestChoiceByWorkOfOthers(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.run("endpoint e2 a 1")
	route := &resolver.Route{Name: "r"}
	w.train(t, route, true, 1)
	w.run("report e1 1 2 queued=2")
	w.run("report e2 1 2")
	for range 20 {
		l := w.place(t, route, 70)
		if l.Endpoint.ID != "e2" {
			t.Errorf("%s was chosen, though requests wait there", l.Endpoint.ID)
		}
		l.Done(dispatcher.Canceled)
	}
}

// slowAnswers serves answers of a number of events one after the other at an endpoint, whose gaps are
// those of the factor, for the time.
func (w *harness) slowAnswers(t *testing.T, route *resolver.Route, not string, events int, factor float64, d time.Duration) {
	t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		l := w.place(t, route, 140, not)
		l.PrefillDone()
		l.CountEvent()
		for range events - 1 {
			gap := eventGap
			if w.now.Before(end) {
				gap = time.Duration(factor * float64(eventGap))
			}
			w.now = w.now.Add(gap)
			l.CountEvent()
		}
		l.Done(dispatcher.Served)
	}
}

// An engine that was slow for a moment was left unused, or a slow one was used like the others. The
// moment of this load is 0.6 s at 2.5 times.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		name   string
		events int
		factor float64
		slow   time.Duration
		// rest is the time without answers after it.
		rest time.Duration
		// avoided reports whether the engine is to get nothing while another one has twice as much.
		avoided bool
	}{
		{"moment in a long answer", 20, 2.5, 600 * time.Millisecond, 0, false},
		{"moment in two answers", 5, 2.5, 600 * time.Millisecond, 0, false},
		{"moment in many answers", 4, 2.5, 600 * time.Millisecond, 0, false},
		// Two answers of 19 gaps take 4.75 s then.
		{"slow engine", 20, 2.5, 4750 * time.Millisecond, 0, true},
		{"little slower engine", 20, 1.3, 5 * time.Second, 0, false},
		{"slow engine without answers", 20, 2.5, 4750 * time.Millisecond, 3100 * time.Millisecond, false},
	} {
		w := newHarness()
		w.run("endpoint e1 a 1")
		w.run("endpoint e2 a 1")
		route := &resolver.Route{Name: "r"}
		var told []dispatcher.PaceChange
		w.d.PaceChanged = func(c dispatcher.PaceChange) { told = append(told, c) }
		w.train(t, route, true, 1)
		w.slowAnswers(t, route, "e2", c.events, c.factor, c.slow)
		w.now = w.now.Add(c.rest)
		for _, not := range []string{"e2", "e1", "e1"} {
			w.place(t, route, 140, not).PrefillDone()
		}
		w.d.Update()
		w.d.Update()
		if len(told) > 1 || (len(told) == 1) != c.avoided || w.d.Status()[0].Slow != len(told) {
			t.Errorf("%s: told %v, status %+v", c.name, told, w.d.Status()[0])
		}
		const requests = 40
		count := 0
		for range requests {
			l := w.place(t, route, 140)
			if l.Endpoint.ID == "e1" {
				count++
			}
			l.Done(dispatcher.Canceled)
		}
		if count != 0 && count != requests || (count == 0) != c.avoided {
			t.Errorf("%s: %d of %d requests went to the engine", c.name, count, requests)
		}
		if n := w.d.Status()[0].Avoided; n != 0 {
			t.Errorf("%s: %d endpoints are avoided", c.name, n)
		}
	}
}
