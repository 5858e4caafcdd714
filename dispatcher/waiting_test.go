package dispatcher_test

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// waitingHarness is a gateway with engines of four slots, whose reports come from their agents.
type waitingHarness struct {
	*harness
	routes []*resolver.Route
}

func newWaitingHarness(engines int, ranks ...int) *waitingHarness {
	w, routes := newRankedHarness(4, ranks...)
	h := &waitingHarness{w, routes}
	for i := range engines {
		h.run("endpoint e" + string(rune('1'+i)) + " a 1")
	}
	return h
}

// withoutShare switches off the lowest share, which would give a less urgent request a slot.
func (h *waitingHarness) withoutShare() {
	h.d.LowestShare = 0
	h.d.Update()
}

// report passes a report of an engine with the number of requests there and those that wait elsewhere.
func (h *waitingHarness) report(engine, load int, waiting ...int) {
	a := netip.MustParseAddr("10.0.0.1")
	h.d.Report(dispatcher.Report{
		Address: netip.AddrPortFrom(a, uint16(engine)), From: netip.AddrPortFrom(a, uint16(1000+engine)), Versions: map[string]int64{"m": 1},
		Load: load, Waiting: waiting,
	})
}

// begin sends n requests of a route and returns the numbers of those that got a slot and that wait.
func (h *waitingHarness) begin(t *testing.T, route, n int, resumed bool) (got, waiting int, leases []*dispatcher.Lease) {
	t.Helper()
	for range n {
		l, w, err := h.d.Begin(dispatcher.Request{Service: "s", Deadline: h.now.Add(30 * time.Second), Resumed: resumed, Match: resolver.Match{Route: h.routes[route]}})
		switch {
		case err != nil:
			t.Fatal(err)
		case w != nil:
			waiting++
		default:
			got++
			leases = append(leases, l)
		}
	}
	return got, waiting, leases
}

// Guards against statements that don't add up to the waiting requests, that always count a remainder
// at the same engine, that exceed the limit, and that go on after the wait.
func TestStatedWaiting(t *testing.T) {
	h := newWaitingHarness(3, 0, 2)
	for e := 1; e <= 3; e++ {
		h.report(e, 8)
	}
	if l := h.d.Waiting(); len(l) != 0 {
		t.Errorf("%+v stated while none waits", l)
	}
	h.begin(t, 0, 31, false)
	queued := h.d.Status()[0].Queued
	if queued == 0 || queued%3 == 0 {
		t.Fatalf("%d requests wait, want a number with a remainder", queued)
	}
	sums := make(map[netip.AddrPort]int)
	for range 3 {
		total := 0
		for _, w := range h.d.Waiting() {
			if len(w.Ranks) != 2 || w.Ranks[1] != 0 || w.To.Port() != 1000+w.Endpoint.Port() {
				t.Errorf("statement %+v", w)
			}
			total += w.Ranks[0]
			sums[w.Endpoint] += w.Ranks[0]
		}
		if total != queued {
			t.Errorf("%d stated, want %d", total, queued)
		}
	}
	for a, n := range sums {
		if n != queued {
			t.Errorf("%d stated to %s in three rounds, want %d", n, a, queued)
		}
	}
	h.run("sleep 31s")
	for range 2 {
		h.d.Update()
	}
	if n := h.d.Status()[0].Queued; n != 0 {
		t.Fatalf("%d requests still wait", n)
	}
	l := h.d.Waiting()
	for _, w := range l {
		if !reflect.DeepEqual(w.Ranks, []int{0, 0}) {
			t.Errorf("statement %+v after the wait", w)
		}
	}
	if len(l) != 3 {
		t.Errorf("%d statements that nothing waits, want 3", len(l))
	}
	if l := h.d.Waiting(); len(l) != 0 {
		t.Errorf("%+v stated after the end", l)
	}
}

// Guards against statements where all requests have one rank, or to an address that isn't known.
func TestNothingStated(t *testing.T) {
	h := newWaitingHarness(1, 1)
	h.report(1, 8)
	if _, n, _ := h.begin(t, 0, 3, false); n == 0 || len(h.d.Waiting()) > 0 {
		t.Errorf("%d wait, statements %+v where ranks are equal", n, h.d.Waiting())
	}
	h = newWaitingHarness(1, 0, 2)
	h.run("report e1 1 8")
	if _, n, _ := h.begin(t, 0, 9, false); n == 0 || len(h.d.Waiting()) > 0 {
		t.Errorf("%d wait, statements %+v without the address of an agent", n, h.d.Waiting())
	}
}

// Guards against requests that are stated to an engine that has a place for them, and that wait for the
// reading of prompts: slots that are left to them would stay free.
func TestStatedToFullEngines(t *testing.T) {
	h := newWaitingHarness(2, 0, 2)
	h.report(1, 8)
	h.report(2, 0)
	for range 6 {
		if _, _, err := h.d.Begin(dispatcher.Request{Service: "s", Prompt: 3000, Deadline: h.now.Add(30 * time.Second), Match: resolver.Match{Route: h.routes[0]}}); err != nil {
			t.Fatal(err)
		}
	}
	queued := h.d.Status()[0].Queued
	l := h.d.Waiting()
	if queued == 0 || len(l) != 1 || l[0].Endpoint.Port() != 1 || l[0].Ranks[0] != queued {
		t.Errorf("%d wait, statements %+v, want all at the engine that is full", queued, l)
	}
}

// Guards against more than 64 waiting requests of one rank that count at one engine.
func TestStatedWaitingIsClamped(t *testing.T) {
	h := newWaitingHarness(1, 0, 2)
	h.report(1, 8)
	if _, n, _ := h.begin(t, 0, 100, false); n <= 64 {
		t.Fatalf("%d requests wait", n)
	}
	if l := h.d.Waiting(); len(l) != 1 || l[0].Ranks[0] != 64 {
		t.Errorf("statements %+v, want 64", l)
	}
}

