package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Answers of the tests: 7 tokens in an event, 50 ms between two events, 364 tokens or 52 events at
// most.
const (
	eventTokens = 7
	eventGap    = 50 * time.Millisecond
	maxAnswer   = 364
)

// answer serves a request of the route with the hint whose answer has the number of events.
func (w *harness) answer(t *testing.T, route *resolver.Route, hint, events int) {
	t.Helper()
	l, err := w.d.Acquire(context.Background(), dispatcher.Request{
		Service: "s", Match: resolver.Match{Route: route}, Deadline: w.now.Add(time.Hour), Prompt: 100, Answer: maxAnswer, Hint: hint,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.now = w.now.Add(20 * time.Millisecond)
	l.PrefillDone()
	l.CountEvent()
	for range events - 1 {
		w.now = w.now.Add(eventGap)
		l.CountEvent()
	}
	l.Done(dispatcher.Served)
}

// left returns how long before its caller leaves a request has to be sent.
func (w *harness) left(route *resolver.Route, hint int) time.Duration {
	r := dispatcher.Request{
		Service: "s", Match: resolver.Match{Route: route}, Deadline: w.now.Add(time.Hour), Prompt: 100, Answer: maxAnswer, Hint: hint,
	}
	return r.Deadline.Sub(w.d.LatestStart(r))
}

// train serves 1000 requests with answers of 10 to 30 events.
func (w *harness) train(t *testing.T, route *resolver.Route, hints bool, factor float64) {
	t.Helper()
	w.trainLengths(t, route, 10, 30, hints, factor)
}

// trainLengths serves 1000 requests with answers of shortest to longest events. Every second one has a
// hint if hints is set: the true number of tokens, off by up to the factor in both directions.
func (w *harness) trainLengths(t *testing.T, route *resolver.Route, shortest, longest int, hints bool, factor float64) {
	t.Helper()
	w.makeUneven(t)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 1000 {
		events, hint := shortest+r.IntN(longest-shortest+1), 0
		if hints && i%2 == 0 {
			off := 1 + r.Float64()*(factor-1)
			if r.IntN(2) == 0 {
				off = 1 / off
			}
			hint = int(float64(events*eventTokens) * off)
		}
		w.answer(t, route, hint, events)
	}
}

// makeUneven serves 30 answers of one and of 52 events by turns on another route of the service, so that lengths take effect
// for all of its routes. They have no hints.
func (w *harness) makeUneven(t *testing.T) {
	t.Helper()
	for i := range 30 {
		w.answer(t, &resolver.Route{Name: "uneven"}, 0, 1+51*(i%2))
	}
}

// A request whose answer is short was refused by the time that the longest answer takes, though
// it would have been served.
func TestHintedAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		// shortest and longest are the numbers of events of the route's answers, factor is by how much
		// hints are off, hint that of the request, and least and most the bounds of the time that the
		// request needs.
		shortest, longest int
		factor            float64
		hint              int
		least, most       time.Duration
	}{
		{"exact and short", 10, 30, 1, 35, 250 * time.Millisecond, 450 * time.Millisecond},
		{"exact and long", 1, 52, 1, 280, 2 * time.Second, 2200 * time.Millisecond},
		{"exact and above the maximum", 1, 52, 1, 100_000, 2500 * time.Millisecond, 2700 * time.Millisecond},
		{"far off and short", 10, 30, 3, 35, 450 * time.Millisecond, 1200 * time.Millisecond},
		// A hint doesn't make a request need more than one without.
		{"far off and long", 10, 30, 3, 280, 1500 * time.Millisecond, 2200 * time.Millisecond},
		{"none", 10, 30, 1, 0, 1500 * time.Millisecond, 2200 * time.Millisecond},
	} {
		w := newHarness()
		w.run("endpoint e1 a 1")
		route := &resolver.Route{Name: "r"}
		w.trainLengths(t, route, c.shortest, c.longest, true, c.factor)
		got := w.left(route, c.hint)
		t.Logf("%s: %s", c.name, got)
		if got < c.least || got > c.most {
			t.Errorf("%s: the request needs %s, want %s to %s", c.name, got, c.least, c.most)
		}
	}
}

