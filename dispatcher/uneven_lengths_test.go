package dispatcher_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// lengths draws numbers of events whose logarithm has the deviation spread, of 1 to most events.
type lengths struct {
	median, spread float64
	most           int
}

func (l lengths) draw(r *rand.Rand) int {
	return int(min(float64(l.most), max(1, math.Round(l.median*math.Exp(l.spread*r.NormFloat64())))))
}

// serveLengths serves responses of the lengths on the route, every second one with an exact
// hint, and returns after how many the condition was first as wanted; 0 if it never was.
func (w *harness) serveLengths(t *testing.T, r *rand.Rand, route string, l lengths, responses int, want bool) int {
	t.Helper()
	first := 0
	for i := range responses {
		events, hint := l.draw(r), 0
		if i%2 == 0 {
			hint = events * eventTokens
		}
		w.answer(t, &resolver.Route{Name: route}, hint, events)
		if first == 0 && w.d.Status()[0].Uneven == want {
			first = i + 1
		}
	}
	return first
}

// unbounded is a number of events that no response of these tests reaches.
const unbounded = 1 << 20

// Lengths took effect in deployments whose responses are about equally long. The load: one streaming route before
// one engine, one response after the other. Responses of fleet U have at most 52 events, with a median of 21
// or 10 and a spread of 1.2 to 1.6; those of other fleets have a spread of 0.9 at most.
func TestUnevenLengths(t *testing.T) {
	for _, c := range []struct {
		name    string
		lengths lengths
		// most is the number of responses after which the condition holds; 0 if it never does in 20,000.
		most int
	}{
		{"fleet U, 10 events, 1.2", lengths{10, 1.2, 52}, 650},
		{"fleet U, 10 events, 1.4", lengths{10, 1.4, 52}, 200},
		{"fleet U, 10 events, 1.6", lengths{10, 1.6, 52}, 120},
		{"fleet U, 21 events, 1.6", lengths{21, 1.6, 52}, 300},
		{"other fleet, 22 events, 0.69", lengths{22, 0.69, unbounded}, 0},
		{"other fleet, 22 events, 0.9", lengths{22, 0.9, unbounded}, 0},
		{"other fleet, 14 events, 0.9", lengths{14, 0.9, unbounded}, 0},
		{"other fleet, 22 events of 52 at most, 0.9", lengths{22, 0.9, 52}, 0},
		{"all responses alike", lengths{22, 0, unbounded}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newHarness()
				w.run("endpoint e1 a 1")
				r := rand.New(rand.NewPCG(seed, 1))
				responses := 20_000
				if c.most > 0 {
					responses = c.most
				}
				first := w.serveLengths(t, r, "r", c.lengths, responses, true)
				t.Logf("seed %d: begins after %d responses", seed, first)
				if (first > 0) != (c.most > 0) {
					t.Errorf("seed %d: the lengths count as uneven after %d responses, want %d at most (0 for never)", seed, first, c.most)
				}
			}
		})
	}
}

// A gateway of a large fleet sees few responses of each route: those of all routes together must begin the condition
// earlier than each one alone, and not where each route is even and only their usual lengths differ. The load: three
// routes by turns, those of fleet U with a spread of 1.4 and at most 52 events.
func TestUnevenLengthsOfManyRoutes(t *testing.T) {
	for _, c := range []struct {
		name   string
		routes []lengths
		// most is the number of responses of all routes after which the condition holds; 0 if it never does in 20,000.
		most int
	}{
		{"fleet U", []lengths{{21, 1.4, 52}, {21, 1.4, 52}, {10, 1.4, 52}}, 240},
		{"other fleet", []lengths{{22, 0.9, unbounded}, {14, 0.9, unbounded}, {22, 0.9, unbounded}}, 0},
		{"routes of 3, 30 and 300 events", []lengths{{3, 0.69, unbounded}, {30, 0.69, unbounded}, {300, 0.69, unbounded}}, 0},
	} {
		for seed := range uint64(5) {
			w := newHarness()
			w.run("endpoint e1 a 1")
			r := rand.New(rand.NewPCG(seed, 1))
			most, first := 20_000, 0
			if c.most > 0 {
				most = c.most
			}
			for n := 1; n <= most && first == 0; n++ {
				first = n * w.serveLengths(t, r, fmt.Sprint(n%3), c.routes[n%3], 1, true)
			}
			t.Logf("%s, seed %d: begins after %d responses", c.name, seed, first)
			if (first > 0) != (c.most > 0) {
				t.Errorf("%s, seed %d: the lengths count as uneven after %d responses, want %d at most (0 for never)", c.name, seed, first, c.most)
			}
		}
	}
}

