package dispatcher

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

const (
	// spareGateways is the least number of gateways among which the rate of a cold
	// endpoint is divided, so that gateways added or restarted keep within it.
	spareGateways = 8
	// spareFactor is how many times the known gateways there may be.
	spareFactor = 2
	// otherDomain and otherRegion are added to the relative load of endpoints that
	// are not near: a hop between regions is worth less than two of 16 slots.
	otherDomain = 0.05
	otherRegion = 0.1
	// nearDraws and farDraws are the numbers of endpoints of the own region and of
	// the others of which the best is taken; at most 2.
	nearDraws = 2
	farDraws  = 1
	// readShare is the part of a request's aim that engines may spend on reading
	// the prompts before it, summed over all gateways.
	readShare = 0.6
	// readCost is the relative load that prompts which take the whole aim to read
	// stand for.
	readCost = 2
	// olderCost is added for an engine that is about to load a newer version, as
	// its streams may be cut then.
	olderCost = 0.2
	// faultCost is the relative load that a share of failures of 1 stands for.
	faultCost = 3
	// patientEvery is the number of grants of which one goes to a request that is
	// late already. Under lasting overload the others stay in time.
	patientEvery = 6
	// maxQueue bounds the requests that wait for one service at one gateway.
	maxQueue = 512
)

const (
	// rateWindow is the span over which the rate of free slots is measured.
	rateWindow = 2 * time.Second
	// fullRetry is the time to come back where all endpoints are full.
	fullRetry = 800 * time.Millisecond
	// absentRetry is the time to come back where no endpoint may be used; weights
	// take a few seconds to arrive.
	absentRetry = 2 * time.Second
)

// Cold bounds the requests to a cold endpoint in one second, over all gateways,
// to rate x Factor + Slack.
type Cold struct {
	Factor float64
	Slack  float64
}

// Dispatcher places requests. Its fields are set before the first call; its
// methods may be called concurrently.
type Dispatcher struct {
	// Domain and Region are the place of this gateway.
	Domain, Region string
	Cold           Cold
	// Grace is how long an older version may be used after this gateway learned
	// of a newer one.
	Grace time.Duration
	State *observer.State
	// Now stands for the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	pools    map[string]*pool
	gateways int
	// near and far are scratch space of pickAmong.
	near, far []*node
	// listed is set after the first list, whose endpoints didn't just start.
	listed bool
}

// pool holds the endpoints of one service and the requests that wait for them.
type pool struct {
	service string
	nodes   map[string]*node
	// fresh and patient are the queues, each by rank and then by arrival.
	fresh, patient []*waiter
	// grants counts the slots given to queued requests.
	grants int
	// model is the model of the engines; empty for a plain service.
	model string
	// readRate is the number of prompt tokens that an engine reads per second.
	readRate float64
	named    observer.Named
	// coldShare is the number of requests per second that this gateway may send
	// to a cold endpoint.
	coldShare int
	// freed holds the times at which slots became free within rateWindow.
	freed []time.Time
}

// Request asks for an endpoint.
type Request struct {
	Service string
	// Match allows regions and gives the rank.
	Match resolver.Match
	// Exclude lists the ids of endpoints that were tried before.
	Exclude []string
	// Until is when the request is refused if it still waits.
	Until time.Time
	// Resumed requests go on with a stream that the caller reads already. They go
	// before all others, as a pause of a stream is seen at once.
	Resumed bool
	// Patient requests were refused before and are late already. They get a part
	// of the free slots while others wait, and all that the others leave.
	Patient bool
	// Prompt is the number of tokens to be read before the first answer; 0 for a
	// plain service.
	Prompt int
}

// rank is the place of the request in the queue; the lowest is first.
func (r Request) rank() int {
	if r.Resumed {
		return math.MinInt
	}
	return r.Match.Rank()
}

