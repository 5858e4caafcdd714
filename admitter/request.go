package admitter

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Request is a request for admission.
type Request struct {
	// Account is the client account of the caller; never nil. Its limits may
	// differ between calls if the configuration changed.
	Account *recorder.ClientAccount
	// Deadline is when the caller gives up; the zero time means no deadline.
	Deadline time.Time
}

// Ticket represents an admitted request until Done is called.
type Ticket struct {
	admitter *Admitter
	account  *account
	// admittedAt is when the request was admitted.
	admittedAt time.Time
}

// Done ends the request. It must be called exactly once; the ticket must not be
// used afterwards, since it is reused.
func (t *Ticket) Done() { t.admitter.done(t) }

// waiter is a request in the queue.
type waiter struct {
	account *account
	// admitBy is the latest time at which the request can be admitted.
	admitBy time.Time
	// notify is called once, with the admitter's lock held, with the ticket or
	// the refusal. It must not block or call the admitter.
	notify func(*Ticket, *Error)
	// queued reports whether the waiter is in its account's queue.
	queued bool
}