// The expected length must be right to about a tenth where hints are off by three times: by the
// tokens of an event it decides which engine gets a request.
func TestExpectedLength(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	route := &resolver.Route{Name: "r"}
	w.train(t, route, true, 3)
	l, err := w.d.Acquire(context.Background(), dispatcher.Request{
		Service: "s", Match: resolver.Match{Route: route}, Deadline: w.now.Add(time.Hour), Prompt: 100, Answer: maxAnswer, Hint: 20 * eventTokens,
	})
	if err != nil {
		t.Fatal(err)
	}
	if l.Expected < 19 || l.Expected > 22.2 {
		t.Errorf("%.1f events are expected of an answer of 20", l.Expected)
	}
	t.Logf("%.1f events", l.Expected)
	l.Done(dispatcher.Served)
}

// Hints of one account that are wrong made a request with a right one be refused: the time that it
// was taken to need, and the bound of that time, grew alike with the error of the tokens of an event.
func TestWrongHintsOfOthers(t *testing.T) {
	w, plain := newHarness(), newHarness()
	route := &resolver.Route{Name: "r"}
	for _, h := range []*harness{w, plain} {
		h.run("endpoint e1 a 1")
		h.makeUneven(t)
	}
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 1000 {
		events := 11 + r.IntN(21)
		hint := events * eventTokens
		if i%2 == 0 {
			hint = 1
		}
		w.answer(t, route, hint, events)
		plain.answer(t, route, 0, events)
	}
	for _, hint := range []int{0, 35, 147, maxAnswer} {
		got, without := w.left(route, hint), plain.left(route, hint)
		t.Logf("hint %d: %s, %s on a route without hints", hint, got, without)
		if got > without+time.Millisecond {
			t.Errorf("a request with the hint %d needs %s, want at most the %s on a route without hints", hint, got, without)
		}
	}
}

// A deployment without hints must behave as before, by the stated maximum: the same route needs
// the same time whether its events are counted or not. The same holds for a hint without a maximum,
// and before enough hinted answers were seen.
func TestNoHints(t *testing.T) {
	w, plain := newHarness(), newHarness()
	route := &resolver.Route{Name: "r"}
	for _, h := range []*harness{w, plain} {
		h.run("endpoint e1 a 1")
	}
	w.train(t, route, false, 1)
	r := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		events := 10 + r.IntN(21)
		l, err := plain.d.Acquire(context.Background(), dispatcher.Request{
			Service: "s", Match: resolver.Match{Route: route}, Deadline: plain.now.Add(time.Hour), Prompt: 100, Answer: maxAnswer,
		})
		if err != nil {
			t.Fatal(err)
		}
		plain.now = plain.now.Add(20 * time.Millisecond)
		l.PrefillDone()
		plain.now = plain.now.Add(time.Duration(events-1) * eventGap)
		l.Done(dispatcher.Served)
	}
	if a, b := w.left(route, 0), plain.left(route, 0); a != b {
		t.Errorf("the request needs %s with counted events and %s without", a, b)
	}
	if a, b := w.left(route, 35), w.left(route, 0); a != b {
		t.Errorf("a first hint changes the time from %s to %s", b, a)
	}
	var told []dispatcher.LengthsKnown
	w.d.LengthsKnown = func(k dispatcher.LengthsKnown) { told = append(told, k) }
	for range 7 {
		w.answer(t, route, 140, 20)
	}
	if a, b := w.left(route, 35), w.left(route, 0); a != b {
		t.Errorf("the eighth hint changes the time from %s to %s", b, a)
	}
	w.answer(t, route, 140, 20)
	if a, b := w.left(route, 35), w.left(route, 0); a >= b {
		t.Errorf("after eight hinted answers a short one needs %s, others %s", a, b)
	}
	w.answer(t, route, 140, 20)
	if len(told) != 1 || told[0].Route != "r" || told[0].Tokens < 6.9 || told[0].Tokens > 7.1 {
		t.Errorf("told %+v, want the route once, with 7 tokens for an event", told)
	}
}

// A hint of which no stated maximum bounds the length must not decide: a wrong one would refuse its
// request, or those of others.
func TestHintWithoutMaximum(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	route := &resolver.Route{Name: "r"}
	w.train(t, route, true, 1)
	latest := func(hint int) time.Time {
		return w.d.LatestStart(dispatcher.Request{Service: "s", Match: resolver.Match{Route: route}, Deadline: w.now.Add(time.Hour), Hint: hint})
	}
	if a, b := latest(10_000_000), latest(0); !a.Equal(b) {
		t.Errorf("the request has to be sent at %s with a hint and at %s without", a, b)
	}
}
