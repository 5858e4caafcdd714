package dispatcher

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// rateWindow is the period over which the rate of the queue is measured, and minRateTime
	// the time of waiting from which it is known.
	rateWindow  = 2 * time.Second
	minRateTime = 500 * time.Millisecond
	// maxUpdatePause is the time between two updates from which the process counts as paused.
	maxUpdatePause = 300 * time.Millisecond
	// acceptDeviations is the number of standard deviations of the expected wait by which a
	// request has to be earlier than its latest start to be queued. Those in the queue need
	// none, so that small changes of the rate don't refuse what was just accepted.
	acceptDeviations = 1
	// overloadWindow is how long the service counts as overloaded after a refusal for lack
	// of a slot; about the time in which a slot becomes free.
	overloadWindow = time.Second
	// maxQueue limits the queued requests of one service at one gateway.
	maxQueue = 512
)

// waiter is a queued request.
type waiter struct {
	pool    *pool
	request Request
	rank    int
	// latest is when the request has to be sent so that it is served in its caller's time.
	latest  time.Time
	since   time.Time
	granted chan waitResult
	// withheld tells why a free slot was kept from it, if so.
	withheld withholding
}

// compareWaiters orders the queue: by priority, and then by the time to spare. A request that
// can no longer be served in time is taken out of the queue, so the first one still can be.
func compareWaiters(a, b *waiter) int {
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	return a.latest.Compare(b.latest)
}

// waitResult is the end of a wait: a lease, or the error with which the request is refused.
type waitResult struct {
	lease *Lease
	err   error
}

// pool holds the endpoints of one service and the requests that wait for them.
type pool struct {
	service string
	nodes   map[string]*node
	// byAddress holds the endpoints at each address. All but one of them are gone, or were
	// never there.
	byAddress map[netip.AddrPort][]*node
	// queue holds the requests that wait, in the order of compareWaiters, and waitingSince is
	// when it was last empty.
	queue        []*waiter
	waitingSince time.Time
	// updatedAt is when the pool was last updated, and blockedAt when requests last waited for
	// something else than a slot: no endpoint might be used, or the process was paused.
	updatedAt, blockedAt time.Time
	// heldAt is when a request last found no endpoint that may be used, and heldSince when
	// that state began.
	heldAt, heldSince time.Time
	// reportedAt is when an endpoint was last reported.
	reportedAt time.Time
	// refusedAt is when a request was last refused for lack of a slot.
	refusedAt time.Time
	// returnAt is the time up to which refused callers of each rank have been told to come back
	// one after the other.
	returnAt map[int]time.Time
	crowd    crowd
	reserve  reserve
	// halfOpen reports whether endpoints that failed are tried before their time as suspect is over.
	halfOpen       bool
	halfOpenCounts HalfOpenCounts
	// pressedSince is when requests began to wait, or the last time at which none did.
	pressedSince time.Time
	// model is the model of the engines; empty for a service without engines.
	model string
	// readRate is the number of prompt tokens that an engine processes per second.
	readRate float64
	target   observer.TargetVersions
	// unbegun holds the functions set by OnOverdue of requests that haven't begun.
	unbegun map[*Lease]func()
	// named holds the versions that were named, the newest last.
	named []namedVersion
	// lateFloor is the newest version whose predecessors may no longer be used soon.
	lateFloor int64
	cold      coldShare
	// coldBound is the number of requests per second that all gateways may send to a cold endpoint.
	coldBound int
	// firstToken is the time to the first token of all requests, and work the work of each
	// route.
	firstToken average
	work       map[string]*routeWork
	workload   workload
	uneven     uneven
	// unplaced is a buffer that grantOne reuses.
	unplaced []unplaced
	// pressure counts the recent requests, and permitCounts the permits of cold endpoints.
	pressure     pressure
	permitCounts PermitCounts
	// statedTo holds the last statements of waiting requests, and statements counts the rounds.
	statedTo   []Waiting
	statements int
	// assigned holds the times within rateWindow at which requests got a slot.
	assigned []time.Time
}

func (p *pool) enqueue(w *waiter, now time.Time) {
	if len(p.queue) == 0 {
		p.waitingSince = now
	}
	p.pressure.waitedAt = now
	p.queue = slices.Insert(p.queue, p.place(w), w)
}

// place returns the number of queued requests that precede the waiter.
func (p *pool) place(w *waiter) int {
	return sort.Search(len(p.queue), func(i int) bool { return compareWaiters(p.queue[i], w) > 0 })
}

// ahead returns the number of queued requests that precede one with more time to spare, as a
// caller has that comes back, and that get their slots at the rate by which slotTime goes.
func (p *pool) ahead(r Request, now time.Time) int {
	n := sort.Search(len(p.queue), func(i int) bool { return p.queue[i].rank > r.rank() })
	return p.aheadAtRate(p.queue, r, n, now)
}

// aheadAtRate returns how many of the first k requests of a queue get their slots before the
// request at the rate by which slotTime goes: that of rateOf, or that of all if it isn't known.
func (p *pool) aheadAtRate(queue []*waiter, r Request, k int, now time.Time) int {
	if p.rateOf(r, now) == 0 {
		return k
	}
	return p.aheadOf(queue, r, k)
}

// remove takes a waiter off the queue and reports whether it was there.
func (p *pool) remove(w *waiter) bool {
	i := slices.Index(p.queue, w)
	if i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	return i >= 0
}

