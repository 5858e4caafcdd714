package dispatcher

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Dispatcher assigns requests to endpoints. Its exported fields must be set before
// the first call; its methods may be called concurrently.
type Dispatcher struct {
	// Name is the name under which this gateway registers itself.
	Name string
	// Domain and Region are the failure domain and region of this gateway.
	Domain, Region string
	Cold           ColdLimit
	// LowestShare is the part of the slots that less urgent requests always get, where the
	// requests to a service differ in rank.
	LowestShare float64
	// HalfOpen says at which services endpoints that failed are tried while requests wait; the zero value
	// means at none.
	HalfOpen HalfOpen
	// Grace is how long an older version may be used after this gateway learned
	// of a newer one.
	Grace time.Duration
	// MaxVersionDelay is the time after which no request may begin at an older version; 0
	// means no limit.
	MaxVersionDelay time.Duration
	State           *observer.State
	// IsCurrent reports whether requests may go by the endpoint list, which a pause of the
	// process may have made too old; nil means that they always may. Until then requests
	// wait in the queue. It is called with a lock held.
	IsCurrent func() bool
	// Outdated is called, with a lock held, when an agent reports a process that the
	// endpoint list lacks; it may be nil and must not block.
	Outdated func()
	// Noticed is called, with a lock held, when an endpoint says that it leaves or pauses; it
	// may be nil and must not block.
	Noticed func(e observer.Endpoint, v Notice, from NoticeSource)
	// Replaced is called, with a lock held, when an endpoint that counted as leaving turns out to be
	// another process; it may be nil and must not block.
	Replaced func(e observer.Endpoint)
	// Withheld is called, with a lock held, when slots of a service begin to be kept from less
	// urgent requests that could use them, with their number, and when that has ended; it may be
	// nil and must not block.
	Withheld func(service string, slots float64, began bool)
	// PaceChanged is called when an engine becomes slow or ends to be, and LengthsKnown when the lengths
	// of a route's answers become known, with a lock held; they may be nil and must not block.
	PaceChanged  func(c PaceChange)
	LengthsKnown func(k LengthsKnown)
	// UnevenChanged is called when the lengths of a service's responses begin to vary widely, and when
	// they no longer do, with a lock held; it may be nil and must not block.
	UnevenChanged func(c UnevenChange)
	// Recovered is called when an endpoint that had failed has begun the request with which it was
	// tried, with a lock held; it may be nil and must not block.
	Recovered func(r Recovery)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	pools    map[string]*pool
	gateways int
	// gatewayNames holds the names of the known gateways.
	gatewayNames []string
	// gatewayList holds the known gateways in the same order.
	gatewayList []*observer.Gateway
	// near and far are buffers that pickAmong reuses.
	near, far []*node
	// room is the longest prompt processing time that fits at an endpoint with a free slot, as
	// the last call of pick found.
	room time.Duration
	// kept reports whether the request of the present call of pick has to leave the free slots
	// to more urgent ones, and withheld why one was left that it could have used.
	kept     bool
	withheld withholding
	// owed reports whether the present or last call of pick gave the request the place of one of
	// the most urgent rank, since it is owed a slot and found none otherwise.
	owed bool
	// tried reports whether the endpoint that the last call of pick returned failed and is tried.
	tried bool
	// extra is the number of requests that the present call of pick may send to an endpoint beyond
	// its slots, and prefillPart the part of its reading time that their prompts may use.
	extra       int
	prefillPart float64
	// table is the table that was last applied.
	table *resolver.Table
	// listed reports whether an endpoint list has been applied. Endpoints of the
	// first list aren't taken for newly started.
	listed bool
	// stampBase is the time from which time stamps of demands are counted.
	stampBase time.Time
	// incarnations holds what is known of the processes at each location, and what they have said
	// about the requests that they want. It alone decides that, beside the endpoint list.
	incarnations map[location]*incarnations
	// forgotAt is when locations that the list has lacked for long were last looked for.
	forgotAt time.Time
}

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// Match gives the allowed regions and the priority.
	Match resolver.Match
	// Exclude lists the ids of endpoints that have already been tried.
	Exclude []string
	// Deadline is when the caller stops waiting for the end of the response.
	Deadline time.Time
	// FirstBy is when the caller leaves if the response, or its next part, hasn't begun; the
	// zero value if only Deadline counts.
	FirstBy time.Time
	// Resumed is set for a request that continues a stream which the caller is
	// already reading. It precedes all others, as the caller notices a pause in a
	// stream at once.
	Resumed bool
	// Last is set for a request that has no other attempt if this one fails.
	Last bool
	// Prompt is the number of prompt tokens that the engine processes before it
	// generates the first token, and Answer the largest number of tokens that it generates; 0
	// for a service without engines.
	Prompt, Answer int
	// Hint is the caller's estimate of the number of tokens of the answer; 0 if there is none.
	Hint int
}

