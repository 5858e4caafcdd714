package dispatcher_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// The load of these tests: three streaming routes of one rank whose answers have up to 52 events
// of 7 tokens, before engines of 12 slots. Callers come to gateways unevenly, wait 2.4 s for the
// first event and 6 s in all, and come back as told after a refusal. Half of them give a hint
// that is right at the median.
const (
	unevenSlots    = 12
	unevenDomains  = 3
	unevenStep     = 6730 * time.Microsecond
	unevenReadRate = 30_600
	unevenEvents   = 52
	unevenPatience = 2400 * time.Millisecond
	unevenTime     = 6 * time.Second
	// unevenSpread is the deviation of the logarithm of the number of events, and hintSpread
	// that of the error of hints.
	unevenSpread, hintSpread = 1.4, 0.8
	// unevenWarmUp is the time in which gateways learn the lengths; callers that come in it aren't
	// counted.
	unevenWarmUp = 8 * time.Second
)

// unevenRoute is a route of the load: prompts of one length, the median of the events, and the
// requests per second of all routes' sum.
type unevenRoute struct {
	route  *resolver.Route
	prompt int
	median float64
	rate   float64
}

func unevenRoutes() []unevenRoute {
	r := func(name string) *resolver.Route {
		return &resolver.Route{Name: name, Streaming: true, Aim: 400 * time.Millisecond, Gap: 300 * time.Millisecond, Attempts: 2, Repeat: resolver.Resumable}
	}
	return []unevenRoute{{r("long"), 1290, 21, 269}, {r("middle"), 787, 21, 186}, {r("short"), 607, 10, 228}}
}

// unevenFleet is a simulated fleet under that load.
type unevenFleet struct {
	*fleet
	// callers draws the load, which is the same with hints and without.
	callers *rand.Rand
	engines []*unevenEngine
	routes  []unevenRoute
	// hints is the part of requests with hints.
	hints float64
	// weights are the shares of the gateways in the load.
	weights []float64
	// slow returns by how much an engine is slower now.
	slow func(engine int, now time.Time) float64
	// silent reports whether the reports of an engine don't arrive now.
	silent func(engine int, now time.Time) bool
	// waits holds the queued requests of each gateway.
	waits [][]*unevenCall
	// counted is the number of counted callers, served those that got their whole answer, and
	// soon those with a first event in 400 ms. refused and late are those that weren't served: the
	// last answer was a refusal, or there was none in time.
	counted, served, soon, refused, late int
}

// unevenCall is a caller from its first request to its end.
type unevenCall struct {
	fleet              *unevenFleet
	gateway            int
	route              unevenRoute
	events, hint       int
	came, asked        time.Time
	lease              *dispatcher.Lease
	wait               *dispatcher.Wait
	written            int
	ended              bool
	engine             *unevenEngine
	runs, counts, left bool
}

// unevenEngine reads one prompt after the other and writes as many answers as it has slots.
type unevenEngine struct {
	fleet    *unevenFleet
	index    int
	readFree time.Time
	running  int
	waiting  []*unevenCall
	begun    int
	// sharers reports which gateways get all reports; the others get every third one.
	sharers []bool
	reports int
}

func newUnevenFleet(gateways, engines int, hints float64, seed uint64) *unevenFleet {
	f := &unevenFleet{
		fleet: newFleetOf(gateways, engines, unevenSlots, unevenDomains, unevenReadRate), routes: unevenRoutes(), hints: hints,
		callers: rand.New(rand.NewPCG(seed, 5)), waits: make([][]*unevenCall, gateways), slow: func(int, time.Time) float64 { return 1 },
		silent: func(int, time.Time) bool { return false },
	}
	var list []*observer.Gateway
	domain := func(i int) string { return string(rune('a' + i%unevenDomains)) }
	for i := range gateways {
		list = append(list, &observer.Gateway{Name: fmt.Sprintf("g%02d", i), Domain: domain(i)})
	}
	for i := range engines {
		sharers := dispatcher.Sharers(&observer.Endpoint{ID: fmt.Sprintf("e%d", i), Domain: domain(i)}, list)
		e := &unevenEngine{fleet: f, index: i}
		for _, g := range list {
			e.sharers = append(e.sharers, sharers == nil || slices.Contains(sharers, g.Name))
		}
		f.engines = append(f.engines, e)
	}
	for range gateways {
		f.weights = append(f.weights, 1+2*f.rand.Float64())
	}
	return f
}