// isOverloaded reports whether a request was refused for lack of a slot within
// overloadWindow.
func (p *pool) isOverloaded(now time.Time) bool { return now.Sub(p.refusedAt) < overloadWindow }

// rate returns the number of this gateway's requests that got a slot per second while others
// waited; 0 if that isn't known. Slots that were given before say how many requests came, not
// how many could be served, and during an outage or a pause none are.
func (p *pool) rate(now time.Time) float64 {
	if len(p.queue) == 0 {
		return 0
	}
	p.assigned = trim(p.assigned, now)
	from := p.rateStart(now)
	if now.Sub(from) < minRateTime {
		return 0
	}
	return float64(countAfter(p.assigned, from)) / now.Sub(from).Seconds()
}

// rateStart returns the time from which the rate of the queue is measured.
func (p *pool) rateStart(now time.Time) time.Time {
	from := now.Add(-rateWindow)
	for _, t := range []time.Time{p.waitingSince, p.blockedAt, p.heldAt} {
		if t.After(from) {
			from = t
		}
	}
	return from
}

// countAfter returns the number of the times, in order, that are after from.
func countAfter(l []time.Time, from time.Time) int {
	n := 0
	for i := len(l); i > 0 && l[i-1].After(from); i-- {
		n++
	}
	return n
}

// trim returns the times, in order, that are within rateWindow.
func trim(l []time.Time, now time.Time) []time.Time {
	i := 0
	for i < len(l) && now.Sub(l[i]) > rateWindow {
		i++
	}
	return l[i:]
}

// expectedWait returns the time in which n queued requests get their slots at the rate, plus a
// number of standard deviations of it; 0 if the rate isn't known.
func expectedWait(n int, rate, deviations float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	k := float64(n)
	return time.Duration((k + deviations*math.Sqrt(k)) / rate * float64(time.Second))
}

// checkWait returns an error if no endpoint may serve the request, the queue is full
// or the request can't be served in its caller's time.
func (d *Dispatcher) checkWait(p *pool, w *waiter, now time.Time) error {
	r := w.request
	if err := d.prospect(p, r, now).check(p, w, now); err != nil {
		return err
	}
	usable, soon := 0, false
	for _, n := range p.nodes {
		if d.isUsable(p, n, r, now) {
			usable++
		}
		soon = soon || d.isAllowed(p, n, r, now)
	}
	if !soon {
		return p.refuseUnserved(r, now)
	}
	left := w.latest.Sub(now)
	if left <= 0 || len(p.queue) >= maxQueue {
		return p.refuseFull(r, p.ahead(r, now), now, w.reason("full"))
	}
	if usable > 0 && expectedWait(p.aheadOf(p.queue, r, p.place(w))+1, p.rateOf(r, now), acceptDeviations) > left {
		return p.refuseFull(r, p.ahead(r, now), now, w.reason("queue-too-long"))
	}
	return nil
}

// refuseLate refuses the queued requests that the queue won't reach in their callers' time, as
// it has slowed since they were accepted. Those behind them move up.
func (d *Dispatcher) refuseLate(p *pool, now time.Time) {
	isPaused := now.Sub(p.updatedAt) > maxUpdatePause
	p.updatedAt = now
	if len(p.queue) == 0 {
		return
	}
	if isPaused || !d.mayAssign(p, now) {
		p.blockedAt = now
	}
	rate := p.rateOf(p.queue[0].request, now)
	rank := p.queue[0].rank
	kept := p.queue[:0]
	for _, w := range p.queue {
		if w.rank != rank {
			rate, rank = p.rateOf(w.request, now), w.rank
		}
		switch {
		case now.After(w.latest):
			w.granted <- waitResult{err: p.refuseFull(w.request, p.aheadAtRate(kept, w.request, len(kept), now), now, w.reason("waited"))}
		case now.Add(expectedWait(p.aheadOf(kept, w.request, len(kept))+1, rate, 0)).After(w.latest):
			w.granted <- waitResult{err: p.refuseFull(w.request, p.aheadAtRate(kept, w.request, len(kept), now), now, w.reason("queue-too-long"))}
		default:
			kept = append(kept, w)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// mayAssign reports whether the first queued request only waits for a slot.
func (d *Dispatcher) mayAssign(p *pool, now time.Time) bool {
	if !d.isCurrent() {
		return false
	}
	for _, n := range p.nodes {
		if d.isUsable(p, n, p.queue[0].request, now) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) await(ctx context.Context, w *waiter) (*Lease, error) {
	t := time.NewTimer(w.latest.Sub(w.since))
	defer t.Stop()
	select {
	case g := <-w.granted:
		return g.lease, g.err
	case <-t.C:
		if g, ok := d.cancelWait(w); ok {
			return g.lease, g.err
		}
		return nil, d.refuseWaited(w)
	case <-ctx.Done():
		if g, ok := d.cancelWait(w); ok && g.lease != nil {
			g.lease.Done(Canceled)
		}
		return nil, &Error{Op: "acquire", Kind: classifier.Timeout, Reason: "caller-left", Err: ctx.Err()}
	}
}

// refuseWaited returns the error of a request whose latest start has passed in the queue.
func (d *Dispatcher) refuseWaited(w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	return w.pool.refuseFull(w.request, w.pool.ahead(w.request, now), now, w.reason("waited"))
}

// cancelWait removes the waiter from the queue, or returns the end of its wait if that has
// come in the meantime.
func (d *Dispatcher) cancelWait(w *waiter) (r waitResult, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.pool.remove(w) {
		return waitResult{}, false
	}
	return <-w.granted, true
}
