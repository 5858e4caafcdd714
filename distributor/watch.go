package distributor

import (
	"context"
	"sync"
	"time"
)

// watchdog detects that no bytes arrive. It calls hedge once after the first stall
// period, and cancels the request after cancelStalls further ones.
type watchdog struct {
	stall time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	hedge   func()
	cancel  context.CancelCauseFunc
	fired   bool
	stopped bool
}

// newWatchdog starts a watchdog; the first byte is due within begin, each later one
// within stall.
func newWatchdog(begin, stall time.Duration, cancel context.CancelCauseFunc, hedge func()) *watchdog {
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
		w.hedge()
	}
}

// progress restarts the stall period after bytes arrived.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.stall)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
