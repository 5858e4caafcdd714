package dispatcher

import (
	"context"
	"math"
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
	// Patient requests were refused before and are late already. While others wait
	// or are refused they get a small part of the free slots, else all of them.
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
	gateways := d.State.GatewayCount()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateways = max(gateways, 1)
	d.addPools(t, list)
	for _, p := range d.pools {
		s := t.Service(p.service)
		if s != nil {
			d.updatePool(p, s)
		}
		d.updateNodes(p, s, list, evacuated)
		d.grant(p)
	}
	d.listed = true
}

// addPools makes the pools of services that have endpoints for the first time.
func (d *Dispatcher) addPools(t *resolver.Table, list map[string]*observer.Endpoint) {
	if d.pools == nil {
		d.pools = make(map[string]*pool)
	}
	for _, e := range list {
		if d.pools[e.Service] == nil && t.Service(e.Service) != nil {
			d.pools[e.Service] = &pool{service: e.Service, nodes: make(map[string]*node)}
		}
	}
}

func (d *Dispatcher) updatePool(p *pool, s *resolver.Service) {
	p.coldShare = d.coldShare(s.ColdRate)
	if s.Engine != nil {
		p.model, p.readRate = s.Engine.Model, s.Engine.ReadRate
		p.named = d.State.Target(p.model, d.Grace)
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

// updateNodes takes the endpoints of a pool from the list; the service is nil where
// the configuration no longer has it.
func (d *Dispatcher) updateNodes(p *pool, s *resolver.Service, list map[string]*observer.Endpoint, evacuated map[string]bool) {
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
			if s != nil && d.listed {
				n.coldUntil = now.Add(s.ColdTime)
			}
			p.nodes[id] = n
		}
		if e.Cold > 0 && (n.ID == "" || n.Cold != e.Cold) {
			n.cool(now.Add(e.Cold))
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
	l.node.cool(d.now().Add(cold))
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

func refuse(k classifier.Kind, reason string, after time.Duration) *Error {
	return &Error{Op: "acquire", Kind: k, Reason: reason, RetryAfter: after, Err: errors.New(reason)}
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
