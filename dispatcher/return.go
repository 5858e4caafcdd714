package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

const (
	// honouredShare is the part of its remaining time up to which a caller waits as told
	// before it comes back.
	honouredShare = 1.0 / 3
	// weightsTime is when weights are expected if no endpoint has them; they take a few seconds
	// to arrive.
	weightsTime = 2 * time.Second
	// crowdWindow is the time in which callers count as told at about the same time.
	crowdWindow = 100 * time.Millisecond
	// minSlotTime is the least time assumed between two slots.
	minSlotTime = time.Millisecond
)

// maxReturn returns the latest time after which a refused caller comes back as told and can
// still be served.
func (p *pool) maxReturn(r Request, now time.Time) time.Duration {
	left := r.Deadline.Sub(now)
	d := time.Duration(honouredShare * float64(left))
	if p != nil {
		if _, end := p.workOf(r, usualDeviations); left > end {
			d = min(d, left-end)
		}
	}
	return max(0, d)
}

// refuseFull returns the error of a request that is refused for lack of a slot with n requests
// ahead of it, and records the time, unless slots were free that are kept: an overload reduces what
// all ranks may use of engines that the gateway doesn't prefer.
func (p *pool) refuseFull(r Request, n int, now time.Time, reason string) error {
	p.pressure.refused.add(now)
	if !IsReserved(reason) {
		p.refusedAt = now
	}
	return refuse(classifier.Exhausted, reason, p.returnAfter(r, n, now))
}

// returnAfter returns when the caller of a refused request is to come back that has n requests
// ahead of it: when the queue will have reached it. Those who are refused one after the other
// come back so: at one moment they would find slots for few of them. They come back after those of
// more urgent ranks, and not after those of less urgent ones, whom they precede in the queue.
func (p *pool) returnAfter(r Request, n int, now time.Time) time.Duration {
	latest := p.maxReturn(r, now)
	slot := p.slotTime(r, now)
	at := now.Add(time.Duration(n) * slot)
	rank := r.Match.Rank()
	for k, t := range p.returnAt {
		if t.Before(now) {
			delete(p.returnAt, k)
		} else if k <= rank && t.After(at) {
			at = t
		}
	}
	at = at.Add(slot)
	if at.Sub(now) > latest {
		return p.crowd.spread(latest, slot, now)
	}
	if p.returnAt == nil {
		p.returnAt = make(map[int]time.Time)
	}
	p.returnAt[rank] = at
	return at.Sub(now)
}

// RetryAfter returns when the caller of a request is to come back that an endpoint has refused
// and that is not sent to another one.
func (d *Dispatcher) RetryAfter(r Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, now := d.pools[r.Service], d.now()
	if p == nil {
		return p.refuseUnserved(r, now).RetryAfter
	}
	return p.returnAfter(r, p.ahead(r, now), now)
}

// slotTime returns the time between two slots that requests of this gateway get: by the rate of
// the queue, and else by the usual time of the request and the number under way.
func (p *pool) slotTime(r Request, now time.Time) time.Duration {
	if rate := p.rateOf(r, now); rate > 0 {
		return max(minSlotTime, time.Duration(float64(time.Second)/rate))
	}
	running := 1
	for _, n := range p.nodes {
		running += n.inFlight
	}
	_, end := p.workOf(r, usualDeviations)
	return max(minSlotTime, end/time.Duration(running))
}

// refuseUnserved returns the error of a request that no endpoint may serve. The pool is nil if
// the service has no endpoints.
func (p *pool) refuseUnserved(r Request, now time.Time) *Error {
	d := min(weightsTime, p.maxReturn(r, now))
	if p != nil {
		p.pressure.refused.add(now)
		d = p.crowd.spread(d, p.slotTime(r, now), now)
	}
	return refuse(classifier.Unavailable, "no-endpoint", d)
}

// crowd counts the callers who were told at about the same time to come back as late as they
// can.
type crowd struct {
	since time.Time
	size  int
}

// spread returns a time up to d after which one more caller is to come back, no earlier than d/2.
// Callers who are told at about the same time are spread over the slots that they need.
func (c *crowd) spread(d, slot time.Duration, now time.Time) time.Duration {
	if now.Sub(c.since) > crowdWindow {
		c.since, c.size = now, 0
	}
	c.size++
	return d - time.Duration(rand.Float64()*float64(min(d/2, time.Duration(c.size)*slot)))
}
