package retrier

import (
	"sync/atomic"
	"time"
)

// Default values of the fields of Budget. A share of less than a tenth hides
// the refusals of a few endpoints and, together with Idle, keeps the extra load
// during an outage at a tenth. The burst is the number of requests that one
// replaced endpoint with a limit of a few dozen refuses at once.
const (
	DefaultShare = 0.09
	DefaultBurst = 32
	DefaultIdle  = 3
)

// idleWindow is the period in which a gateway with few requests may use Idle
// retries.
const idleWindow = 10 * time.Second

// retryUnit is one retry in the fixed-point representation of the saved
// retries.
const retryUnit = 1 << 20

// Budget bounds retries to a share of the offered requests. The zero value is
// ready to use, has the defaults and is initially empty.
//
// A share alone would allow a gateway with a few requests per minute no retry
// at all. Idle retries are therefore allowed in each window of 10 s, unless the
// requests of this window or of the last one already earn as many by their
// share. Under load, retries stay below Share times the offered requests plus
// Idle.
//
// All methods are safe for concurrent use.
type Budget struct {
	// Share is the number of retries that each offered request adds; 0 means
	// DefaultShare, a negative value allows no retries.
	Share float64
	// Burst is the maximum number of saved retries; 0 means DefaultBurst.
	Burst float64
	// BurstFunc, if not nil, is called in place of Burst where that changes with
	// the number of gateways that share it.
	BurstFunc func() float64
	// Idle is the number of retries allowed in a window with few requests; 0
	// means DefaultIdle, a negative value allows none.
	Idle float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	saved atomic.Int64
	// window is the number of the current window. offered and idleUsed count the
	// requests and the idle retries in it, offeredBefore is the number of
	// requests in the window before.
	window, offered, offeredBefore, idleUsed atomic.Int64
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}

// Offer counts one offered request. It must be called once for each request of
// a caller, but not for retries.
func (b *Budget) Offer() {
	b.rollWindow()
	b.offered.Add(1)
	b.save(int64(orDefault(b.Share, DefaultShare) * retryUnit))
}

// save adds to the saved retries, up to the burst.
func (b *Budget) save(add int64) {
	limit := int64(b.burst() * retryUnit)
	for add > 0 {
		old := b.saved.Load()
		if old == limit || b.saved.CompareAndSwap(old, min(old+add, limit)) {
			return
		}
	}
}

func (b *Budget) burst() float64 {
	if b.BurstFunc != nil {
		return b.BurstFunc()
	}
	return orDefault(b.Burst, DefaultBurst)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	_, ok := b.spend()
	return ok
}

// savedRetry is the window of a retry that was taken from the saved ones.
const savedRetry = -1

// spend takes one retry and returns the window that allowed it, or savedRetry.
func (b *Budget) spend() (window int64, ok bool) {
	for {
		old := b.saved.Load()
		if old < retryUnit {
			return b.spendIdle()
		}
		if b.saved.CompareAndSwap(old, old-retryUnit) {
			return savedRetry, true
		}
	}
}

// Refund gives back the retry that Decide took for d, if any. It must be called at most once
// for a decision, and only if nothing was sent to an endpoint because of it. An idle retry
// ends with its window.
func (b *Budget) Refund(d Decision) {
	if !d.Retry {
		return
	}
	if d.window == savedRetry {
		b.save(retryUnit)
		return
	}
	b.rollWindow()
	for b.window.Load() == d.window {
		old := b.idleUsed.Load()
		if old == 0 || b.idleUsed.CompareAndSwap(old, old-1) {
			return
		}
	}
}

// spendIdle takes one of the retries that a window with few requests allows.
func (b *Budget) spendIdle() (window int64, ok bool) {
	b.rollWindow()
	window = b.window.Load()
	idle, share := orDefault(b.Idle, DefaultIdle), orDefault(b.Share, DefaultShare)
	if share < 0 || float64(max(b.offered.Load(), b.offeredBefore.Load()))*share >= idle {
		return 0, false
	}
	if float64(b.idleUsed.Add(1)) <= idle {
		return window, true
	}
	b.idleUsed.Add(-1)
	return 0, false
}

// rollWindow begins a new window if the current one has passed.
func (b *Budget) rollWindow() {
	now := time.Now
	if b.Now != nil {
		now = b.Now
	}
	n := now().UnixNano() / int64(idleWindow)
	old := b.window.Load()
	if n == old || !b.window.CompareAndSwap(old, n) {
		return
	}
	last := b.offered.Swap(0)
	if n != old+1 {
		last = 0
	}
	b.offeredBefore.Store(last)
	b.idleUsed.Store(0)
}

// Saved returns the number of retries that requests have earned and that have
// not been spent.
func (b *Budget) Saved() float64 { return float64(b.saved.Load()) / retryUnit }
