package admitter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// wait queues the request and waits for its admission or refusal. The caller
// must hold the lock; wait releases it.
func (a *Admitter) wait(ctx context.Context, r Request) (*Ticket, error) {
	type result struct {
		ticket *Ticket
		err    *Error
	}
	done := make(chan result, 1)
	now := a.now()
	w := a.enqueue(&r, now, func(t *Ticket, err *Error) { done <- result{t, err} })
	a.mu.Unlock()

	timer := time.NewTimer(w.admitBy.Sub(now))
	defer timer.Stop()
	var got result
	select {
	case got = <-done:
	case <-timer.C:
		a.refuseQueued(w, func() *Error { return a.refuseTooLate(w.account) })
		got = <-done
	case <-ctx.Done():
		a.refuseQueued(w, func() *Error {
			return &Error{Op: "admit", Kind: classifier.Timeout, Reason: "caller-gone", Err: errors.Wrap(context.Cause(ctx), "wait in queue")}
		})
		got = <-done
	}
	if got.err != nil {
		return nil, got.err
	}
	return got.ticket, nil
}

// refuseQueued refuses a waiter that is still queued with the error that reason
// returns.
func (a *Admitter) refuseQueued(w *waiter, reason func() *Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !w.queued {
		return
	}
	for i, x := range w.account.queue {
		if x == w {
			err := reason()
			a.dequeue(w.account, i)
			w.notify(nil, err)
			a.admitWaiting(a.now())
			return
		}
	}
}

// ticket counts the request as in flight and returns its ticket.
func (a *Admitter) ticket(c *account, now time.Time) *Ticket {
	a.inFlight++
	c.inFlight++
	a.updateActive(c)
	var t *Ticket
	if n := len(a.freeTickets); n > 0 {
		t, a.freeTickets = a.freeTickets[n-1], a.freeTickets[:n-1]
	} else {
		t = &Ticket{admitter: a}
	}
	t.account, t.admittedAt = c, now
	return t
}

// done ends the request of the ticket and admits waiting requests.
func (a *Admitter) done(t *Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	c := t.account
	t.account = nil
	a.freeTickets = append(a.freeTickets, t)
	a.inFlight--
	c.inFlight--
	a.updateActive(c)
	held := now.Sub(t.admittedAt)
	a.hold.add(held)
	c.hold.add(held)
	a.admitWaiting(now)
}