// rank returns the priority of the request in the queue; the lowest value is first.
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

// Update applies the endpoint list, the configuration and the model versions of
// State, assigns queued requests to free slots and ends those that are overdue at their
// endpoints. It is to be called after each change of State and several times a second.
func (d *Dispatcher) Update() {
	for _, f := range d.update() {
		f()
	}
}

// update returns the functions of the leases that are overdue.
func (d *Dispatcher) update() (overdue []func()) {
	t := d.State.Table()
	list := d.State.Endpoints()
	if t == nil || list == nil {
		return nil
	}
	evacuated := d.State.Evacuated()
	names, gateways := d.State.GatewayNames(), d.State.GatewayList()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gatewayNames = names
	now := d.now()
	starts := newestStarts(t, list, now)
	rank := !slices.Equal(gateways, d.gatewayList)
	d.gatewayList = gateways
	d.gateways = max(len(names), 1)
	d.addPools(t, list)
	isNew := t != d.table
	d.table = t
	for _, p := range d.pools {
		if isNew {
			d.forgetWideRoutes(p, t)
		}
		s := t.Service(p.service)
		if s != nil {
			d.updatePool(p, s)
		}
		d.updateNodes(p, s, list, evacuated)
		d.updateIncarnations(p, now)
		for _, n := range p.nodes {
			n.setNewestStart(starts[n.Address])
		}
		d.updateSharers(p, rank)
		d.updateCold(p)
		d.updateReserve(p, t, now)
		d.setHalfOpen(p)
		d.grant(p)
		d.refuseLate(p, now)
		d.notePaces(p, now)
		overdue = append(overdue, d.takeOverdue(p, now)...)
	}
	d.listed = true
	d.forgetIncarnations(now)
	return overdue
}

// addPools creates the missing pools of configured services that have endpoints.
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
	p.cold = d.Cold.share(s.ColdRate, d.gateways)
	p.coldBound = int(d.Cold.Bound(s.ColdRate))
	if s.Engine != nil {
		p.model, p.readRate = s.Engine.Model, s.Engine.ReadRate
		p.target = d.State.Target(p.model, d.Grace)
		d.updateNamed(p)
		p.lateFloor = d.State.Target(p.model, time.Duration(float64(d.Grace)*lateGraceShare)).Floor
	}
}

// updateNodes updates the nodes of a pool from the endpoint list; s is nil if the
// configuration no longer has the service.
func (d *Dispatcher) updateNodes(p *pool, s *resolver.Service, list map[string]*observer.Endpoint, evacuated map[string]bool) {
	now := d.now()
	for id := range p.nodes {
		if e := list[id]; e == nil || e.Service != p.service {
			delete(p.nodes, id)
		}
	}
	p.byAddress = make(map[netip.AddrPort][]*node, len(p.nodes))
	for id, e := range list {
		if e.Service != p.service {
			continue
		}
		n := p.nodes[id]
		if n == nil || !n.Started.Equal(e.Started) || n.Address != e.Address {
			n = &node{listedAt: now}
			if s != nil && d.listed {
				n.coldUntil = now.Add(s.ColdTime)
			}
			p.nodes[id] = n
		}
		if e.Cold > 0 && (n.ID == "" || n.Cold != e.Cold) {
			n.extendCold(now.Add(e.Cold))
		}
		n.Endpoint = *e
		p.byAddress[n.Address] = append(p.byAddress[n.Address], n)
		n.Draining = e.Draining || evacuated[e.Domain]
	}
}