// Lease is a request at an endpoint until Done.
type Lease struct {
	Endpoint observer.Endpoint
	// Version is the version of the model that the endpoint is known to serve; 0
	// for a plain service.
	Version int64
	// Waited is the time in the queue.
	Waited time.Duration
	// Load is the estimated number of requests at the endpoint, without this one.
	Load int

	d    *Dispatcher
	pool *pool
	node *node
	// reading is the time that the engine takes to read the prompt, until it did.
	reading time.Duration
}

// Outcome tells how a lease ended.
type Outcome uint8

// The outcomes.
const (
	// Served means that the endpoint answered.
	Served Outcome = iota
	// Failed means that the connection broke or the answer was none.
	Failed
	// Full means that the endpoint refused the request.
	Full
	// Misdirected means that another instance has the address.
	Misdirected
	// Left means that the caller gave up.
	Left
)

type waiter struct {
	request Request
	rank    int
	since   time.Time
	granted chan *Lease
}

func (d *Dispatcher) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}

// Update takes the list, the configuration and the versions from the state, and
// grants what can be granted now. It is called at changes and several times a
// second.
func (d *Dispatcher) Update() {
	t := d.State.Table()
	list := d.State.Endpoints()
	if t == nil || list == nil {
		return
	}
	evacuated := d.State.Evacuated()
	gateways := len(d.State.Gateways(""))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateways = max(gateways, 1)
	d.updatePools(t, list)
	for _, p := range d.pools {
		d.updateNodes(p, list, evacuated)
		d.grant(p)
	}
	d.listed = true
}

func (d *Dispatcher) updatePools(t *resolver.Table, list map[string]*observer.Endpoint) {
	if d.pools == nil {
		d.pools = make(map[string]*pool)
	}
	for _, e := range list {
		s := t.Service(e.Service)
		if s == nil {
			continue
		}
		p := d.pools[e.Service]
		if p == nil {
			p = &pool{service: e.Service, nodes: make(map[string]*node)}
			d.pools[e.Service] = p
		}
		p.coldShare = d.coldShare(s.ColdRate)
		if s.Engine != nil {
			p.model, p.readRate = s.Engine.Model, s.Engine.ReadRate
			p.named = d.State.Target(p.model, d.Grace)
		}
	}
}

// coldShare is the part of this gateway of what a cold endpoint bears. It is safe
// without agreement, as it is divided among more gateways than there are.
func (d *Dispatcher) coldShare(rate float64) int {
	if rate <= 0 {
		return 1 << 30
	}
	n := max(spareGateways, spareFactor*d.gateways)
	return max(1, int((rate*d.Cold.Factor+d.Cold.Slack)/float64(n)))
}

func (d *Dispatcher) updateNodes(p *pool, list map[string]*observer.Endpoint, evacuated map[string]bool) {
	now := d.now()
	for id := range p.nodes {
		if e := list[id]; e == nil || e.Service != p.service {
			delete(p.nodes, id)
		}
	}
	for id, e := range list {
		if e.Service != p.service {
			continue
		}
		n := p.nodes[id]
		if n == nil || !n.Started.Equal(e.Started) || n.Address != e.Address {
			n = &node{}
			if t := d.State.Table().Service(p.service); t != nil && d.listed {
				n.coldUntil = now.Add(t.ColdTime)
			}
			p.nodes[id] = n
		}
		if n.ID == "" || n.Cold != e.Cold {
			if until := now.Add(e.Cold); e.Cold > 0 && until.After(n.coldUntil) {
				n.coldUntil = until
			}
		}
		n.Endpoint = *e
		n.Draining = e.Draining || evacuated[e.Domain]
	}
}

// Report takes what an endpoint's instance tells.
func (d *Dispatcher) Report(r Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		for _, n := range p.nodes {
			if n.Address != r.Address || !r.Started.IsZero() && !n.Started.IsZero() && !n.Started.Equal(r.Started) {
				continue
			}
			n.report, n.reportedAt, n.inFlightThen = r, d.now(), n.inFlight
			d.grant(p)
		}
	}
}