// Guards against sums that include the receiving gateway, statements that are too old, were replaced or
// are out of range, and against a sum where none waits, as it would change the bytes of a report.
func TestSumOfStatements(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &dispatcher.Statements{Now: func() time.Time { return now }}
	check := func(gateway string, want ...int) {
		t.Helper()
		if got := s.Others(gateway); !slices.Equal(got, want) || (got == nil) != (want == nil) {
			t.Errorf("sum for %s: %v, want %v", gateway, got, want)
		}
	}
	check("a")
	s.Hear("a", []int{3, 0, 1})
	check("a")
	check("b", 3, 0, 1)
	now = now.Add(300 * time.Millisecond)
	s.Hear("b", []int{1, 1000, -5, 2})
	check("a", 1, 64, 0, 2)
	check("c", 4, 64, 1, 2)
	now = now.Add(201 * time.Millisecond)
	check("c", 1, 64, 0, 2)
	s.Hear("b", []int{0, 0, 0})
	check("c")
	s.Hear("b", make([]int, 1000))
	s.Hear("a", slices.Repeat([]int{1}, 1000))
	if n := len(s.Others("b")); n != 16 {
		t.Errorf("%d ranks, want 16", n)
	}
}

// Guards against less urgent requests that take slots for which more urgent ones wait at another gateway,
// and against an effect on others.
func TestSlotsLeftToOthers(t *testing.T) {
	for _, c := range []struct {
		name    string
		load    int
		waiting []int
		age     time.Duration
		route   int
		resumed bool
		want    int
	}{
		{name: "none waits", route: 1, want: 4},
		{name: "two of the most urgent wait", waiting: []int{2, 0}, route: 1, want: 2},
		{name: "two wait and one slot is free", load: 3, waiting: []int{2}, route: 1, want: 0},
		{name: "less urgent ones wait", waiting: []int{0, 3}, route: 1, want: 4},
		{name: "the most urgent leaves none", waiting: []int{4, 4}, route: 0, want: 4},
		{name: "a resumed stream leaves none", waiting: []int{4}, route: 1, resumed: true, want: 4},
		{name: "a report of 0.5 s counts", waiting: []int{3}, age: 500 * time.Millisecond, route: 1, want: 1},
		{name: "an older one doesn't", waiting: []int{3}, age: 510 * time.Millisecond, route: 1, want: 4},
		{name: "negative", waiting: []int{-3}, route: 1, want: 4},
		{name: "more ranks than here", waiting: []int{1, 1, 1, 1, 1}, route: 1, want: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newWaitingHarness(1, 0, 2)
			h.withoutShare()
			h.report(1, c.load, c.waiting...)
			h.now = h.now.Add(c.age)
			got, _, leases := h.begin(t, c.route, 4, c.resumed)
			if got != c.want {
				t.Errorf("%d requests got a slot, want %d", got, c.want)
			}
			h.report(1, c.load+got)
			for _, l := range leases {
				l.Done(dispatcher.Served)
			}
		})
	}
}

// Guards against slots that stay reserved when the next report says that none waits elsewhere, and a
// request that doesn't say that it waited because of a reservation.
func TestLeftSlotIsLent(t *testing.T) {
	h := newWaitingHarness(1, 0, 2)
	h.withoutShare()
	h.report(1, 0, 4)
	_, w, err := h.d.Begin(dispatcher.Request{Service: "s", Deadline: h.now.Add(30 * time.Second), Match: resolver.Match{Route: h.routes[1]}})
	if err != nil || w == nil {
		t.Fatalf("not queued: %v", err)
	}
	if s := h.d.Status()[0].Ranks; len(s) != 2 || s[0].Elsewhere != 4 || s[1].Elsewhere != 0 {
		t.Errorf("status %+v, want four slots reserved for other gateways", s)
	}
	h.now = h.now.Add(200 * time.Millisecond)
	h.report(1, 0)
	l, ended, err := w.End()
	if !ended || err != nil || !l.Reserved || !l.ReservedElsewhere {
		t.Errorf("lease %+v, ended %t, %v; want a slot after the next report, and reserved for other gateways", l, ended, err)
	}
}

// Guards against a refusal that doesn't tell for whom slots were kept.
func TestReasonOfReservation(t *testing.T) {
	for _, c := range []struct {
		load    int
		waiting []int
		want    string
	}{
		{load: 0, waiting: []int{4}, want: dispatcher.ReservedElsewhere},
		{load: 4, want: "full"},
	} {
		h := newWaitingHarness(1, 0, 2)
		h.withoutShare()
		h.report(1, c.load, c.waiting...)
		_, _, err := h.d.Begin(dispatcher.Request{Service: "s", Deadline: h.now.Add(-1), Match: resolver.Match{Route: h.routes[1]}})
		var e *dispatcher.Error
		if !errors.As(err, &e) || e.Reason != c.want {
			t.Errorf("load %d, waiting %v: %v, want %s", c.load, c.waiting, err, c.want)
		}
	}
}

// Guards against a rank that gets nothing while all slots are reserved for other gateways.
func TestLowestShareBesideOthers(t *testing.T) {
	h := newWaitingHarness(1, 0, 2)
	served := 0
	for range 50 {
		h.report(1, 0, 64)
		got, _, leases := h.begin(t, 1, 1, false)
		served += got
		for _, l := range leases {
			l.Done(dispatcher.Served)
		}
		h.run("sleep 200ms")
	}
	if served == 0 {
		t.Error("no request of rank 2 in ten seconds")
	}
}