// drawEvents returns the number of events of an answer.
func drawEvents(r *rand.Rand, median float64) int {
	return int(min(unevenEvents, max(1, math.Round(median*math.Exp(unevenSpread*r.NormFloat64())))))
}

// capacity returns the requests per second that engines serve if all slots are taken.
func (f *unevenFleet) capacity() float64 {
	r := rand.New(rand.NewPCG(3, 4))
	all, time := 0.0, 0.0
	for _, u := range f.routes {
		events := 0
		const draws = 10_000
		for range draws {
			events += drawEvents(r, u.median)
		}
		all += u.rate
		time += u.rate * (float64(events)/draws*eventTokens*unevenStep.Seconds() + float64(u.prompt)/unevenReadRate)
	}
	return float64(len(f.engines)*unevenSlots) * all / time
}

// run offers the load for the time, as a part of the capacity.
func (f *unevenFleet) run(load float64, d time.Duration) {
	end := f.now.Add(d)
	start := f.now.Add(unevenWarmUp)
	last := end.Add(-unevenTime)
	rate := load * f.capacity()
	var arrive func()
	arrive = func() {
		c := &unevenCall{fleet: f, came: f.now, route: f.drawRoute(), counts: f.now.After(start) && f.now.Before(last)}
		c.events = drawEvents(f.callers, c.route.median)
		hint := int(float64(c.events*eventTokens) * math.Exp(hintSpread*f.callers.NormFloat64()))
		if f.callers.Float64() < f.hints {
			c.hint = hint
		}
		if c.counts {
			f.counted++
		}
		c.ask()
		f.after(time.Duration(f.callers.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	f.after(0, arrive)
	for _, e := range f.engines {
		f.after(time.Duration(e.index)*3*time.Millisecond, e.report)
	}
	for i := range f.gateways {
		f.after(time.Duration(i)*time.Millisecond, func() { f.update(i) })
	}
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
		f.poll()
	}
}

func (f *unevenFleet) drawRoute() unevenRoute {
	all := 0.0
	for _, u := range f.routes {
		all += u.rate
	}
	x := f.callers.Float64() * all
	for _, u := range f.routes {
		if x -= u.rate; x < 0 {
			return u
		}
	}
	return f.routes[0]
}

func (f *unevenFleet) drawGateway() int {
	all := 0.0
	for _, w := range f.weights {
		all += w
	}
	x := f.rand.Float64() * all
	for i, w := range f.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

func (f *unevenFleet) update(gateway int) {
	f.gateways[gateway].Update()
	f.after(50*time.Millisecond, func() { f.update(gateway) })
}

// poll goes on with the requests whose waits have ended.
func (f *unevenFleet) poll() {
	for g, l := range f.waits {
		if len(l) == 0 {
			continue
		}
		f.waits[g] = nil
		var kept []*unevenCall
		for _, c := range l {
			lease, ended, err := c.wait.End()
			if !ended {
				kept = append(kept, c)
				continue
			}
			c.handle(lease, err)
		}
		f.waits[g] = append(kept, f.waits[g]...)
	}
}

// report sends the load to the gateways that share the engine, and every third time to all.
func (e *unevenEngine) report() {
	f := e.fleet
	r := dispatcher.Report{Address: f.fleet.engines[e.index].address, Versions: map[string]int64{"m": 1}, Load: e.running + len(e.waiting), Queued: e.running + len(e.waiting) - e.begun}
	if !f.silent(e.index, f.now) {
		for i, g := range f.gateways {
			if e.sharers[i] || e.reports%3 == 0 {
				g.Report(r)
			}
		}
		e.reports++
	}
	f.after(200*time.Millisecond, e.report)
}

// ask sends the request to a gateway.
func (c *unevenCall) ask() {
	f := c.fleet
	c.gateway, c.asked = f.drawGateway(), f.now
	l, w, err := f.gateways[c.gateway].Begin(dispatcher.Request{
		Service: "s", Match: resolver.Match{Route: c.route.route}, Deadline: c.came.Add(unevenTime), FirstBy: f.now.Add(unevenPatience),
		Prompt: c.route.prompt, Answer: unevenEvents * eventTokens, Hint: c.hint,
	})
	if w != nil {
		c.wait = w
		f.waits[c.gateway] = append(f.waits[c.gateway], c)
		return
	}
	c.handle(l, err)
}

// handle goes on after a lease or a refusal.
func (c *unevenCall) handle(l *dispatcher.Lease, err error) {
	f := c.fleet
	if err != nil {
		var e *dispatcher.Error
		left := c.came.Add(unevenTime).Sub(f.now)
		if !errors.As(err, &e) || left < 100*time.Millisecond {
			c.end(&f.refused)
			return
		}
		f.after(max(time.Millisecond, min(e.RetryAfter, left/3)), c.ask)
		return
	}
	c.lease, c.written = l, 0
	var n int
	_, _ = fmt.Sscanf(l.Endpoint.ID, "e%d", &n)
	c.engine = f.engines[n]
	c.engine.waiting = append(c.engine.waiting, c)
	c.engine.next()
	f.after(c.asked.Add(unevenPatience).Sub(f.now), func() {
		if c.written == 0 {
			c.leave()
		}
	})
	f.after(c.came.Add(unevenTime).Sub(f.now), c.leave)
}

func (c *unevenCall) end(as *int) {
	if c.ended {
		return
	}
	c.ended = true
	if c.counts {
		*as++
	}
}

// leave ends the call because its caller doesn't wait any longer.
func (c *unevenCall) leave() {
	if c.ended || c.left {
		return
	}
	c.left = true
	c.end(&c.fleet.late)
	c.lease.Done(dispatcher.Canceled)
	c.engine.drop(c)
}

func (e *unevenEngine) drop(c *unevenCall) {
	if !c.runs {
		e.waiting = slices.DeleteFunc(e.waiting, func(x *unevenCall) bool { return x == c })
		return
	}
	e.running--
	if c.written > 0 {
		e.begun--
	}
	e.next()
}

// next reads the prompts of waiting requests into free slots.
func (e *unevenEngine) next() {
	f := e.fleet
	for e.running < unevenSlots && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		c.runs = true
		if e.readFree.Before(f.now) {
			e.readFree = f.now
		}
		e.readFree = e.readFree.Add(time.Duration(float64(c.route.prompt) / unevenReadRate * f.slow(e.index, f.now) * float64(time.Second)))
		f.after(e.readFree.Sub(f.now), c.step)
	}
}

// step writes an event after the time of its tokens.
func (c *unevenCall) step() {
	f := c.fleet
	f.after(time.Duration(float64(eventTokens*unevenStep)*f.slow(c.engine.index, f.now)), func() {
		if c.left {
			return
		}
		if c.written++; c.written == 1 {
			c.engine.begun++
			c.lease.PrefillDone()
			if c.counts && f.now.Sub(c.came) <= 400*time.Millisecond {
				f.soon++
			}
		}
		c.lease.CountEvent()
		if c.written < c.events {
			c.step()
			return
		}
		c.left = true
		c.end(&f.served)
		c.lease.Done(dispatcher.Served)
		c.engine.drop(c)
	})
}

func (f *unevenFleet) String() string {
	n := float64(f.counted)
	return fmt.Sprintf("callers %d, soon %.3f, served %.3f, refused %.4f, late %.4f", f.counted, float64(f.soon)/n, float64(f.served)/n, float64(f.refused)/n, float64(f.late)/n)
}

// moments returns the slowness of the load: for 15% of the time an engine or the whole service takes
// 2.5 times as long, for 0.6 s.
func moments(engines int, service bool) func(int, time.Time) float64 {
	const period = 4 * time.Second // 0.6 s of it are 15%
	return func(engine int, now time.Time) float64 {
		shift := time.Duration(0)
		if !service {
			shift = period * time.Duration(engine) / time.Duration(engines)
		}
		if time.Duration(now.Add(shift).UnixNano())%period < 600*time.Millisecond {
			return 2.5
		}
		return 1
	}
}

// unserved returns the part of callers that weren't served in the runs.
func unserved(t *testing.T, gateways, engines int, hints, load float64, seeds uint64, set func(*unevenFleet)) float64 {
	t.Helper()
	lost, all := 0, 0
	for seed := range seeds {
		f := newUnevenFleet(gateways, engines, hints, seed)
		set(f)
		f.run(load, 20*time.Second)
		t.Logf("hints %.1f, seed %d: %s", hints, seed, f)
		lost, all = lost+f.refused+f.late, all+f.counted
	}
	return float64(lost) / float64(all)
}

// Callers weren't served during moments in which engines or the service were slow, though there were
// slots after them. Hints must not make this worse, nor must reports that are missing or an
// engine that stands still. The load is that of the constants above, as a part of what the
// engines can serve; for 15% of the time engines take 2.5 times as long, for 0.6 s.
func TestUnevenLoad(t *testing.T) {
	t.Parallel()
	still := func(f *unevenFleet) {
		f.slow = func(engine int, now time.Time) float64 {
			// One engine takes a hundred times as long for 3 s.
			if s := now.Sub(time.Unix(1000, 0)); engine == 0 && s > 10*time.Second && s < 13*time.Second {
				return 100
			}
			return 1
		}
	}
	slowEngines := func(f *unevenFleet) { f.slow = moments(len(f.engines), false) }
	for _, c := range []struct {
		name              string
		gateways, engines int
		load              float64
		seeds             uint64
		// most is the part of callers that may not be served.
		most float64
		set  func(*unevenFleet)
	}{
		{"slow engines", 4, 6, 0.9, 4, 0.03, slowEngines},
		{"slow service", 4, 6, 0.9, 4, 0.03, func(f *unevenFleet) { f.slow = moments(6, true) }},
		{"silent agents", 4, 6, 0.8, 4, 0.03, func(f *unevenFleet) {
			slowEngines(f)
			f.silent = func(_ int, now time.Time) bool { return now.Unix()%6 < 3 }
		}},
		{"silent failure domain", 4, 6, 0.8, 4, 0.03, func(f *unevenFleet) {
			slowEngines(f)
			f.silent = func(engine int, now time.Time) bool { return engine%unevenDomains == 0 && now.Unix() > 1010 }
		}},
		{"engine stands still", 4, 6, 0.7, 4, 0.08, still},
		{"slow engines", 65, 52, 0.8, 2, 0.01, slowEngines},
		{"slow service", 65, 52, 0.8, 3, 0.015, func(f *unevenFleet) { f.slow = moments(52, true) }},
		{"engine stands still", 65, 52, 0.8, 1, 0.02, still},
	} {
		t.Run(fmt.Sprintf("%s/%d", c.name, c.gateways), func(t *testing.T) {
			before := unserved(t, c.gateways, c.engines, 0, c.load, c.seeds, c.set)
			hinted := unserved(t, c.gateways, c.engines, 0.5, c.load, c.seeds, c.set)
			t.Logf("not served: %.4f without hints, %.4f with", before, hinted)
			if hinted > c.most || hinted > before+c.most/2 {
				t.Errorf("%.4f of the callers weren't served, want %.4f or less and about the %.4f without hints", hinted, c.most, before)
			}
		})
	}
}
