package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// halfOpenFleet is a fleet of four gateways before an engine that fails and one that is full.
type halfOpenFleet struct {
	*fleet
	// held holds the leases of the failing engine, by gateway.
	held map[int]*dispatcher.Lease
}

// newHalfOpenFleet returns a fleet whose gateways have had five failures each at the first engine, the
// last one at the present time, so that it is suspect for 3 s.
func newHalfOpenFleet(t *testing.T, h dispatcher.HalfOpen) *halfOpenFleet {
	t.Helper()
	f := &halfOpenFleet{newFleetOf(4, 2, 12, 1, 20_400), make(map[int]*dispatcher.Lease)}
	for _, g := range f.gateways {
		g.HalfOpen = h
		g.Update()
	}
	for _, ms := range []int{300, 600, 1200, 2400, 0} {
		f.report()
		for g := range f.gateways {
			if !f.ask(g, dispatcher.Request{}) {
				t.Fatal("a gateway doesn't use an engine that isn't suspect")
			}
		}
		f.report()
		f.now = f.now.Add(failTime)
		f.fail()
		f.now = f.now.Add(time.Duration(ms) * time.Millisecond)
	}
	return f
}

func (f *halfOpenFleet) report() { f.reportFrom(0) }

// reportFrom sends the reports of the engines from one on.
func (f *halfOpenFleet) reportFrom(engine int) {
	for i, load := range []int{len(f.held), f.engines[1].slots} {
		if i < engine {
			continue
		}
		for _, g := range f.gateways {
			g.Report(dispatcher.Report{Address: f.engines[i].address, Versions: map[string]int64{"m": 1}, Load: load})
		}
	}
}

// ask sends a request through a gateway, and reports whether it got the failing engine.
func (f *halfOpenFleet) ask(g int, r dispatcher.Request) bool {
	r.Service, r.Deadline, r.Prompt, r.Match = "s", f.now.Add(-1), 500, resolver.Match{Route: &resolver.Route{}}
	l, err := f.gateways[g].Acquire(context.Background(), r)
	if err == nil {
		f.held[g] = l
	}
	return err == nil
}

// fail ends all requests at the failing engine.
func (f *halfOpenFleet) fail() {
	for g, l := range f.held {
		delete(f.held, g)
		l.Done(dispatcher.Failed)
	}
}

// Guards against an engine that all gateways try at the same time although one request tells whether it serves, and
// that none tries while requests wait.
func TestOneGatewayTriesFailedEngine(t *testing.T) {
	f := newHalfOpenFleet(t, dispatcher.AlwaysHalfOpen)
	const step = 50 * time.Millisecond
	var at []time.Time
	for i := range 50 {
		if i%4 == 0 {
			f.report()
		}
		if len(at) > 0 && f.now.Sub(at[len(at)-1]) >= failTime {
			f.fail()
		}
		for g := range f.gateways {
			if f.held[g] == nil && f.ask(g, dispatcher.Request{}) {
				if f.held[g].HalfOpen {
					at = append(at, f.now)
				}
			}
		}
		if len(f.held) > 1 {
			t.Fatalf("%d requests at the engine at once after %d tries", len(f.held), len(at))
		}
		f.now = f.now.Add(step)
	}
	if len(at) < 2 {
		t.Errorf("the engine was tried %d times in 2.5 s", len(at))
	}
	for i := 1; i < len(at); i++ {
		if pause := at[i].Sub(at[i-1]) - failTime; pause > time.Second {
			t.Errorf("the engine is idle for %v between two tries", pause)
		}
	}
}

// Guards against requests at an engine that is known to fail that have no other attempt or continue a stream, that
// are sent without a setting, while nothing waits, or soon after a failure that reports can't have shown.
func TestNoTryOfFailedEngine(t *testing.T) {
	for _, c := range []struct {
		name    string
		setting dispatcher.HalfOpen
		request dispatcher.Request
		// isQuick reports whether a try of each gateway has just failed at once.
		isQuick, isSilent bool
		want              bool
	}{
		{"first attempt", dispatcher.AlwaysHalfOpen, dispatcher.Request{}, false, false, true},
		{"no setting", "", dispatcher.Request{}, false, false, false},
		{"ranks and lengths are alike", dispatcher.HalfOpenMixed, dispatcher.Request{}, false, false, false},
		{"last attempt", dispatcher.AlwaysHalfOpen, dispatcher.Request{Last: true}, false, false, false},
		{"resumed stream", dispatcher.AlwaysHalfOpen, dispatcher.Request{Resumed: true}, false, false, false},
		{"quick failure", dispatcher.AlwaysHalfOpen, dispatcher.Request{}, true, false, false},
		{"no report for a second", dispatcher.AlwaysHalfOpen, dispatcher.Request{}, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newHalfOpenFleet(t, c.setting)
			f.report()
			// A refusal shows that requests wait.
			for g := range f.gateways {
				f.ask(g, dispatcher.Request{Exclude: []string{"e0"}})
			}
			f.now = f.now.Add(950 * time.Millisecond)
			if c.isSilent {
				f.reportFrom(1)
			} else {
				f.report()
			}
			if c.isQuick {
				for g := range f.gateways {
					f.ask(g, dispatcher.Request{})
				}
				f.fail()
				f.now = f.now.Add(200 * time.Millisecond)
				f.report()
			}
			got := false
			for g := range f.gateways {
				got = f.ask(g, c.request) || got
			}
			if got != c.want {
				t.Errorf("a gateway sent the request: %t, want %t", got, c.want)
			}
		})
	}
}
