package dispatcher_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// rankedRoute is one of the streaming routes of the competing callers.
type rankedRoute struct {
	perSecond            float64
	prompt, events, rank int
	aim                  time.Duration
}

// rankedRoutes are the routes of fleet P (docs/load-and-store-requirements.md, part 1).
var rankedRoutes = []rankedRoute{
	{perSecond: 162, prompt: 787, events: 22, rank: 0, aim: 400 * time.Millisecond},
	{perSecond: 91, prompt: 607, events: 14, rank: 1, aim: 400 * time.Millisecond},
	{perSecond: 128, prompt: 1290, events: 22, rank: 2, aim: time.Second},
}

const (
	rankedEngines, rankedSlots = 40, 12
	rankedEventTokens          = 5
	// stepTime is the time per token under load: a slot is in use for 1.2 s, as observed.
	stepTime = 10500 * time.Microsecond
	// tokensPerMs is the rate at which an engine reads prompts.
	tokensPerMs = 19.1
	// engineQueue is the number of requests beyond its slots that an engine accepts.
	engineQueue = 8
	// rankedDeadline and rankedAttempts are those of a caller.
	rankedDeadline = 6 * time.Second
	rankedAttempts = 2
)

// rankedEngine admits the most urgent of the waiting requests to a free slot, and reads the
// prompts of those that have one in the same order, one at a time.
type rankedEngine struct {
	mu               sync.Mutex
	running, count   int
	waiting, reading []*rankedJob
	busy             bool
}

type rankedJob struct {
	urgency, number int
	read            time.Duration
	begun           chan struct{}
}

func compareJobs(a, b *rankedJob) int {
	return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.number, b.number))
}

// accept returns nil if the engine refuses the request.
func (e *rankedEngine) accept(urgency int, read time.Duration) *rankedJob {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= engineQueue {
		return nil
	}
	e.count++
	j := &rankedJob{urgency: urgency, number: e.count, read: read, begun: make(chan struct{})}
	e.waiting = append(e.waiting, j)
	e.advance()
	return j
}

func (e *rankedEngine) advance() {
	for e.running < rankedSlots && len(e.waiting) > 0 {
		slices.SortFunc(e.waiting, compareJobs)
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
		e.running++
	}
	if e.busy || len(e.reading) == 0 {
		return
	}
	slices.SortFunc(e.reading, compareJobs)
	j := e.reading[0]
	e.reading, e.busy = e.reading[1:], true
	time.AfterFunc(j.read, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		close(j.begun)
		e.busy = false
		e.advance()
	})
}

func (e *rankedEngine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.advance()
}

// leave removes a request that waits, or frees its slot.
func (e *rankedEngine) leave(j *rankedJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if i := slices.Index(e.reading, j); i >= 0 {
		e.reading = slices.Delete(e.reading, i, i+1)
	}
	e.running--
	e.advance()
}

func (e *rankedEngine) load() (load, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.waiting), len(e.waiting)
}

// rankedSpan counts the callers of one rank that arrived in a part of the test.
type rankedSpan struct {
	asked, inTime, served, refused, reserved int
	first                                    []time.Duration
}

// rankedFleet plays callers of three ranks before gateways and engines with a clock of its own.
type rankedFleet struct {
	*fleet
	engines []*rankedEngine
	started time.Time
	// reserves reports whether the configuration has the ranks; without it no slots are kept and
	// no urgency is sent, as before.
	reserves bool
	// rate is the factor on the rate of a rank at a time, and ready reports whether an engine has
	// weights then; nil stands for 1 and for all.
	rate  func(rank int, at time.Duration) float64
	ready func(engine int, at time.Duration) bool
	// reaches reports whether a gateway and an engine reach each other, and age is how old the
	// reports are that a gateway gets; nil stands for yes and 0.
	reaches func(gateway, engine int, at time.Duration) bool
	age     func(gateway int) time.Duration

	// states reports whether the gateways state their waiting requests to the agents.
	states bool
	// seed selects the arrivals.
	seed       uint64
	statements []dispatcher.Statements

	mu    sync.Mutex
	spans map[[2]int]*rankedSpan
}

func newRankedFleet(gateways int, reserves bool) *rankedFleet {
	return rankedFleetOf(newFleet(gateways, rankedEngines, rankedSlots), reserves)
}

func rankedFleetOf(fleet *fleet, reserves bool) *rankedFleet {
	f := &rankedFleet{
		fleet: fleet, started: time.Now(), reserves: reserves, statements: make([]dispatcher.Statements, rankedEngines),
		spans: make(map[[2]int]*rankedSpan),
	}
	for range rankedEngines {
		f.engines = append(f.engines, &rankedEngine{})
	}
	for _, d := range f.gateways {
		f.prepare(d)
	}
	return f
}

