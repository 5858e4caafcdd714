package distributor

import (
	"context"
	"sync"
	"time"
)

// minProgressBytes is the number of bytes that restart a stall period, beside the first ones
// of a body. A source that sends a byte now and then would otherwise hold a chunk forever.
const minProgressBytes = 512

// watchdog detects that too few bytes arrive. After a stall period it calls hedge, with whether
// any bytes arrived before, until that has asked another source, and cancels the request after
// cancelStalls further ones in which nothing came.
type watchdog struct {
	stall time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	hedge   func(begun bool) (asked bool)
	cancel  context.CancelCauseFunc
	stopped bool
	// fired reports whether the last stall period has passed, and asked whether hedge has
	// asked another source.
	fired, asked bool
	// begun reports whether any bytes arrived, and bytes counts those since the last
	// restart.
	begun bool
	bytes int
}

// newWatchdog starts a watchdog; the first byte is due within begin, and then
// minProgressBytes in each stall period.
func newWatchdog(begin, stall time.Duration, cancel context.CancelCauseFunc, hedge func(begun bool) (asked bool)) *watchdog {
	w := &watchdog{stall: stall, hedge: hedge, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(begin, w.fire)
	return w
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case w.fired:
		w.cancel(errStall)
	default:
		w.fired = true
		w.timer.Reset(cancelStalls * w.stall)
		w.asked = w.hedge(w.begun)
	}
}

// progress restarts the stall period after enough bytes arrived.
func (w *watchdog) progress(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += n
	if w.stopped || w.begun && w.bytes < minProgressBytes {
		return
	}
	w.begun, w.bytes = true, 0
	if w.asked {
		// The next source was asked already. The source that goes on keeps the same time
		// as in its first silence, as the other one may have nothing.
		w.timer.Reset(cancelStalls * w.stall)
		return
	}
	w.fired = false
	w.timer.Reset(w.stall)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
