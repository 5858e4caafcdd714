package policysim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/admitter"
	"github.com/eelgrassdrift/eelgrassdrift/limiter"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

const (
	serves = "model/assistant"
	// trip is the time from a gateway to an agent and back.
	trip = time.Millisecond
	// tokenTime is the work for one token in seconds.
	tokenTime = 0.015
	// avoid is the time for which a gateway leaves an endpoint alone that refused.
	avoid = 50 * time.Millisecond
	// status is the period of the agents' reports.
	status = 2 * time.Second
	// warmup is the time before the measurement begins.
	warmup = 20 * time.Second
)

// config describes one run.
type config struct {
	seed                uint64
	gateways, endpoints int
	// cold and most are the bounds of the limits; equal ones make them fixed.
	cold, most int
	// pick selects an endpoint; nil means the router's picker.
	pick func(w *world, g *gateway, r *router.Request) (router.Pick, error)
	// affinity is the picker's factor.
	affinity float64
	// prefixes is the number of prompt prefixes, cache those that an engine holds.
	prefixes, cache int
	// load is the offered rate in parts of what all engines can serve.
	load float64
	// accounts are the parts of the rate by account.
	accounts []float64
	// limits are the accounts' limits; nil turns admission off.
	limits func(i int) *recorder.ClientAccount
	// sturdy engines do not crash while they are cold.
	sturdy bool
	// mixed prompts differ in length: one in ten has eight times the usual work.
	mixed bool
	// blocking is the part of the work for a prompt during which an engine does
	// nothing else.
	blocking float64
	// untold limiters do not learn of single tokens.
	untold bool
	// unbounded retries up to three times without a budget.
	unbounded bool
	// slow of ten engines have half the speed.
	slow     int
	deadline time.Duration
	duration time.Duration
	// events change the world at their times after the warm-up.
	events map[time.Duration]func(*world)
	// atStart changes the world before the first request; nil is allowed.
	atStart func(*world)
}

// capacity is the number of requests a second that one engine serves when half
// of the prefixes are in its cache.
const capacity = knee / ((hit+miss)/2 + decode)

// figures are the results of one run after its warm-up.
type figures struct {
	offered, good, late, failed, refused int
	// calls are the attempts sent to agents.
	calls int
	// first holds the times to the first token and total those to the end.
	first, total []time.Duration
	// byAccount holds the total times of good responses by account.
	byAccount map[int][]time.Duration
}

type world struct {
	clock
	config
	rng      *rand.Rand
	agents   []*agent
	gateways []*gateway
	figures  figures
	zipf     *rand.Zipf
	// allOffered and allCalls count the whole run with its warm-up.
	allOffered, allCalls int
}

type agent struct {
	name     recorder.Name
	limiter  limiter.Limiter
	engine   engine
	state    router.State
	sequence uint64
	boot     int
	// falls holds the times at which the limit fell, after the warm-up.
	falls []fall
}

// fall is a fall of a limit or its reset.
type fall struct {
	at     time.Duration
	reason string
}

type gateway struct {
	table    router.Table
	picker   router.Picker
	budget   retrier.Budget
	admitter admitter.Admitter
	next     int
}

// run executes a configuration.
func run(c config) (*world, *figures) {
	w := &world{config: c, rng: rand.New(rand.NewPCG(c.seed, 1))}
	w.zipf = rand.NewZipf(w.rng, 1.1, 4, uint64(c.prefixes-1))
	if w.pick == nil {
		w.pick = func(_ *world, g *gateway, q *router.Request) (router.Pick, error) { return g.picker.Pick(*q) }
	}
	w.figures.byAccount = map[int][]time.Duration{}
	for range c.gateways {
		g := &gateway{}
		g.table.Now, g.admitter.Now = w.time, w.time
		if c.unbounded {
			g.budget.Share = 1
		}
		g.picker = router.Picker{Table: &g.table, Rand: w.rng.IntN, Now: w.time, AffinityFactor: c.affinity}
		w.gateways = append(w.gateways, g)
	}
	for i := range c.endpoints {
		speed := 1.0
		if i*10 < c.slow*c.endpoints {
			speed = 0.5
		}
		w.addAgent(false, speed)
	}
	if c.atStart != nil {
		c.atStart(w)
	}
	for at, f := range c.events {
		w.after(warmup+at, func() { f(w) })
	}
	w.refresh()
	w.arrive()
	w.run(warmup + c.duration + c.deadline)
	return w, &w.figures
}