// prepare sets the configuration with the ranks and the clock.
func (f *rankedFleet) prepare(d *dispatcher.Dispatcher) {
	c := &resolver.Configuration{Revision: 2, Services: []resolver.Service{
		{Name: "s", Engine: &resolver.Engine{Model: "m", Slots: rankedSlots, ReadRate: 1000 * tokensPerMs}},
	}}
	for _, r := range rankedRoutes {
		if f.reserves {
			c.Routes = append(c.Routes, *r.route())
		}
	}
	d.State.Decode = func(string, []byte) (*observer.Decision, error) { return &observer.Decision{Configuration: c}, nil }
	d.State.ApplyOperator([]connector.Item{{Key: "config", Value: []byte("r"), Offset: 2}}, time.Time{})
	d.Now, d.State.Now, d.LowestShare = nil, time.Now, lowestShare
	d.Update()
}

func (r rankedRoute) route() *resolver.Route {
	return &resolver.Route{
		Name: fmt.Sprint("rank-", r.rank), Rank: r.rank, Streaming: true, Aim: r.aim, Attempts: rankedAttempts,
		Targets: []resolver.Target{{Service: "s", Weight: 1}},
	}
}

// restart replaces a gateway by one that knows nothing but the tables.
func (f *rankedFleet) restart(g int) {
	old := f.gateways[g]
	d := &dispatcher.Dispatcher{Name: old.Name, Domain: old.Domain, Region: old.Region, State: old.State, Grace: time.Minute, LowestShare: old.LowestShare}
	d.Update()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways[g] = d
}

func (f *rankedFleet) gateway(g int) *dispatcher.Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[g]
}

// sendReports sends the reports of all engines until ctx is done, and updates the gateways.
func (f *rankedFleet) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		at := time.Since(f.started)
		for i, e := range f.engines {
			r := dispatcher.Report{Address: f.fleet.engines[i].address, Versions: map[string]int64{"m": 1}, From: netip.AddrPortFrom(f.fleet.engines[i].address.Addr(), 1)}
			r.Load, r.Queued = e.load()
			if f.ready != nil && !f.ready(i, at) {
				r.Versions = map[string]int64{}
			}
			for g := range f.gateways {
				if f.reaches != nil && !f.reaches(g, i, at) {
					continue
				}
				r := r
				r.Waiting = f.statements[i].Others(f.gateway(g).Name)
				if f.age != nil && f.age(g) > 0 {
					time.AfterFunc(f.age(g), func() { f.gateway(g).Report(r) })
					continue
				}
				f.gateway(g).Report(r)
			}
			time.Sleep(5 * time.Millisecond)
		}
		for g := range f.gateways {
			f.gateway(g).Update()
			if f.states {
				f.state(g, time.Since(f.started))
			}
		}
	}
}

// state passes the statements of a gateway to the agents that it reaches.
func (f *rankedFleet) state(g int, at time.Duration) {
	for _, w := range f.gateway(g).Waiting() {
		i := slices.IndexFunc(f.fleet.engines, func(e *simEngine) bool { return e.address == w.Endpoint })
		if f.reaches == nil || f.reaches(g, i, at) {
			f.statements[i].Hear(f.gateway(g).Name, w.Ranks)
		}
	}
}

// run plays the callers for the given time. The share of the gateways in the load differs by a
// factor of three.
func (f *rankedFleet) run(t *testing.T, span time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	var reports, callers sync.WaitGroup
	reports.Go(func() { f.sendReports(ctx) })
	for i, r := range rankedRoutes {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 4+f.seed))
			route := r.route()
			for at := time.Duration(0); at < span; at = time.Since(f.started) {
				g := random.IntN(len(f.gateways))
				if g%3 == 0 && random.IntN(3) > 0 {
					g = (g + 1) % len(f.gateways)
				}
				callers.Go(func() { f.call(ctx, g, r, route) })
				rate := r.perSecond
				if f.rate != nil {
					rate *= f.rate(r.rank, at)
				}
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			}
		})
	}
	callers.Wait()
	cancel()
	reports.Wait()
}

