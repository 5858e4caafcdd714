package admitter

import (
	"math"
	"time"
)

// tryAdmit admits or refuses the request without waiting. Both results are nil
// if the request has to wait.
func (a *Admitter) tryAdmit(r *Request, now time.Time) (*Ticket, *Error) {
	c := a.account(r.Account, now)
	c.refill(now, a.limitShare(c.name))
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, refuse("deadline-passed", 0, "the deadline passed before admission")
	}
	if c.tokens < 1 {
		return nil, refuse("account-rate", c.nextToken(a.limitShare(c.name)),
			"account %s is above its rate of %v requests a second", c.name, c.limits.RequestsPerSecond)
	}
	if len(c.queue) == 0 && a.hasRoom(c) {
		c.tokens--
		// The virtual time advances, so that the use of free capacity does not
		// count against the account when a queue forms.
		a.virtualTime = max(a.virtualTime, c.finish)
		c.finish = a.virtualTime + 1/c.weight()
		return a.ticket(c, now), nil
	}
	if a.capacity == 0 {
		return nil, refuse("no-capacity", time.Second, "no endpoint has capacity")
	}
	if err := a.makeQueueSlot(c); err != nil {
		return nil, err
	}
	if a.isLate(c, len(c.queue)+1, now, a.admitBy(c, r, now)) {
		return nil, a.refuseTooLate(c)
	}
	c.tokens--
	return nil, nil
}

// makeQueueSlot ensures that the account may queue one more request, if
// necessary by refusing a queued request of another account. It returns the
// refusal if it cannot.
func (a *Admitter) makeQueueSlot(c *account) *Error {
	bound := a.MaxQueued
	if bound <= 0 {
		bound = DefaultMaxQueued
	}
	if a.queued < bound {
		return nil
	}
	// The slot is taken from the account with the longest queue relative to its
	// weight.
	var worst *account
	for _, o := range a.backlogged {
		if worst == nil || o.weightedLength(0) > worst.weightedLength(0) {
			worst = o
		}
	}
	if worst == nil || worst == c || worst.weightedLength(0) <= c.weightedLength(1) {
		return refuse("queue-full", a.waitFor(c, len(c.queue)+1), "the queue is full with %d requests", a.queued)
	}
	w := a.dequeue(worst, len(worst.queue)-1)
	w.notify(nil, refuse("queue-full", a.waitFor(worst, len(worst.queue)+1), "the queue is full and account %s has the most in it", worst.name))
	return nil
}

// weightedLength returns the length of the queue with more requests added,
// divided by the account's weight.
func (a *account) weightedLength(more int) float64 { return float64(len(a.queue)+more) / a.weight() }

func (a *Admitter) refuseTooLate(c *account) *Error {
	return refuse("wait", a.waitFor(c, len(c.queue)+1),
		"%d requests of account %s wait; this one would wait too long", len(c.queue), c.name)
}

// hasRoom reports whether the account may use one more unit of capacity now.
// Above its share it may do so only while less than lendableCapacity is in use.
func (a *Admitter) hasRoom(c *account) bool {
	if a.inFlight >= a.capacity || c.inFlight >= c.concurrency(a.limitShare(c.name)) {
		return false
	}
	return a.inFlight < a.lendableCapacity() || c.inFlight < a.shareOf(c)
}

// lendableCapacity returns the capacity that may be used regardless of shares.
func (a *Admitter) lendableCapacity() int { return int(math.Ceil(float64(a.capacity) * lendableShare)) }

// shareOf returns the account's share of the capacity by its weight among the
// active accounts.
func (a *Admitter) shareOf(c *account) int {
	active := a.activeWeight
	if !c.active {
		active += c.weight()
	}
	return int(math.Ceil(float64(a.capacity) * c.weight() / active))
}

// updateActive updates the sum of the active weights after a change of the
// account.
func (a *Admitter) updateActive(c *account) {
	isActive := c.inFlight > 0 || len(c.queue) > 0
	if isActive == c.active {
		return
	}
	c.active = isActive
	if isActive {
		a.activeWeight += c.weight()
		return
	}
	a.activeWeight -= c.weight()
}