// ColdFor notes that an endpoint says that it stays cold.
func (d *Dispatcher) ColdFor(l *Lease, cold time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := d.now().Add(cold); until.After(l.node.coldUntil) {
		l.node.coldUntil = until
	}
}

// Acquire returns a lease. The error is of type *Error.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Lease, error) {
	d.mu.Lock()
	now := d.now()
	p := d.pools[r.Service]
	if p == nil {
		d.mu.Unlock()
		return nil, refuse(classifier.Unavailable, "no-endpoint", absentRetry)
	}
	// What is free goes to those that wait first. What they can't use, for example
	// because of their regions, must not wait for them.
	d.grant(p)
	if n := d.pick(p, r, now); n != nil {
		l := d.lease(p, n, r, now)
		d.mu.Unlock()
		return l, nil
	}
	if err := d.mayWait(p, r, now); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	w := &waiter{request: r, rank: r.rank(), since: now, granted: make(chan *Lease, 1)}
	p.enqueue(w)
	d.mu.Unlock()
	return d.await(ctx, p, w)
}

// queue returns the queue of a request.
func (p *pool) queue(r Request) *[]*waiter {
	if r.Patient {
		return &p.patient
	}
	return &p.fresh
}

func (p *pool) enqueue(w *waiter) {
	q := p.queue(w.request)
	i := len(*q)
	for i > 0 && (*q)[i-1].rank > w.rank {
		i--
	}
	*q = slices.Insert(*q, i, w)
}

// remove takes a waiter off its queue and reports whether it was there.
func (p *pool) remove(w *waiter) bool {
	q := p.queue(w.request)
	i := slices.Index(*q, w)
	if i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
	return i >= 0
}

func refuse(k classifier.Kind, reason string, after time.Duration) *Error {
	return &Error{Op: "acquire", Kind: k, Reason: reason, RetryAfter: after, Err: errors.New(reason)}
}

// mayWait refuses a request that can't be served in time.
func (d *Dispatcher) mayWait(p *pool, r Request, now time.Time) error {
	usable, soon := 0, false
	for _, n := range p.nodes {
		if d.isUsable(p, n, r, now) {
			usable++
		}
		soon = soon || d.isAllowed(p, n, r, now)
	}
	if !soon {
		return refuse(classifier.Unavailable, "no-endpoint", absentRetry)
	}
	left := r.Until.Sub(now)
	if left <= 0 || len(p.fresh)+len(p.patient) >= maxQueue {
		return refuse(classifier.Exhausted, "full", fullRetry)
	}
	if rate := p.rate(now); usable > 0 && rate > 0 {
		if wait := time.Duration(p.ahead(r) / rate * float64(time.Second)); wait > left {
			return refuse(classifier.Exhausted, "queue-too-long", max(fullRetry, wait))
		}
	}
	return nil
}

// ahead is the number of slots that become free until the request gets one, if
// what is ahead of it stays as it is.
func (p *pool) ahead(r Request) float64 {
	n := 1.0
	for _, w := range *p.queue(r) {
		if w.rank <= r.rank() {
			n++
		}
	}
	if r.Patient && len(p.fresh) > 0 {
		return n * patientEvery
	}
	return n
}

// rate is the number of slots per second that became free lately for requests
// of this gateway; 0 where too few did to tell.
func (p *pool) rate(now time.Time) float64 {
	p.trim(now)
	if len(p.freed) < 8 {
		return 0
	}
	return float64(len(p.freed)) / max(now.Sub(p.freed[0]), 100*time.Millisecond).Seconds()
}

func (p *pool) trim(now time.Time) {
	i := 0
	for i < len(p.freed) && now.Sub(p.freed[i]) > rateWindow {
		i++
	}
	p.freed = p.freed[i:]
}