// Few responses that happen to differ must not begin the condition: 29 of 1 and 52 events by turns have a deviation of 2.
func TestUnevenNeedsResponses(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	route := &resolver.Route{Name: "r"}
	for i := range 30 {
		if w.d.Status()[0].Uneven {
			t.Fatalf("the lengths count as uneven after %d responses", i)
		}
		w.answer(t, route, 0, 1+51*(i%2))
	}
	if !w.d.Status()[0].Uneven {
		t.Error("the lengths don't count as uneven after 30 responses")
	}
}

// A deviation that moves between the two bounds must not change the condition, or choices and refusals would go
// by lengths and slots in turn: from 1.2 to 0.95 nothing changes, below 0.9 the condition ends, and at 0.95 it
// doesn't begin again. One line is logged for each change.
func TestUnevenHysteresis(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	var told []dispatcher.UnevenChange
	w.d.UnevenChanged = func(c dispatcher.UnevenChange) { told = append(told, c) }
	r := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		spread float64
		uneven bool
		told   int
	}{{0.95, false, 0}, {1.2, true, 1}, {0.95, true, 1}, {0.7, false, 2}, {0.95, false, 2}, {1.2, true, 3}} {
		w.serveLengths(t, r, "r", lengths{22, c.spread, unbounded}, 6000, c.uneven)
		if got := w.d.Status()[0].Uneven; got != c.uneven || len(told) != c.told {
			t.Fatalf("with a spread of %.2f uneven is %v, told %+v; want %v and %d changes", c.spread, got, told, c.uneven, c.told)
		}
	}
	if c := told[0]; c.Service != "s" || c.Route != "r" || !c.Uneven || c.Deviation < 1 || c.Responses < 30 {
		t.Errorf("told %+v first", c)
	}
	if c := told[1]; c.Uneven || c.Deviation >= 0.9 || c.Deviation < 0.89 {
		t.Errorf("told %+v of the end", c)
	}
}

// One route with uneven lengths is enough for a service. One that the configuration no longer has, or
// sends to the service with a weight of 0, would keep the condition up for ever, as it gets no responses any more.
func TestUnevenRoutes(t *testing.T) {
	w := newHarness()
	w.state.Decode = func(_ string, v []byte) (*observer.Decision, error) {
		c := &resolver.Configuration{Revision: 1, Services: []resolver.Service{{Name: "s", Engine: &resolver.Engine{Model: "m", Slots: 4, ReadRate: 10_000}}}}
		for _, name := range string(v) {
			// The targets of routes in upper case have no weight.
			weight := 1
			if unicode.IsUpper(name) {
				weight = 0
			}
			c.Routes = append(c.Routes, resolver.Route{Name: strings.ToLower(string(name)), Targets: []resolver.Target{{Service: "s", Weight: weight}, {Service: "t", Weight: 1}}})
		}
		return &observer.Decision{Configuration: c}, nil
	}
	configure := func(routes string) {
		w.state.ApplyOperator([]connector.Item{w.item("config", routes)}, time.Time{})
		w.d.Update()
	}
	w.run("endpoint e1 a 1")
	configure("abc")
	var told []dispatcher.UnevenChange
	w.d.UnevenChanged = func(c dispatcher.UnevenChange) { told = append(told, c) }
	r := rand.New(rand.NewPCG(1, 1))
	even, uneven := lengths{22, 0.69, unbounded}, lengths{10, 1.6, 52}
	check := func(when string, want bool, changes int) {
		t.Helper()
		if got := w.d.Status()[0].Uneven; got != want || len(told) != changes {
			t.Fatalf("%s: uneven is %v, told %+v; want %v and %d changes", when, got, told, want, changes)
		}
	}
	w.serveLengths(t, r, "a", even, 500, true)
	check("even route", false, 0)
	w.serveLengths(t, r, "b", uneven, 500, true)
	w.serveLengths(t, r, "c", uneven, 500, true)
	w.serveLengths(t, r, "a", even, 500, true)
	check("two uneven routes", true, 1)
	configure("ab")
	check("one uneven route is left", true, 1)
	configure("a")
	check("no uneven route is left", false, 2)
	configure("ab")
	w.serveLengths(t, r, "b", uneven, 20, true)
	check("uneven route is back", false, 2)
	w.serveLengths(t, r, "b", uneven, 500, true)
	check("uneven route was seen again", true, 3)
	configure("aB")
	check("uneven route has a weight of 0", false, 4)
}