// call plays a caller that comes back once when it is told to.
func (f *rankedFleet) call(ctx context.Context, g int, r rankedRoute, route *resolver.Route) {
	start := time.Now()
	patience := max(2*time.Second, 4*r.aim)
	deadline, begin := start.Add(rankedDeadline), start
	var exclude []string
	outcome := rankedSpan{asked: 1}
	for range rankedAttempts {
		l, err := f.gateway(g).Acquire(ctx, dispatcher.Request{
			Service: "s", Deadline: deadline, FirstBy: begin.Add(patience), Prompt: r.prompt, Answer: r.events * rankedEventTokens,
			Match: resolver.Match{Route: route}, Exclude: exclude,
		})
		var e *dispatcher.Error
		if errors.As(err, &e) {
			if dispatcher.IsReserved(e.Reason) {
				outcome.reserved = 1
			}
			if e.RetryAfter > time.Until(deadline)/3 {
				break
			}
			time.Sleep(e.RetryAfter)
			begin, exclude = time.Now(), nil
			continue
		}
		first, ok := f.serve(g, l, r, begin.Add(patience), func() { f.count(start, r.rank, rankedSpan{first: []time.Duration{time.Since(start)}}) })
		if !ok {
			exclude = append(exclude, l.Endpoint.ID)
			continue
		}
		outcome.served = 1
		if first.Sub(start) <= r.aim {
			outcome.inTime = 1
		}
		f.count(start, r.rank, outcome)
		return
	}
	outcome.refused = 1
	f.count(start, r.rank, outcome)
}

// serve sends the request to its engine. It returns when the first event arrived, and false if the
// engine refused the request or didn't begin it in time.
func (f *rankedFleet) serve(g int, l *dispatcher.Lease, r rankedRoute, leave time.Time, onFirst func()) (time.Time, bool) {
	i := slices.IndexFunc(f.fleet.engines, func(e *simEngine) bool { return e.address == l.Endpoint.Address })
	if f.reaches != nil && !f.reaches(g, i, time.Since(f.started)) {
		l.Done(dispatcher.Failed)
		return time.Time{}, false
	}
	e, urgency := f.engines[i], 5
	if f.reserves {
		urgency = 2*r.rank + 1
	}
	j := e.accept(urgency, time.Duration(float64(r.prompt)/tokensPerMs*float64(time.Millisecond)))
	if j == nil {
		l.Done(dispatcher.Full)
		return time.Time{}, false
	}
	select {
	case <-j.begun:
	case <-time.After(time.Until(leave)):
		e.leave(j)
		l.Done(dispatcher.Canceled)
		return time.Time{}, false
	}
	time.Sleep(rankedEventTokens * stepTime)
	first := time.Now()
	onFirst()
	l.PrefillDone()
	time.Sleep(time.Duration(rankedEventTokens*(r.events-1)) * stepTime)
	e.finish()
	l.Done(dispatcher.Served)
	return first, true
}

func (f *rankedFleet) count(start time.Time, rank int, v rankedSpan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := [2]int{int(start.Sub(f.started).Seconds()), rank}
	s := f.spans[k]
	if s == nil {
		s = &rankedSpan{}
		f.spans[k] = s
	}
	s.add(v)
}

func (s *rankedSpan) add(v rankedSpan) {
	s.asked, s.inTime, s.served, s.refused, s.reserved = s.asked+v.asked, s.inTime+v.inTime, s.served+v.served, s.refused+v.refused, s.reserved+v.reserved
	s.first = append(s.first, v.first...)
}

// between sums the callers of a rank that arrived in the given seconds.
func (f *rankedFleet) between(from, to, rank int) rankedSpan {
	var sum rankedSpan
	for s := from; s < to; s++ {
		if v := f.spans[[2]int{s, rank}]; v != nil {
			sum.add(*v)
		}
	}
	return sum
}

func (s rankedSpan) soon() float64 { return float64(s.inTime) / float64(max(1, s.asked)) }

func (s rankedSpan) String() string {
	slices.Sort(s.first)
	var median time.Duration
	if len(s.first) > 0 {
		median = s.first[len(s.first)/2]
	}
	return fmt.Sprintf("%d asked, %.2f in time, %.2f served, %d refused (%d reserved), median to the first event %s", s.asked, s.soon(), float64(s.served)/float64(max(1, s.asked)), s.refused, s.reserved, median.Round(time.Millisecond))
}

// burstOf returns the rates of a burst of one rank that begins after 4 s.
func burstOf(rank int, factor float64, d time.Duration) func(int, time.Duration) float64 {
	const from = 4 * time.Second
	return func(r int, at time.Duration) float64 {
		if r == rank && at >= from && at < from+d {
			return factor
		}
		return 1
	}
}

// wantRank bounds what becomes of the callers of a rank that arrive in some seconds.
type wantRank struct {
	from, to, rank int
	// inTime and served are the least parts of them that get the first event by the target, and
	// in their time.
	inTime, served float64
}

func (f *rankedFleet) check(t *testing.T, wants []wantRank) {
	t.Helper()
	for _, w := range wants {
		s := f.between(w.from, w.to, w.rank)
		t.Logf("seconds %d to %d, rank %d: %s", w.from, w.to, w.rank, s)
		if s.soon() < w.inTime || float64(s.served) < w.served*float64(s.asked) {
			t.Errorf("seconds %d to %d, rank %d: want %.2f in time and %.2f served", w.from, w.to, w.rank, w.inTime, w.served)
		}
	}
}

