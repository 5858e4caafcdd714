package dispatcher

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// rateWindow is the period over which the rate of freed slots is measured.
	rateWindow = 2 * time.Second
	// fullRetryAfter is the minimum Error.RetryAfter if all endpoints are full.
	fullRetryAfter = 800 * time.Millisecond
	// noEndpointRetryAfter is Error.RetryAfter if no endpoint may be used; weights take
	// a few seconds to arrive.
	noEndpointRetryAfter = 2 * time.Second
)

const (
	// slotsPerRetried is the number of slots of which one goes to a retried request.
	// Under lasting overload the first requests then stay in time.
	slotsPerRetried = 20
	// slotsPerQueuedRetried is the assumed number of slots of which a retried request gets
	// one under overload, together with those that first requests leave between bursts.
	slotsPerQueuedRetried = 3
	// overloadWindow is how long the service counts as overloaded after the refusal of
	// a first request; about the time in which a slot becomes free.
	overloadWindow = time.Second
	// retriedSlotShare is the part of an endpoint's slots up to which retried requests
	// may fill it under overload, apart from the one in slotsPerRetried. The rest
	// stays free for first requests.
	retriedSlotShare = 0.9
	// maxQueue limits the queued requests of one service at one gateway.
	maxQueue = 512
)

// waiter is a queued request.
type waiter struct {
	pool    *pool
	request Request
	rank    int
	since   time.Time
	granted chan waitResult
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
	// fresh and retried are the queues, each by rank and then by arrival.
	fresh, retried []*waiter
	// freshSinceRetried counts the slots that first requests got since a retried one
	// last got one.
	freshSinceRetried int
	// heldAt is when a request last found no endpoint that may be used, and heldSince when
	// that state began.
	heldAt, heldSince time.Time
	// reportedAt is when an endpoint was last reported.
	reportedAt time.Time
	// refusedAt is when a first request was last refused for lack of a slot.
	refusedAt time.Time
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
	lateFloor  int64
	cold       coldShare
	firstToken firstTokenTime
	// unplaced is a buffer that grantOne reuses.
	unplaced []unplaced
	// freed holds the times at which slots became free within rateWindow.
	freed []time.Time
}

// queue returns the queue of a request.
func (p *pool) queue(r Request) *[]*waiter {
	if r.Retried {
		return &p.retried
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

// slotsNeeded returns the number of slots that must become free for the request to
// get one, if no other request enters or leaves the queue ahead of it.
func (p *pool) slotsNeeded(r Request, now time.Time) float64 {
	n := 1.0
	for _, w := range *p.queue(r) {
		if w.rank <= r.rank() {
			n++
		}
	}
	if r.Retried && (len(p.fresh) > 0 || p.isOverloaded(now)) {
		return n * slotsPerQueuedRetried
	}
	return n
}

// isOverloaded reports whether a first request was refused for lack of a slot within
// overloadWindow.
func (p *pool) isOverloaded(now time.Time) bool { return now.Sub(p.refusedAt) < overloadWindow }

// isRetriedTurn reports whether the next slot goes to a retried request.
func (p *pool) isRetriedTurn() bool { return p.freshSinceRetried >= slotsPerRetried-1 }

// limit returns the number of requests at the endpoint below which the request may
// get a slot.
func (p *pool) limit(n *node, r Request, now time.Time) int {
	if r.Retried && (p.isOverloaded(now) || p.isRecovering(now)) && !p.isRetriedTurn() {
		return max(1, int(float64(n.limit())*retriedSlotShare))
	}
	return n.limit()
}

// refuseFull returns the error of a request refused for lack of a slot, and records
// the time if it is a first request.
func (p *pool) refuseFull(r Request, now time.Time, reason string, after time.Duration) error {
	if !r.Retried && !r.Resumed {
		p.refusedAt = now
	}
	return refuse(classifier.Exhausted, reason, after)
}

// rate returns the number of slots of this gateway's requests that became free
// per second within rateWindow; 0 if there were too few to tell.
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

// checkWait returns an error if no endpoint may serve the request, the queue is full
// or the request can't be served in time.
func (d *Dispatcher) checkWait(p *pool, r Request, now time.Time) error {
	if err := d.checkAvailable(p, r, now); err != nil {
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
		return refuse(classifier.Unavailable, "no-endpoint", noEndpointRetryAfter)
	}
	left := r.Until.Sub(now)
	if left <= 0 || len(p.fresh)+len(p.retried) >= maxQueue {
		return p.refuseFull(r, now, "full", fullRetryAfter)
	}
	if rate := p.rate(now); usable > 0 && rate > 0 {
		if wait := time.Duration(p.slotsNeeded(r, now) / rate * float64(time.Second)); wait > left {
			return p.refuseFull(r, now, "queue-too-long", max(fullRetryAfter, wait))
		}
	}
	return nil
}

func (d *Dispatcher) await(ctx context.Context, w *waiter) (*Lease, error) {
	t := time.NewTimer(w.request.Until.Sub(w.since))
	defer t.Stop()
	for {
		select {
		case g := <-w.granted:
			return g.lease, g.err
		case <-t.C:
			if g, ok := d.cancelWait(w); ok {
				return g.lease, g.err
			}
			wait, err := d.requeueLate(w)
			if err != nil {
				return nil, err
			}
			t.Reset(wait)
		case <-ctx.Done():
			if g, ok := d.cancelWait(w); ok && g.lease != nil {
				g.lease.Done(Canceled)
			}
			return nil, &Error{Op: "acquire", Kind: classifier.Timeout, Reason: "caller-left", Err: ctx.Err()}
		}
	}
}

// requeueLate queues a request that has waited in vain among the late ones, and returns how
// long it waits there, or the error with which it is refused.
func (d *Dispatcher) requeueLate(w *waiter) (time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, now := w.pool, d.now()
	err := p.refuseFull(w.request, now, "waited", fullRetryAfter)
	if !d.mayBeLate(p, w.request, now, err) {
		return 0, err
	}
	w.request = w.request.late()
	p.enqueue(w)
	return w.request.Until.Sub(now), nil
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
