package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Default values of the fields of Admitter.
const (
	DefaultMaxQueued = 1024
	// DefaultMaxWait leaves 500 ms of the 1.2 s target for the time to the first
	// token.
	DefaultMaxWait = 700 * time.Millisecond
)

// maxUtilization is the part of the capacity that is used. Gateways choose
// endpoints independently and cannot fill all of them at once; what they cannot
// place would be refused after its admission instead of waiting in the queue.
const maxUtilization = 0.9

// lendableShare is the part of the capacity that accounts may use regardless of
// their shares. The rest is for accounts below their shares, so that a large
// account cannot occupy all endpoints. At 0.74 the throughput fell below 90% of
// its peak, since limits that are not used do not grow.
const lendableShare = 0.8

// pruneAbove is the number of accounts from which idle ones are removed when
// another account is added.
const pruneAbove = 4096

// Admitter admits requests at one gateway. The zero value is ready to use and
// admits nothing until SetCapacity is called. All methods are safe for
// concurrent use.
type Admitter struct {
	// MaxQueued is the maximum number of waiting requests; 0 means DefaultMaxQueued.
	MaxQueued int
	// MaxWait bounds the wait of a request regardless of its deadline; 0 means
	// DefaultMaxWait. Under lasting overload the queue fills up to the longest
	// allowed wait, so a longer one serves no more requests.
	MaxWait time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	accounts map[recorder.Name]*account
	// activeWeight is the sum of the weights of the accounts with requests in
	// flight or in the queue.
	activeWeight float64
	// backlogged holds the accounts with waiting requests, in no particular
	// order.
	backlogged []*account
	// backloggedWeight is the sum of the weights of backlogged.
	backloggedWeight float64
	// queued is the number of waiters in all queues.
	queued int
	// inFlight is the number of tickets that are not done.
	inFlight int
	capacity int
	// share is the part of the account limits that this gateway enforces: 0
	// before SetShare, then in (0, 1]. shares overrides it for single accounts.
	share  float64
	shares map[recorder.Name]float64
	// virtualTime is the virtual time of the weighted fair queue.
	virtualTime float64
	// hold is the mean time for which requests hold capacity.
	hold ewma
	// freeTickets holds tickets for reuse.
	freeTickets []*Ticket
}

func (a *Admitter) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}

// limitShare returns the part of the account's limits that this gateway
// enforces.
func (a *Admitter) limitShare(account recorder.Name) float64 {
	if f := a.shares[account]; f > 0 {
		return f
	}
	if a.share == 0 {
		return 1
	}
	return a.share
}

// SetCapacity sets the capacity to the sum of the limits of the ready
// endpoints, or to this gateway's part of it. At most nine tenths of it are
// used. With a capacity of 0 new requests are refused, while waiting ones stay
// queued until their deadlines, since a capacity that was lost for a moment may
// come back.
func (a *Admitter) SetCapacity(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.capacity
	a.capacity = int(math.Ceil(float64(n) * maxUtilization))
	now := a.now()
	a.admitWaiting(now)
	if a.capacity < before {
		a.refuseLate(now)
	}
}

// SetShare sets the part of the account limits that this gateway enforces, in
// (0, 1]. Other values are taken as 1. The map by sets the part for single
// accounts; it must not be modified after the call.
func (a *Admitter) SetShare(f float64, by map[recorder.Name]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !(f > 0 && f <= 1) {
		f = 1
	}
	a.share, a.shares = f, by
	now := a.now()
	a.admitWaiting(now)
	a.refuseLate(now)
}

// Status is a snapshot of an admitter.
type Status struct {
	Capacity, InFlight, Queued int
	// Hold is the mean time for which requests hold capacity.
	Hold time.Duration
}

// Status returns a snapshot of the present state.
func (a *Admitter) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{a.capacity, a.inFlight, a.queued, a.hold.duration()}
}

// Admit waits until the request may be sent and returns its ticket. The error
// is of type *Error: of kind Exhausted with a RetryAfter if the request cannot
// be served in time, of kind Timeout if ctx ended first.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Ticket, error) {
	a.mu.Lock()
	t, err := a.tryAdmit(&r, a.now())
	if t != nil || err != nil {
		a.mu.Unlock()
		if err != nil {
			return nil, err
		}
		return t, nil
	}
	return a.wait(ctx, r)
}

// Submit is like Admit but does not block. It calls answer once with the ticket
// or the refusal, possibly before Submit returns and with the admitter's lock
// held, so answer must not block or call the admitter. The caller has to call
// Sweep when the longest wait or the deadline is over.
func (a *Admitter) Submit(r Request, answer func(*Ticket, *Error)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	t, err := a.tryAdmit(&r, now)
	if t != nil || err != nil {
		answer(t, err)
		return
	}
	a.enqueue(&r, now, answer)
}

// Sweep refuses the waiting requests that can no longer be served in time.
// Admit does not depend on it.
func (a *Admitter) Sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.refuseLate(now)
	a.admitWaiting(now)
}
