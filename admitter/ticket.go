package admitter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// wait queues the request; the caller holds the lock, which wait releases.
func (a *Admitter) wait(ctx context.Context, r Request) (*Ticket, error) {
	type result struct {
		ticket *Ticket
		err    *Error
	}
	done := make(chan result, 1)
	now := a.now()
	w := a.enqueue(&r, now, func(t *Ticket, err *Error) { done <- result{t, err} })
	a.mu.Unlock()

	timer := time.NewTimer(w.latest.Sub(now))
	defer timer.Stop()
	var got result
	select {
	case got = <-done:
	case <-timer.C:
		a.drop(w, func() *Error { return a.tooLate(w.account) })
		got = <-done
	case <-ctx.Done():
		a.drop(w, func() *Error {
			return &Error{Op: "admit", Kind: classifier.Timeout, Reason: "caller-gone", Err: errors.Wrap(context.Cause(ctx), "wait in queue")}
		})
		got = <-done
	}
	if got.err != nil {
		return nil, got.err
	}
	return got.ticket, nil
}

// drop refuses a waiter that is still queued.
func (a *Admitter) drop(w *waiter, reason func() *Error) {
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
			a.pump(a.now())
			return
		}
	}
}

// ticket counts an admitted request.
func (a *Admitter) ticket(c *account, now time.Time) *Ticket {
	a.inFlight++
	c.inFlight++
	a.mark(c)
	var t *Ticket
	if n := len(a.free); n > 0 {
		t, a.free = a.free[n-1], a.free[:n-1]
	} else {
		t = &Ticket{admitter: a}
	}
	t.account, t.since = c, now
	return t
}

// done returns a ticket and admits waiting requests.
func (a *Admitter) done(t *Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	c := t.account
	t.account = nil
	a.free = append(a.free, t)
	a.inFlight--
	c.inFlight--
	a.mark(c)
	held := now.Sub(t.since)
	a.hold.add(held)
	c.hold.add(held)
	a.pump(now)
}