// Without ranks in the configuration the burst of rank 2 delays rank 0 at 65 gateways, so that the
// other tests show an effect of the ranks and not of the load.
func TestUnrankedBurst(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newRankedFleet(65, false)
		f.rate = burstOf(2, 2.5, 6*time.Second)
		f.run(t, 10*time.Second)
		s := f.between(4, 10, 0)
		t.Logf("rank 0: %s", s)
		if s.soon() > 0.85 || s.reserved > 0 {
			t.Error("want less than 0.85 in time, and no slots kept")
		}
	})
}

// A burst of rank 2 must not delay rank 0, at 4 gateways that use all engines as at 65 that use
// three each. Without ranks in the configuration, so that neither slots are kept nor an urgency is
// sent, 0.67 to 0.73 of rank 0 were in time at 65 gateways. Without a burst, nobody may be delayed by
// what is kept for others.
func TestRankedBurst(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{4, 18, 65} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRankedFleet(gateways, true)
				f.rate = burstOf(2, 2.5, 6*time.Second)
				var began, ended atomic.Int64
				for _, d := range f.gateways {
					d.Withheld = func(_ string, _ float64, isBegin bool) {
						began.Add(int64(boolToInt(isBegin)))
						ended.Add(int64(boolToInt(!isBegin)))
					}
				}
				f.run(t, 14*time.Second)
				t.Logf("slots began to be kept %d times, and ceased %d times", began.Load(), ended.Load())
				if began.Load() == 0 || ended.Load() > began.Load() {
					t.Error("want slots that begin to be kept, and that cease no more often")
				}
				f.check(t, []wantRank{
					{1, 4, 0, 0.95, 0.99},
					{1, 4, 1, 0.88, 0.97},
					{1, 4, 2, 0.93, 0.97},
					{4, 10, 0, 0.92, 0.98},
					{4, 10, 1, 0.5, 0.8},
					{4, 10, 2, 0.25, 0.62},
					{10, 14, 0, 0.93, 0.98},
				})
			})
		})
	}
}

// A burst of rank 0 may take the slots of others, but not all: rank 2 gets its share.
func TestRankedUrgentBurst(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{4, 18, 65} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRankedFleet(gateways, true)
				f.rate = burstOf(0, 1.8, 4*time.Second)
				f.run(t, 12*time.Second)
				f.check(t, []wantRank{{4, 8, 0, 0.83, 0.98}, {4, 8, 1, 0.3, 0.8}, {4, 8, 2, 0.3, 0.7}})
			})
		})
	}
}

// After a loss of all power engines get their weights one after the other, and most requests
// can't be served. Those of rank 0 must be the first that are, and those of rank 2 get their share.
func TestRankedRefill(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{4, 18, 65} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRankedFleet(gateways, true)
				f.ready = func(e int, at time.Duration) bool { return at > time.Second+time.Duration(e)*350*time.Millisecond }
				f.run(t, 14*time.Second)
				f.check(t, []wantRank{{4, 10, 0, 0, 0.6}, {4, 10, 1, 0, 0.2}, {4, 10, 2, 0, 0.1}, {10, 14, 0, 0.4, 0.9}, {10, 14, 1, 0, 0.5}, {10, 14, 2, 0, 0.5}})
			})
		})
	}
}

// Gateways that know little or nothing must neither flood the engines in a burst of rank 2 nor
// starve a rank.
func TestRankedFailures(t *testing.T) {
	t.Parallel()
	const cut = "a"
	for _, c := range []struct {
		name  string
		setUp func(f *rankedFleet)
	}{
		{"all gateways start empty in the burst", func(f *rankedFleet) {
			time.AfterFunc(5*time.Second, func() {
				for g := range f.gateways {
					f.restart(g)
				}
			})
		}},
		{"a third of the gateways has reports that are 1 s old", func(f *rankedFleet) {
			f.age = func(g int) time.Duration { return time.Duration(boolToInt(g%3 == 0)) * time.Second }
		}},
		{"a failure domain is cut off", func(f *rankedFleet) {
			f.reaches = func(g, e int, at time.Duration) bool {
				return at < 3*time.Second || f.gateways[g].Domain == cut == (e%5 == 0)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRankedFleet(18, true)
				f.rate = burstOf(2, 2.5, 6*time.Second)
				c.setUp(f)
				f.run(t, 12*time.Second)
				f.check(t, []wantRank{{4, 6, 0, 0.85, 0.98}, {4, 10, 0, 0.88, 0.98}, {4, 10, 1, 0.6, 0.9}, {4, 10, 2, 0.2, 0.7}})
			})
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