// decisions are what a gateway decides by lengths, work and pace.
type decisions struct {
	// left is the time that a request with each hint of decisionHints has to be sent before its caller leaves,
	// silent the time after which its endpoint counts as silent, and retry when its caller is to come back.
	left, silent, retry []time.Duration
	// expected is the number of events expected of the last of them.
	expected float64
	// long, waiting and slow report whether an engine gets no request while another one is as good by slots:
	// it has a long answer in place of a short one, requests of others wait there, and it is slow.
	long, waiting, slow bool
}

var decisionHints = []int{0, 35, 140, maxAnswer}

// decide returns the decisions for a route after the responses by which the harness knows it.
func (w *harness) decide(t *testing.T, route *resolver.Route) decisions {
	t.Helper()
	var d decisions
	for _, h := range decisionHints {
		l := w.place(t, route, h)
		d.left = append(d.left, w.left(route, h))
		d.silent = append(d.silent, l.SilentAfter())
		d.expected = l.Expected
		l.Done(dispatcher.Canceled)
		d.retry = append(d.retry, w.d.RetryAfter(dispatcher.Request{
			Service: "s", Match: resolver.Match{Route: route}, Deadline: w.now.Add(time.Hour), Prompt: 100, Answer: maxAnswer, Hint: h,
		}))
	}
	// neverFirst reports whether none of 40 requests goes to e1.
	neverFirst := func() bool {
		for range 40 {
			l := w.place(t, route, 70)
			first := l.Endpoint.ID == "e1"
			l.Done(dispatcher.Canceled)
			if first {
				return false
			}
		}
		return true
	}
	long, short := w.place(t, route, 280, "e2"), w.place(t, route, 35, "e1")
	long.PrefillDone()
	short.PrefillDone()
	d.long = neverFirst()
	long.Done(dispatcher.Canceled)
	short.Done(dispatcher.Canceled)

	w.run("report e1 1 2 queued=2")
	w.run("report e2 1 2")
	d.waiting = neverFirst()
	w.run("report e1 1 0")
	w.run("report e2 1 0")
	w.run("sleep 5s")

	w.slowAnswers(t, route, "e2", 20, 2.5, 4750*time.Millisecond)
	for _, not := range []string{"e2", "e1", "e1"} {
		l := w.place(t, route, 140, not)
		l.PrefillDone()
		defer l.Done(dispatcher.Canceled)
	}
	d.slow = neverFirst()
	return d
}

// Where responses are about equally long, hints changed which engine a request gets, which one is refused, and how
// long callers wait, though slots measure the work as well. Two gateways serve the same responses one after
// the other on one route, one of them with exact hints of half of them: with even lengths they must decide the same,
// and with those of fleet U the hints must decide.
func TestEvenLengthsDecideNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		lengths []lengths
		uneven  bool
	}{
		{"even", []lengths{{22, 0.69, unbounded}}, false},
		{"at the bound of other fleets", []lengths{{22, 0.9, 52}}, false},
		{"fleet U", []lengths{{10, 1.4, 52}}, true},
		{"fleet U and even again", []lengths{{10, 1.4, 52}, {10, 0.69, 52}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all [2]decisions
			for i := range all {
				w := newHarness()
				w.run("endpoint e1 a 1")
				w.run("endpoint e2 a 1")
				r := rand.New(rand.NewPCG(1, 1))
				route := &resolver.Route{Name: "r"}
				for _, l := range c.lengths {
					for n := range 4000 {
						events, hint := l.draw(r), 0
						if i == 0 && n%2 == 0 {
							hint = min(maxAnswer, events*eventTokens)
						}
						w.answer(t, route, hint, events)
					}
				}
				all[i] = w.decide(t, route)
				s := w.d.Status()[0]
				if s.Uneven != c.uneven || s.Unwritten != 0 && !c.uneven {
					t.Errorf("status %+v, want uneven %v, and events left to write only then", s, c.uneven)
				}
				if i == 0 && s.Slow != 1 {
					t.Errorf("%d slow engines are counted, want 1 in any case", s.Slow)
				}
			}
			hinted, plain := all[0], all[1]
			t.Logf("with hints %+v, without %+v", hinted, plain)
			if !c.uneven && !reflect.DeepEqual(hinted, plain) {
				t.Errorf("with hints %+v\nwithout %+v", hinted, plain)
			}
			if c.uneven && (hinted.left[1] >= plain.left[1] || hinted.expected == 0 || !hinted.long || !hinted.waiting || !hinted.slow) {
				t.Errorf("hints don't decide: with hints %+v\nwithout %+v", hinted, plain)
			}
			if plain.expected != 0 || plain.long || plain.waiting || plain.slow {
				t.Errorf("lengths decide without hints: %+v", plain)
			}
		})
	}
}
