package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
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

const (
	// patientEvery is the number of slots of which one goes to a request that is
	// late already. Under lasting overload the others stay in time.
	patientEvery = 20
	// pressure is how long after the refusal of a first request the service is
	// taken for overloaded; about the time in which a slot becomes free.
	pressure = time.Second
	// pressedShare is the part of an endpoint's slots that late requests may fill
	// under overload beyond their turns. First requests find the rest free.
	pressedShare = 0.75
	// maxQueue bounds the requests that wait for one service at one gateway.
	maxQueue = 512
)

type waiter struct {
	request Request
	rank    int
	since   time.Time
	granted chan *Lease
}

// pool holds the endpoints of one service and the requests that wait for them.
type pool struct {
	service string
	nodes   map[string]*node
	// fresh and patient are the queues, each by rank and then by arrival.
	fresh, patient []*waiter
	// firsts counts the slots given to first requests since a late one got one.
	firsts int
	// refusedAt is when a first request was last refused for want of a slot.
	refusedAt time.Time
	// model is the model of the engines; empty for a plain service.
	model string
	// readRate is the number of prompt tokens that an engine reads per second.
	readRate float64
	named    observer.TargetVersions
	// coldShare is the number of requests per second that this gateway may send
	// to a cold endpoint.
	coldShare int
	// unplaced is scratch space of grantOne.
	unplaced []unplaced
	// freed holds the times at which slots became free within rateWindow.
	freed []time.Time
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

// ahead is the number of slots that become free until the request gets one, if
// what is ahead of it stays as it is.
func (p *pool) ahead(r Request, now time.Time) float64 {
	n := 1.0
	for _, w := range *p.queue(r) {
		if w.rank <= r.rank() {
			n++
		}
	}
	if r.Patient && (len(p.fresh) > 0 || p.isPressed(now)) {
		return n * patientEvery
	}
	return n
}

// isPressed reports whether first requests were refused lately for want of a slot.
func (p *pool) isPressed(now time.Time) bool { return now.Sub(p.refusedAt) < pressure }

// isTurn reports whether the next slot goes to a late request.
func (p *pool) isTurn() bool { return p.firsts >= patientEvery-1 }

// limit is the number of requests at an endpoint up to which the request gets a slot.
func (p *pool) limit(n *node, r Request, now time.Time) int {
	if r.Patient && p.isPressed(now) && !p.isTurn() {
		return max(1, int(float64(n.limit())*pressedShare))
	}
	return n.limit()
}

// refuseFull refuses a request for want of a slot.
func (p *pool) refuseFull(r Request, now time.Time, reason string, after time.Duration) error {
	if !r.Patient && !r.Resumed {
		p.refusedAt = now
	}
	return refuse(classifier.Exhausted, reason, after)
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
		return p.refuseFull(r, now, "full", fullRetry)
	}
	if rate := p.rate(now); usable > 0 && rate > 0 {
		if wait := time.Duration(p.ahead(r, now) / rate * float64(time.Second)); wait > left {
			return p.refuseFull(r, now, "queue-too-long", max(fullRetry, wait))
		}
	}
	return nil
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
		d.mu.Lock()
		defer d.mu.Unlock()
		return nil, p.refuseFull(w.request, d.now(), "waited", fullRetry)
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
