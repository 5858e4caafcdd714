package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// newRankedHarness returns a harness whose service has engines of the slots, and the routes of its
// ranks.
func newRankedHarness(slots int, ranks ...int) (*harness, []*resolver.Route) {
	w := newHarness()
	c := &resolver.Configuration{Revision: 2, Services: []resolver.Service{
		{Name: "s", Engine: &resolver.Engine{Model: "m", Slots: slots, ReadRate: 10_000}},
	}}
	var routes []*resolver.Route
	for _, k := range ranks {
		c.Routes = append(c.Routes, *rankedRoute{rank: k, aim: 400 * time.Millisecond}.route())
	}
	for i := range c.Routes {
		routes = append(routes, &c.Routes[i])
	}
	w.state.Decode = func(string, []byte) (*observer.Decision, error) { return &observer.Decision{Configuration: c}, nil }
	w.state.DecodeEndpoint = func(key string, v []byte) (*observer.Endpoint, error) {
		e, err := decodeEndpoint(key, v)
		e.Slots = slots
		return e, err
	}
	w.state.ApplyOperator([]connector.Item{w.item("config", "ranks")}, time.Time{})
	w.d.LowestShare = 0.1
	return w, routes
}

// engineJob is a request at the engine of TestLowestShareInOverload.
type engineJob struct {
	lease   *dispatcher.Lease
	urgency int
	end     time.Time
}

// While urgent requests overload the engines, less urgent ones must get the lowest share: they
// were all refused on arrival, or found the engines filled beyond their slots.
func TestLowestShareInOverload(t *testing.T) {
	const (
		slots = 12
		work  = 400 * time.Millisecond
		step  = 10 * time.Millisecond
		span  = 7 * time.Second
	)
	w, routes := newRankedHarness(slots, 0, 2)
	w.run("endpoint e1 a 1")
	w.d.Update()
	var (
		waits           []*dispatcher.Wait
		waiting, active []*engineJob
		served, refused [2]int
	)
	rankOf := make(map[*dispatcher.Lease]int)
	ranksOf := make(map[*dispatcher.Wait]int)
	send := func(l *dispatcher.Lease, rank int) {
		j := &engineJob{lease: l, urgency: rank}
		if l.Owed {
			j.urgency = 0
		}
		rankOf[l] = rank
		waiting = append(waiting, j)
	}
	ask := func(rank int) {
		r := dispatcher.Request{Service: "s", Deadline: w.now.Add(4 * time.Second), Prompt: 100, Match: resolver.Match{Route: routes[rank]}}
		switch l, q, err := w.d.Begin(r); {
		case err != nil:
			refused[rank]++
		case q != nil:
			waits = append(waits, q)
			ranksOf[q] = rank
		default:
			send(l, rank)
		}
	}
	for at := time.Duration(0); at < span; at += step {
		active = slices.DeleteFunc(active, func(j *engineJob) bool {
			if j.end.After(w.now) {
				return false
			}
			served[rankOf[j.lease]]++
			j.lease.Done(dispatcher.Served)
			return true
		})
		waits = slices.DeleteFunc(waits, func(q *dispatcher.Wait) bool {
			l, ended, err := q.End()
			if err != nil {
				refused[ranksOf[q]]++
			} else if ended {
				send(l, ranksOf[q])
			}
			return ended
		})
		slices.SortStableFunc(waiting, func(a, b *engineJob) int { return a.urgency - b.urgency })
		for len(active) < slots && len(waiting) > 0 {
			j := waiting[0]
			waiting = waiting[1:]
			j.end = w.now.Add(work)
			j.lease.PrefillDone()
			active = append(active, j)
		}
		ask(0)
		if at%(100*time.Millisecond) == 0 {
			ask(1)
		}
		if at%(200*time.Millisecond) == 0 {
			w.d.Update()
		}
		w.now = w.now.Add(step)
	}
	t.Logf("served %v, refused %v", served, refused)
	want := int(w.d.LowestShare * slots * span.Seconds() / work.Seconds())
	if served[1] < want*7/10 || served[1] > want*13/10 {
		t.Errorf("%d less urgent requests served, want about %d", served[1], want)
	}
}

// A request that gets a slot at an engine which its gateway doesn't prefer hasn't waited: the log
// said "slots-reserved" though nobody did.
func TestWithheldOnlyWithoutSlot(t *testing.T) {
	w, routes := newRankedHarness(12, 0, 2)
	w.d.LowestShare = 0
	began := 0
	w.d.Withheld = func(_ string, _ float64, b bool) {
		if b {
			began++
		}
	}
	w.run("gateways 10")
	for i := range 8 {
		w.run(fmt.Sprintf("endpoint e%d %c 1", i+1, 'a'+rune(i%3)))
	}
	w.d.Update()
	w.now = w.now.Add(time.Millisecond) // so that no endpoint counts as cold
	request := func(rank int) dispatcher.Request {
		return dispatcher.Request{Service: "s", Deadline: w.now.Add(30 * time.Second), Match: resolver.Match{Route: routes[rank]}}
	}
	// Rank 0 needs more slots than the preferred engines have, and uses none.
	for range 100 {
		l, _, err := w.d.Begin(request(0))
		if err != nil {
			t.Fatal(err)
		}
		l.Done(dispatcher.Canceled)
	}
	if l, _, _ := w.d.Begin(request(1)); l == nil || began > 0 {
		t.Errorf("lease %v, %d times withheld, want a slot and none", l != nil, began)
	}
	for range 200 {
		if l, _, _ := w.d.Begin(request(1)); l == nil {
			break
		}
	}
	if began != 1 {
		t.Errorf("%d times withheld once no slot is left, want 1", began)
	}
}
