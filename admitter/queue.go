package admitter

import (
	"slices"
	"time"
)

// enqueue adds the request to the queue of its account, which must be in
// accounts.
func (a *Admitter) enqueue(r *Request, now time.Time, notify func(*Ticket, *Error)) *waiter {
	c := a.accounts[r.Account.Name]
	w := &waiter{account: c, admitBy: a.admitBy(c, r, now), notify: notify, queued: true}
	if len(c.queue) == 0 {
		c.start = max(a.virtualTime, c.finish)
		a.backlogged = append(a.backlogged, c)
		a.backloggedWeight += c.weight()
	}
	c.queue = append(c.queue, w)
	a.updateActive(c)
	a.queued++
	if len(c.queue) == 1 {
		// The other accounts now get a smaller part of the drain rate.
		a.refuseLate(now)
	}
	// An account that left the queue made the shares of the others larger.
	a.admitWaiting(now)
	return w
}

// admitBy returns the latest time at which the request can be admitted and
// still be served in time.
func (a *Admitter) admitBy(c *account, r *Request, now time.Time) time.Time {
	wait := a.MaxWait
	if wait <= 0 {
		wait = DefaultMaxWait
	}
	t := now.Add(wait)
	if r.Deadline.IsZero() {
		return t
	}
	if d := r.Deadline.Add(-a.meanHold(c).duration()); d.Before(t) {
		return d
	}
	return t
}

// dequeue removes the waiter at index i from the account's queue.
func (a *Admitter) dequeue(c *account, i int) *waiter {
	w := c.remove(i)
	a.updateActive(c)
	a.queued--
	if len(c.queue) == 0 {
		a.backlogged = slices.DeleteFunc(a.backlogged, func(o *account) bool { return o == c })
		a.backloggedWeight -= c.weight()
	}
	if a.queued == 0 {
		a.backloggedWeight = 0
	}
	return w
}

// admitWaiting admits waiting requests while there is capacity.
func (a *Admitter) admitWaiting(now time.Time) {
	for a.inFlight < a.capacity {
		var next *account
		for _, c := range a.backlogged {
			if a.hasRoom(c) && (next == nil || c.start < next.start) {
				next = c
			}
		}
		if next == nil {
			return
		}
		w := a.dequeue(next, 0)
		if now.After(w.admitBy) {
			w.notify(nil, a.refuseTooLate(next))
			continue
		}
		a.virtualTime = max(a.virtualTime, next.start)
		next.finish = next.start + 1/next.weight()
		next.start = next.finish
		w.notify(a.ticket(next, now), nil)
	}
}

// refuseLate refuses the waiting requests that can no longer be served in time.
func (a *Admitter) refuseLate(now time.Time) {
	for _, c := range slices.Clone(a.backlogged) {
		for i := 0; i < len(c.queue); {
			if !a.isLate(c, i+1, now, c.queue[i].admitBy) {
				i++
				continue
			}
			w := a.dequeue(c, i)
			w.notify(nil, a.refuseTooLate(c))
		}
	}
}

// isLate reports whether a request at a position in the account's queue,
// counted from 1, is expected to be admitted after admitBy.
func (a *Admitter) isLate(c *account, position int, now, admitBy time.Time) bool {
	return now.Add(a.waitFor(c, position)).After(admitBy)
}

// meanHold returns the mean hold time of the account, or that of all accounts
// while the former is unknown.
func (a *Admitter) meanHold(c *account) ewma {
	if c.hold == 0 {
		return a.hold
	}
	return c.hold
}

// waitFor estimates the time until the request at a position in the account's
// queue is admitted. It returns 0 until a first request has ended, when no hold
// time is known, and while there is no capacity.
func (a *Admitter) waitFor(c *account, position int) time.Duration {
	if a.hold == 0 || a.capacity == 0 {
		return 0
	}
	backloggedWeight := a.backloggedWeight
	if len(c.queue) == 0 {
		backloggedWeight += c.weight()
	}
	places := a.capacity
	if c.inFlight >= a.shareOf(c) {
		places = a.lendableCapacity()
	}
	rate := float64(places) / float64(a.hold) * c.weight() / backloggedWeight
	rate = min(rate, float64(c.concurrency(a.limitShare(c.name)))/float64(a.meanHold(c)))
	return seconds(float64(position) / rate)
}
