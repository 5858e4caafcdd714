package retrier

import (
	"sync/atomic"
	"time"
)

// Defaults of Budget. Less than a tenth of the requests hides the refusals of a
// few endpoints and, with Idle, keeps the extra load of an outage at a tenth.
// The burst is what one replaced endpoint with a limit of a few dozen refuses
// at once.
const (
	DefaultShare = 0.09
	DefaultBurst = 32
	DefaultIdle  = 3
)

// idleWindow is the time in which Idle retries are allowed on a gateway with
// few requests.
const idleWindow = 10 * time.Second

// unit is one retry in the fixed-point count of a budget.
const unit = 1 << 20

// Budget bounds retries to a share of the offered requests. The zero value is
// ready and has the defaults. It is empty at first.
//
// A share alone would allow a gateway with a few requests a minute no retry at
// all. Idle retries are therefore allowed in each window of 10 s, as long as
// neither this window nor the last one had so many requests that their share
// is larger. Under load, retries stay below Share times the offered requests
// plus Idle.
//
// All methods may be called concurrently.
type Budget struct {
	// Share is the number of retries that each offered request adds; 0 means
	// DefaultShare, a negative value allows no retries.
	Share float64
	// Burst is the largest number of retries saved up; 0 means DefaultBurst.
	Burst float64
	// BurstNow stands for Burst where it changes with the number of gateways that
	// share it; it may be nil.
	BurstNow func() float64
	// Idle is the number of retries in a window with few requests; 0 means
	// DefaultIdle, a negative value allows none.
	Idle float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	saved atomic.Int64
	// window is the number of the present window; offered and used count in it,
	// before counts the requests of the last one.
	window, offered, before, used atomic.Int64
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}

// Offer counts one offered request. It is called once for each request of a
// caller, not for its retries.
func (b *Budget) Offer() {
	b.roll()
	b.offered.Add(1)
	add := int64(orDefault(b.Share, DefaultShare) * unit)
	most := int64(b.burst() * unit)
	for add > 0 {
		old := b.saved.Load()
		if old == most || b.saved.CompareAndSwap(old, min(old+add, most)) {
			return
		}
	}
}

func (b *Budget) burst() float64 {
	if b.BurstNow != nil {
		return b.BurstNow()
	}
	return orDefault(b.Burst, DefaultBurst)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	for {
		old := b.saved.Load()
		if old < unit {
			return b.spendIdle()
		}
		if b.saved.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// spendIdle takes one of the retries of a window with few requests.
func (b *Budget) spendIdle() bool {
	b.roll()
	idle, share := orDefault(b.Idle, DefaultIdle), orDefault(b.Share, DefaultShare)
	if share < 0 || float64(max(b.offered.Load(), b.before.Load()))*share >= idle {
		return false
	}
	if float64(b.used.Add(1)) <= idle {
		return true
	}
	b.used.Add(-1)
	return false
}

// roll begins a new window where the last one has passed.
func (b *Budget) roll() {
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
	b.before.Store(last)
	b.used.Store(0)
}

// Saved returns the number of retries that requests have earned and that were
// not spent.
func (b *Budget) Saved() float64 { return float64(b.saved.Load()) / unit }
