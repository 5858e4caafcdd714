package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// halfOpenFleet is a fleet of four gateways before an engine that fails and one that is full.
type halfOpenFleet struct {
	*fleet
	// held holds the leases of the failing engine, by gateway.
	held map[int]*dispatcher.Lease
	// recovered holds what the gateways say of recoveries.
	recovered []dispatcher.Recovery
}

// newHalfOpenFleet returns a fleet whose gateways have had five failures each at the first engine, the
// last one at the present time, so that it is suspect for 3 s.
func newHalfOpenFleet(t *testing.T, h dispatcher.HalfOpen) *halfOpenFleet {
	t.Helper()
	f := &halfOpenFleet{fleet: newFleetOf(4, 2, 12, 1, 20_400), held: make(map[int]*dispatcher.Lease)}
	for _, g := range f.gateways {
		g.HalfOpen = h
		g.Recovered = func(r dispatcher.Recovery) { f.recovered = append(f.recovered, r) }
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
		// isQuick reports whether a try of a gateway has just failed at once, isSilent whether the engine
		// hasn't been reported for a second, and isCalm whether nothing waits.
		isQuick, isSilent, isCalm, want bool
	}{
		{name: "first attempt", setting: dispatcher.AlwaysHalfOpen, want: true},
		{name: "no setting"},
		{name: "ranks and lengths are alike", setting: dispatcher.HalfOpenMixed},
		{name: "last attempt", setting: dispatcher.AlwaysHalfOpen, request: dispatcher.Request{Last: true}},
		{name: "resumed stream", setting: dispatcher.AlwaysHalfOpen, request: dispatcher.Request{Resumed: true}},
		{name: "quick failure", setting: dispatcher.AlwaysHalfOpen, isQuick: true},
		{name: "no report for a second", setting: dispatcher.AlwaysHalfOpen, isSilent: true},
		{name: "nothing waits", setting: dispatcher.AlwaysHalfOpen, isCalm: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newHalfOpenFleet(t, c.setting)
			f.report()
			f.refuse(0)
			f.now = f.now.Add(950 * time.Millisecond)
			f.reportFrom(boolToInt(c.isSilent))
			switch {
			case c.isCalm:
				f.now = f.now.Add(100 * time.Millisecond)
				f.report()
			case c.isQuick:
				if !f.ask(0, dispatcher.Request{}) {
					t.Fatal("the engine isn't tried")
				}
				f.fail()
				f.now = f.now.Add(300 * time.Millisecond)
				f.report()
				f.refuse(0)
			default:
				f.refuse(0)
			}
			if got := f.ask(0, c.request); got != c.want {
				t.Errorf("the gateway sent the request: %t, want %t", got, c.want)
			}
		})
	}
}

// refuse makes the gateway refuse a request for lack of a slot, which shows that requests wait.
func (f *halfOpenFleet) refuse(g int) { f.ask(g, dispatcher.Request{Exclude: []string{"e0"}}) }

// Guards against several gateways that try an engine at once because it was idle already when requests began to
// wait.
func TestTriesBeginWithPressure(t *testing.T) {
	f := newHalfOpenFleet(t, dispatcher.AlwaysHalfOpen)
	for range 6 {
		f.report()
		f.now = f.now.Add(200 * time.Millisecond)
	}
	f.report()
	for g := range f.gateways {
		f.refuse(g)
		f.ask(g, dispatcher.Request{})
	}
	if len(f.held) > 1 {
		t.Errorf("%d requests at the engine at once", len(f.held))
	}
}

// Guards against an engine that was tried with the only request of the queue and that is avoided all the same
// once this has begun, and against a recovery that nobody hears of.
func TestRecoveryWithQueuedRequest(t *testing.T) {
	f := newHalfOpenFleet(t, dispatcher.AlwaysHalfOpen)
	f.report()
	done := make(chan *dispatcher.Lease)
	r := dispatcher.Request{Service: "s", Deadline: f.now.Add(time.Minute), Prompt: 500, Match: resolver.Match{Route: &resolver.Route{}}}
	go func() {
		l, _ := f.gateways[0].Acquire(t.Context(), r)
		done <- l
	}()
	for i := 0; f.gateways[0].Status()[0].Queued == 0; i++ {
		if i == 2000 {
			t.Fatal("the request isn't queued")
		}
		time.Sleep(time.Millisecond)
	}
	for i := range 4 {
		f.now = f.now.Add(time.Duration(i) * 100 * time.Millisecond)
		f.report()
	}
	l := <-done
	if l == nil || l.Endpoint.ID != "e0" || !l.HalfOpen {
		t.Fatalf("the queued request got %+v, want the engine that failed, as a try", l)
	}
	f.held[0] = l
	l.PrefillDone()
	if len(f.recovered) != 1 || f.recovered[0].Failures != 5 || f.recovered[0].Early <= 0 {
		t.Errorf("recoveries %+v, want one after 5 failures, before the time of the engine as suspect was over", f.recovered)
	}
	if c := f.gateways[0].Status()[0].HalfOpen; c != (dispatcher.HalfOpenCounts{Sent: 1, Begun: 1}) {
		t.Errorf("counted %+v", c)
	}
	if !f.ask(0, dispatcher.Request{}) {
		t.Error("the engine is still avoided after the first event")
	}
}

// Guards against engines that never failed and are left to other gateways under overload, so that a gateway with
// more traffic than its own engines bear refuses most of it although others are nearly idle.
func TestUnevenTrafficWithHalfOpen(t *testing.T) {
	const gateways, slots = 20, 8
	var list []*observer.Gateway
	for i := range gateways {
		list = append(list, &observer.Gateway{Name: fmt.Sprintf("g%02d", i), Domain: "a"})
	}
	served := func(h dispatcher.HalfOpen) int {
		f := newFleetOf(gateways, 12, slots, 1, 20_400)
		g := f.gateways[0]
		g.HalfOpen = h
		g.Update()
		n := 0
		for i := range 300 {
			for e, v := range f.engines {
				load := i % 2
				// At first all are full, so that the gateway refuses requests.
				if i == 0 || slices.Contains(dispatcher.Sharers(&observer.Endpoint{ID: fmt.Sprintf("e%d", e), Domain: "a"}, list), g.Name) {
					load = slots
				}
				g.Report(dispatcher.Report{Address: v.address, Versions: map[string]int64{"m": 1}, Load: load})
			}
			for range 6 {
				r := dispatcher.Request{Service: "s", Deadline: f.now.Add(-1), Prompt: 500, Match: resolver.Match{Route: &resolver.Route{}}}
				if l, err := g.Acquire(context.Background(), r); err == nil {
					n++
					l.PrefillDone()
					l.Done(dispatcher.Served)
				}
			}
			f.now = f.now.Add(600 * time.Millisecond)
		}
		return n
	}
	off, on := served(dispatcher.NeverHalfOpen), served(dispatcher.AlwaysHalfOpen)
	t.Logf("served %d, %d without the setting", on, off)
	if on < off {
		t.Errorf("%d requests served, %d without the setting", on, off)
	}
}