// refresh sets the capacities of the gateways' admitters every 100 ms.
func (w *world) refresh() {
	n := float64(len(w.gateways))
	for _, g := range w.gateways {
		sum := 0
		for _, s := range g.table.Summaries() {
			sum += s.Limit
		}
		g.admitter.SetShare(1/n, nil)
		g.admitter.SetCapacity(int(math.Ceil(float64(sum) / n)))
	}
	w.after(100*time.Millisecond, w.refresh)
}

func (w *world) addAgent(cold bool, speed float64) {
	a := &agent{name: recorder.Name(fmt.Sprintf("agent-%03d", len(w.agents))), state: router.Ready}
	a.limiter.Cold, a.limiter.Max, a.limiter.Now = w.cold, w.most, w.time
	a.limiter.Changed = func(_ int, reason string) {
		if w.now >= warmup {
			a.falls = append(a.falls, fall{w.now - warmup, reason})
		}
	}
	a.engine = engine{clock: &w.clock, speed: speed, cold: cold, sturdy: w.sturdy, blocking: w.blocking, cacheSize: w.cache, crashed: func() { w.restart(a) }}
	w.agents = append(w.agents, a)
	w.report(a)
	var repeat func()
	repeat = func() {
		w.report(a)
		w.after(status, repeat)
	}
	w.after(time.Duration(w.rng.Int64N(int64(status))), repeat)
}

// restart takes the endpoint out until its engine is up again, cold.
func (w *world) restart(a *agent) {
	a.state, a.boot = router.Loading, a.boot+1
	w.report(a)
	w.after(restart, func() {
		a.engine.down = false
		a.limiter.Reset("boot-id")
		a.state = router.Ready
		w.report(a)
	})
}

// report sends the status to all gateways at once.
func (w *world) report(a *agent) {
	a.sequence++
	for _, g := range w.gateways {
		g.table.Update(router.Endpoint{
			Instance: a.name, Serves: serves, BootID: fmt.Sprint(a.boot), Sequence: a.sequence, State: a.state,
			Limit: a.limiter.Limit(), InFlight: a.limiter.InFlight(), Seen: w.time(),
		})
	}
}

// arrive offers requests at exponential intervals.
func (w *world) arrive() {
	// Half-speed engines count half.
	engines := float64(w.endpoints) * (1 - float64(w.slow)/20)
	if w.now < warmup+w.duration {
		w.after(time.Duration(w.rng.ExpFloat64()/(w.load*capacity*engines)*1e9), w.arrive)
	}
	r := &request{
		world: w, gateway: w.gateways[w.rng.IntN(len(w.gateways))], at: w.now, until: w.now + w.deadline,
		work: w.rng.ExpFloat64() * decode, measured: w.now >= warmup && w.now < warmup+w.duration,
	}
	r.length = 1
	if w.mixed && w.rng.IntN(10) == 0 {
		r.length = 8
	}
	r.pick.Serves, r.pick.Prefix = serves, router.PrefixHash(fmt.Append(nil, w.zipf.Uint64()))
	w.allOffered++
	if r.measured {
		w.figures.offered++
	}
	for x := w.rng.Float64(); r.account < len(w.accounts)-1 && x >= w.accounts[r.account]; r.account++ {
		x -= w.accounts[r.account]
	}
	r.gateway.budget.Offer()
	if w.limits == nil {
		r.try()
		return
	}
	r.admit()
}

func (r *request) admit() {
	w, g := r.world, r.gateway
	deadline := w.time().Add(w.deadline)
	g.admitter.Submit(admitter.Request{Account: w.limits(r.account), Deadline: deadline}, func(t *admitter.Ticket, err *admitter.Error) {
		w.after(0, func() {
			if err != nil {
				r.end(&w.figures.refused)
				return
			}
			r.ticket = t
			r.try()
		})
	})
	w.after(admitter.DefaultMaxWait+1, g.admitter.Sweep)
}