// Report stores a load report from the instance of an endpoint. A report of an
// earlier or later process at the same address is ignored.
func (d *Dispatcher) Report(r Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		nodes := p.byAddress[r.Address]
		if len(nodes) == 0 {
			continue
		}
		listed := isListed(nodes, r)
		for _, n := range nodes {
			if !n.isReporter(r, listed) {
				d.noteStart(n, r, listed)
				if r.Leaving && !listed && r.Started.After(n.Started) {
					d.noteReportedLeaving(p, n, r)
				}
				continue
			}
			if r.Versions[p.model] != n.report.Versions[p.model] {
				n.begins.forget()
			}
			n.noteLoad(r, d.now())
			n.report, n.reportedAt, n.inFlightAtReport = r, d.now(), n.inFlight
			n.unbegunAtReport = len(n.begins.pending)
			p.reportedAt = n.reportedAt
			n.noteConfirmed(r)
			if r.From.Addr().Unmap() == n.Address.Addr().Unmap() {
				n.agent = r.From
			}
			d.takeOffer(p, n, r)
			if r.Leaving {
				d.noteReportedLeaving(p, n, r)
			}
		}
		d.grant(p)
	}
}

// ExtendCold records that the endpoint of the lease announced to stay cold for the
// given time.
func (d *Dispatcher) ExtendCold(l *Lease, cold time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.node.extendCold(d.now().Add(cold))
}

// Acquire assigns the request to an endpoint and returns the lease. It waits while
// all endpoints are full and the request can still be served in its caller's time. The error is
// of type *Error.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Lease, error) {
	l, w, err := d.acquireOrQueue(r)
	if w == nil {
		return l, err
	}
	return d.await(ctx, w)
}

// acquireOrQueue assigns the request to an endpoint, or queues it and returns its waiter.
func (d *Dispatcher) acquireOrQueue(r Request) (*Lease, *waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	p := d.pools[r.Service]
	if p == nil {
		return nil, nil, p.refuseUnserved(r, now)
	}
	p.noteArrival(r, now)
	p.pressure.arrived.add(now)
	// Free slots go to queued requests first. Slots that these can't use, for
	// example because of their regions, are available to this request.
	d.grant(p)
	if n := d.pick(p, r, now); n != nil {
		return d.lease(p, n, r, now), nil, nil
	}
	w := &waiter{pool: p, request: r, rank: r.rank(), latest: p.latestStart(r), since: now, granted: make(chan waitResult, 1), withheld: d.withheld}
	if !d.mayHold(p, w, now) {
		if err := d.checkWait(p, w, now); err != nil {
			return nil, nil, err
		}
	}
	p.enqueue(w, now)
	return nil, w, nil
}

func refuse(k classifier.Kind, reason string, after time.Duration) *Error {
	return &Error{Op: "acquire", Kind: k, Reason: reason, RetryAfter: after, Err: errors.New(reason)}
}

// Status counts the endpoints and requests of a service.
type Status struct {
	Service                         string
	Endpoints, InFlight, Queued     int
	Loaded, Cold, Draining, Avoided int
	Leaving, Paused                 int
	// Ranks holds the requests of each rank, the most urgent first; empty if all have one.
	Ranks []RankStatus
	// Slow is the number of engines that count as slow, and Unwritten that of the events that
	// requests of this gateway have yet to get, as far as lengths are known and in effect.
	Slow      int
	Unwritten float64
	// Lent is the number of cold endpoints of which this gateway holds permits, and Permits counts
	// those that it got and those that it used.
	Lent    int
	Permits PermitCounts
	// HalfOpen counts the requests with which endpoints that had failed were tried.
	HalfOpen HalfOpenCounts
	// Uneven reports whether the lengths of responses vary widely, so that they are in effect.
	Uneven bool
}

// Status returns the counts of all services.
func (d *Dispatcher) Status() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var l []Status
	for _, p := range d.pools {
		s := Status{
			Service: p.service, Endpoints: len(p.nodes), Queued: len(p.queue), Ranks: p.rankStatus(now), Unwritten: p.unwritten(), Permits: p.permitCounts,
			Uneven: p.uneven.isActive, HalfOpen: p.halfOpenCounts,
		}
		for _, n := range p.nodes {
			s.InFlight += n.inFlight
			s.Draining += boolToInt(n.Draining)
			s.Cold += boolToInt(now.Before(n.coldUntil))
			s.Leaving += boolToInt(n.isLeaving())
			s.Paused += boolToInt(n.isPaused(now))
			s.Slow += boolToInt(n.pace.isSlow(now))
			s.Lent += boolToInt(now.Before(n.coldUntil) && n.permits.isHolder(now))
			s.Avoided += boolToInt(now.Before(n.avoidUntil) || n.isSuspect(now))
			s.Loaded += boolToInt(p.model == "" || n.version(p.model, now) >= max(1, p.target.Version))
		}
		l = append(l, s)
	}
	return l
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
