package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Defaults of Admitter.
const (
	DefaultBound = 1024
	// DefaultMaxWait leaves 500 ms of the target of 1.2 s to the first token.
	DefaultMaxWait = 700 * time.Millisecond
)

// fill is the part of the capacity that is used. Several gateways that choose
// endpoints on their own do not fill all of them at once, and what they cannot
// place would be refused after its admission instead of waiting in the queue.
const fill = 0.9

// lend is the part of the capacity that accounts may fill whatever their shares
// are. The rest is for accounts below theirs, so that a large account does not
// fill the endpoints for all. At 0.74 the throughput fell below 90% of its peak,
// since limits that are not used do not grow.
const lend = 0.8

// maxIdle is the number of accounts above which idle ones are forgotten.
const maxIdle = 4096

// Admitter admits requests at one gateway. The zero value is ready and admits
// nothing until SetCapacity. All methods may be called concurrently.
type Admitter struct {
	// Bound is the number of requests that wait at most; 0 means DefaultBound.
	Bound int
	// MaxWait bounds the wait of a request whatever its deadline; 0 means
	// DefaultMaxWait. Under lasting overload the queue fills up to the longest wait
	// that is allowed, and a longer one serves no more requests.
	MaxWait time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	accounts map[recorder.Name]*account
	// active is the sum of the weights of the accounts with requests in flight or
	// in the queue.
	active float64
	// waiting holds the accounts with a queue, in no order.
	waiting []*account
	// weights is the sum of the weights of waiting.
	weights float64
	// queued is the number of waiters in all queues.
	queued int
	// inFlight is the number of tickets out.
	inFlight int
	capacity int
	// share is 0 until SetShare and then in (0, 1]; shares holds those of single
	// accounts.
	share  float64
	shares map[recorder.Name]float64
	// virtual is the virtual time of the fair queue.
	virtual float64
	// hold is the mean time for which requests hold capacity.
	hold mean
	// free holds tickets for reuse.
	free []*Ticket
}

func (a *Admitter) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}

// part returns the part of an account's limits that this gateway enforces.
func (a *Admitter) part(account recorder.Name) float64 {
	if f := a.shares[account]; f > 0 {
		return f
	}
	if a.share == 0 {
		return 1
	}
	return a.share
}

// SetCapacity sets the sum of the limits of the ready endpoints, or this
// gateway's part of it. Nine tenths of it are in flight at most.
// At 0 new requests are refused, and those that wait stay until their deadlines,
// since a capacity that was lost for a moment may come back.
func (a *Admitter) SetCapacity(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.capacity
	a.capacity = int(math.Ceil(float64(n) * fill))
	now := a.now()
	a.pump(now)
	if a.capacity < before {
		a.sweep(now)
	}
}

// SetShare sets the part of the account limits that this gateway enforces, in
// (0, 1]. Other values are taken as 1. Accounts in by have a part of their own;
// the map is not changed afterwards.
func (a *Admitter) SetShare(f float64, by map[recorder.Name]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !(f > 0 && f <= 1) {
		f = 1
	}
	a.share, a.shares = f, by
	now := a.now()
	a.pump(now)
	a.sweep(now)
}

// Status is a snapshot of an admitter.
type Status struct {
	Capacity, InFlight, Queued int
	// Hold is the mean time for which requests hold capacity.
	Hold time.Duration
}

// Status returns the present counts.
func (a *Admitter) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{a.capacity, a.inFlight, a.queued, a.hold.duration()}
}

// Admit waits until the request may be sent and returns its ticket. The error
// is of type *Error: of kind Exhausted with a RetryAfter when the request cannot
// be served in time, of kind Timeout when ctx ended first.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Ticket, error) {
	a.mu.Lock()
	t, err := a.try(&r, a.now())
	if t != nil || err != nil {
		a.mu.Unlock()
		if err != nil {
			return nil, err
		}
		return t, nil
	}
	return a.wait(ctx, r)
}

// Submit is Admit for callers that do not block. The answer is called once with
// the ticket or the refusal, possibly before Submit returns and under the
// admitter's lock, so it must not block or call the admitter. The caller sees to
// it that Sweep is called when the longest wait or the deadline is over.
func (a *Admitter) Submit(r Request, answer func(*Ticket, *Error)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	t, err := a.try(&r, now)
	if t != nil || err != nil {
		answer(t, err)
		return
	}
	a.enqueue(&r, now, answer)
}

// Sweep refuses the waiting requests that can no longer be served in time. Admit
// does not depend on it.
func (a *Admitter) Sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sweep(now)
	a.pump(now)
}