// request is one request of a caller.
type request struct {
	world     *world
	gateway   *gateway
	pick      router.Request
	at, until time.Duration
	// length is that of the prompt, in parts of the usual one.
	length   float64
	work     float64
	account  int
	tries    int
	started  bool
	measured bool
	ticket   *admitter.Ticket
}

// try sends the request to an endpoint.
func (r *request) try() {
	w, g := r.world, r.gateway
	p, err := w.pick(w, g, &r.pick)
	if err != nil {
		r.end(&w.figures.refused)
		return
	}
	r.tries++
	w.allCalls++
	if r.measured {
		w.figures.calls++
	}
	r.pick.Exclude = append(r.pick.Exclude, p.Endpoint.Instance)
	a := w.agents[slices.IndexFunc(w.agents, func(a *agent) bool { return a.name == p.Endpoint.Instance })]
	w.after(trip/2, func() { r.arriveAt(a, &p) })
}

// arriveAt lets the agent take or refuse the request.
func (r *request) arriveAt(a *agent, p *router.Pick) {
	w, g := r.world, r.gateway
	if a.state != router.Ready || !a.limiter.Acquire() {
		limit, n := a.limiter.Limit(), a.limiter.InFlight()
		w.after(trip/2, func() {
			p.Done()
			g.table.Observe(a.name, limit, n)
			g.table.Avoid(a.name, w.time().Add(avoid))
			r.retry(retrier.NotRun)
		})
		return
	}
	sent, over := w.now, false
	sample := limiter.Sample{}
	var stream limiter.Stream
	var j *job
	end := func(failed, late bool) {
		if over {
			return
		}
		over = true
		switch {
		case failed || late && sample.FirstToken == 0:
			sample.Failed = true
		case late:
			sample = limiter.Sample{}
		default:
			sample.Total, sample.Tokens = w.now-sent, int(r.work/tokenTime)+1
		}
		sample.Stream = &stream
		a.limiter.Release(sample)
		if failed {
			p.Failed(w.time())
		} else if !late {
			p.Succeeded()
		}
		p.Done()
		g.table.Observe(a.name, a.limiter.Limit(), a.limiter.InFlight())
		switch {
		case late:
			r.end(&w.figures.late)
		case failed:
			r.retry(retrier.Failed)
		default:
			r.good()
		}
	}
	j = a.engine.start(r.pick.Prefix, r.length, r.work, func() {
		sample.FirstToken = w.now - sent
		g.table.Observe(a.name, a.limiter.Limit(), a.limiter.InFlight())
		r.started = true
		if r.measured {
			w.figures.first = append(w.figures.first, w.now-r.at)
		}
	}, func() {
		if w.untold {
			return
		}
		a.limiter.Token(&stream)
		a.limiter.Await(&stream)
	}, func(failed bool) { end(failed, false) })
	w.after(r.until-w.now, func() {
		a.engine.cancel(j)
		end(false, true)
	})
}

func (r *request) retry(o retrier.Outcome) {
	w := r.world
	a := retrier.Attempt{Outcome: o, Idempotent: true, Started: r.started, Remaining: r.until - w.now, Tries: r.tries}
	if w.unbounded {
		r.gateway.budget.Offer()
	}
	switch {
	case retrier.Decide(&r.gateway.budget, a).Retry:
		r.try()
	case o == retrier.NotRun:
		r.end(&w.figures.refused)
	default:
		r.end(&w.figures.failed)
	}
}

func (r *request) good() {
	f := &r.world.figures
	r.end(&f.good)
	if r.measured {
		f.total = append(f.total, r.world.now-r.at)
		f.byAccount[r.account] = append(f.byAccount[r.account], r.world.now-r.at)
	}
}

func (r *request) end(count *int) {
	if r.measured {
		*count++
	}
	if r.ticket != nil {
		r.ticket.Done()
		r.ticket = nil
	}
}

// quantile returns the q-quantile of the times.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(times))
	return s[min(int(q*float64(len(s))), len(s)-1)].Round(time.Millisecond)
}