func (d *Dispatcher) await(ctx context.Context, p *pool, w *waiter) (*Lease, error) {
	t := time.NewTimer(w.request.Until.Sub(w.since))
	defer t.Stop()
	select {
	case l := <-w.granted:
		return l, nil
	case <-t.C:
		if l := d.leave(p, w); l != nil {
			return l, nil
		}
		return nil, refuse(classifier.Exhausted, "waited", fullRetry)
	case <-ctx.Done():
		if l := d.leave(p, w); l != nil {
			l.Done(Left)
		}
		return nil, &Error{Op: "acquire", Kind: classifier.Timeout, Reason: "caller-left", Err: ctx.Err()}
	}
}

// leave takes the waiter off the queue, or returns the lease that it was granted
// meanwhile.
func (d *Dispatcher) leave(p *pool, w *waiter) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.remove(w) {
		return nil
	}
	return <-w.granted
}

// grant gives free slots to waiting requests. The caller holds the lock.
func (d *Dispatcher) grant(p *pool) {
	now := d.now()
	for d.grantOne(p, now) {
	}
}

// grantOne gives a slot to the first request that can use one.
func (d *Dispatcher) grantOne(p *pool, now time.Time) bool {
	first, second := p.fresh, p.patient
	if p.grants%patientEvery == patientEvery-1 {
		first, second = second, first
	}
	for _, q := range [...][]*waiter{first, second} {
		for _, w := range q {
			n := d.pick(p, w.request, now)
			if n == nil {
				continue
			}
			p.remove(w)
			p.grants++
			l := d.lease(p, n, w.request, now)
			l.Waited = now.Sub(w.since)
			w.granted <- l
			return true
		}
	}
	return false
}

// isAllowed reports whether the rules let the request go to the endpoint,
// whatever its load.
func (d *Dispatcher) isAllowed(p *pool, n *node, r Request, now time.Time) bool {
	if n.Draining || !r.Match.Allows(n.Region) || slices.Contains(r.Exclude, n.ID) {
		return false
	}
	if p.model == "" {
		return true
	}
	v := n.version(p.model, now)
	return v > 0 && v >= p.named.Floor
}

// isUsable reports whether the endpoint may get the request once it has room.
func (d *Dispatcher) isUsable(p *pool, n *node, r Request, now time.Time) bool {
	return d.isAllowed(p, n, r, now) && !n.closed(now) && !now.Before(n.avoidUntil)
}

// pick returns an endpoint with a low relative load that has room, or nil.
// Endpoints that failed lately are taken only where no other may be used.
func (d *Dispatcher) pick(p *pool, r Request, now time.Time) *node {
	n, others := d.pickAmong(p, r, now, false)
	if n == nil && !others {
		n, _ = d.pickAmong(p, r, now, true)
	}
	return n
}

