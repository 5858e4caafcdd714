package admitter

import (
	"math"
	"time"
)

// try admits or refuses the request without waiting. Both results are nil when
// it has to wait.
func (a *Admitter) try(r *Request, now time.Time) (*Ticket, *Error) {
	c := a.account(r.Account, now)
	c.fill(now, a.part(c.name))
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, refuse("deadline-passed", 0, "the deadline passed before admission")
	}
	if c.tokens < 1 {
		return nil, refuse("account-rate", c.nextToken(a.part(c.name)),
			"account %s is above its rate of %v requests a second", c.name, c.limits.RequestsPerSecond)
	}
	if len(c.queue) == 0 && a.hasRoom(c) {
		c.tokens--
		// The virtual time moves along, so that the use of free capacity does not
		// count against the account when a queue forms.
		a.virtual = max(a.virtual, c.finish)
		c.finish = a.virtual + 1/c.weight()
		return a.ticket(c, now), nil
	}
	if a.capacity == 0 {
		return nil, refuse("no-capacity", time.Second, "no endpoint has capacity")
	}
	if err := a.hasPlace(c); err != nil {
		return nil, err
	}
	if a.isLate(c, len(c.queue)+1, now, a.latest(c, r, now)) {
		return nil, a.tooLate(c)
	}
	c.tokens--
	return nil, nil
}

// hasPlace makes a place in the queue for the account, or returns the refusal.
func (a *Admitter) hasPlace(c *account) *Error {
	bound := a.Bound
	if bound <= 0 {
		bound = DefaultBound
	}
	if a.queued < bound {
		return nil
	}
	// The place is taken from the account with the longest queue for its weight.
	var worst *account
	for _, o := range a.waiting {
		if worst == nil || o.length(0) > worst.length(0) {
			worst = o
		}
	}
	if worst == nil || worst == c || worst.length(0) <= c.length(1) {
		return refuse("queue-full", a.waitFor(c, len(c.queue)+1), "the queue is full with %d requests", a.queued)
	}
	w := a.dequeue(worst, len(worst.queue)-1)
	w.notify(nil, refuse("queue-full", a.waitFor(worst, len(worst.queue)+1), "the queue is full and account %s has the most in it", worst.name))
	return nil
}

// length returns the queue with more requests in it, for the account's weight.
func (a *account) length(more int) float64 { return float64(len(a.queue)+more) / a.weight() }

func (a *Admitter) tooLate(c *account) *Error {
	return refuse("wait", a.waitFor(c, len(c.queue)+1),
		"%d requests of account %s wait; this one would wait too long", len(c.queue), c.name)
}

// hasRoom reports whether the account may take a place now. Above its share it
// may while others leave places free, but not the last ones.
func (a *Admitter) hasRoom(c *account) bool {
	if a.inFlight >= a.capacity || c.inFlight >= c.concurrency(a.part(c.name)) {
		return false
	}
	return a.inFlight < a.lendable() || c.inFlight < a.shareOf(c)
}

// lendable returns the places that are taken whatever the shares are.
func (a *Admitter) lendable() int { return int(math.Ceil(float64(a.capacity) * lend)) }

// shareOf returns the account's share of the capacity by its weight among the
// active accounts.
func (a *Admitter) shareOf(c *account) int {
	active := a.active
	if !c.active {
		active += c.weight()
	}
	return int(math.Ceil(float64(a.capacity) * c.weight() / active))
}

// mark keeps the sum of the active weights after a change of the account.
func (a *Admitter) mark(c *account) {
	is := c.inFlight > 0 || len(c.queue) > 0
	if is == c.active {
		return
	}
	c.active = is
	if is {
		a.active += c.weight()
		return
	}
	a.active -= c.weight()
}