// pickAmong picks among the endpoints that failed lately or among the others, and
// reports whether there are any that may be used, with room or without. It takes
// the best of a few drawn at random: gateways that all took the best of all would
// meet at the same endpoint, as none sees yet what the others just sent.
func (d *Dispatcher) pickAmong(p *pool, r Request, now time.Time, suspect bool) (*node, bool) {
	near, far := d.near[:0], d.far[:0]
	found := false
	for _, n := range p.nodes {
		if n.isSuspect(now) != suspect || !d.isUsable(p, n, r, now) {
			continue
		}
		found = true
		switch {
		case !d.hasRoom(p, n, r, now):
		case n.Region == d.Region:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	d.near, d.far = near, far
	var best *node
	var low float64
	try := func(l []*node, draws int) {
		for _, i := range sample(len(l), draws) {
			if s := d.score(p, l[i], r, now); best == nil || s < low {
				best, low = l[i], s
			}
		}
	}
	try(near, nearDraws)
	try(far, farDraws)
	return best, found
}

// sample returns up to two different random numbers below n.
func sample(n, draws int) []int {
	if n <= draws {
		return firstTwo[:n]
	}
	i := rand.IntN(n)
	if draws == 1 {
		return []int{i}
	}
	return []int{i, (i + 1 + rand.IntN(n-1)) % n}
}

var firstTwo = []int{0, 1}

// hasRoom reports whether the endpoint may get the request now.
func (d *Dispatcher) hasRoom(p *pool, n *node, r Request, now time.Time) bool {
	if n.load(now, d.gateways) >= n.limit() || n.coldFull(now, p.coldShare) {
		return false
	}
	return r.Resumed || n.reading == 0 || n.reading+p.readTime(r) <= d.readBound(r)
}

// score is the relative load of an endpoint and what else speaks against it.
func (d *Dispatcher) score(p *pool, n *node, r Request, now time.Time) float64 {
	s := float64(n.load(now, d.gateways))/float64(n.limit()) + d.distance(n) + faultCost*n.faults
	if p.model != "" && n.version(p.model, now) < p.named.Version {
		s += olderCost
	}
	if aim := r.Match.Route.Aim; aim > 0 {
		s += readCost * float64(n.reading) / float64(aim)
	}
	return s
}

// readTime is the time that an engine takes to read the prompt.
func (p *pool) readTime(r Request) time.Duration {
	if p.readRate <= 0 {
		return 0
	}
	return time.Duration(float64(r.Prompt) / p.readRate * float64(time.Second))
}

// readBound is the time of reading that this gateway gives an engine ahead. An
// engine reads one prompt after the other, and all gateways may choose the same
// one before they see each other's requests in its reports.
func (d *Dispatcher) readBound(r Request) time.Duration {
	return time.Duration(readShare * float64(r.Match.Route.Aim) / float64(d.gateways))
}

func (d *Dispatcher) distance(n *node) float64 {
	switch {
	case n.Region != d.Region:
		return otherRegion
	case n.Domain != d.Domain:
		return otherDomain
	default:
		return 0
	}
}

func (d *Dispatcher) lease(p *pool, n *node, r Request, now time.Time) *Lease {
	l := &Lease{Endpoint: n.Endpoint, Load: n.load(now, d.gateways), d: d, pool: p, node: n}
	if p.model != "" {
		l.Version = n.version(p.model, now)
	}
	l.reading = p.readTime(r)
	n.reading += l.reading
	n.inFlight++
	if !now.After(n.coldUntil) {
		n.sent = append(n.sent, now)
	}
	return l
}

// Read notes that the engine has read the prompt. Further calls do nothing.
func (l *Lease) Read() {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	if l.reading > 0 {
		l.read()
		l.d.grant(l.pool)
	}
}

func (l *Lease) read() {
	l.node.reading -= l.reading
	l.reading = 0
}

// Done ends the lease; it is called exactly once.
func (l *Lease) Done(o Outcome) {
	d, n := l.d, l.node
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	n.inFlight--
	l.read()
	switch o {
	case Served:
		n.succeeded()
	case Failed:
		n.failed(now)
	case Full:
		n.avoid(now.Add(refusedAvoid))
	case Misdirected:
		n.avoid(now.Add(misdirectedAvoid))
	}
	l.pool.trim(now)
	if o == Served || o == Left {
		l.pool.freed = append(l.pool.freed, now)
	}
	d.grant(l.pool)
}

// Status counts the endpoints and requests of a service.
type Status struct {
	Service                         string
	Endpoints, InFlight, Queued     int
	Loaded, Cold, Draining, Avoided int
}

// Status returns the counts of all services.
func (d *Dispatcher) Status() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var l []Status
	for _, p := range d.pools {
		s := Status{Service: p.service, Endpoints: len(p.nodes), Queued: len(p.fresh) + len(p.patient)}
		for _, n := range p.nodes {
			s.InFlight += n.inFlight
			s.Draining += count(n.Draining)
			s.Cold += count(now.Before(n.coldUntil))
			s.Avoided += count(now.Before(n.avoidUntil) || n.isSuspect(now))
			s.Loaded += count(p.model == "" || n.version(p.model, now) >= max(1, p.named.Version))
		}
		l = append(l, s)
	}
	return l
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
