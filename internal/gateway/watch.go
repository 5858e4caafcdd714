package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/router"
)

const (
	// watchInterval is the time between two checks of the endpoint of an attempt.
	watchInterval = 500 * time.Millisecond
	// streamStallTimeout is the time without a frame after which a stream counts
	// as stalled. The 95th percentile of the time between tokens is 69 ms.
	streamStallTimeout = 5 * time.Second
)

// errSilent is the cancellation cause of an attempt whose endpoint stopped
// responding.
var errSilent = errors.New("the endpoint fell silent")

// watchdog cancels an attempt of an idempotent call when its endpoint stops
// responding: its agent stopped reporting or restarted, it lost its engine, or a
// stream stalled. Without it, a frozen process would block the call until its
// deadline.
type watchdog struct {
	call   *call
	target target
	boot   string
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// frame is the Unix time of the last frame in nanoseconds, 0 before the
	// first one.
	frame atomic.Int64
	ended atomic.Bool
}

func watchEndpoint(c *call, p target, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{call: c, target: p, cancel: cancel}
	if !c.idempotent {
		return w
	}
	if e, ok := c.gateway.table.Get(p.name); ok {
		w.boot = e.BootID
	}
	w.timer = time.AfterFunc(watchInterval, w.check)
	return w
}

// recordFrame records the arrival of a stream frame.
func (w *watchdog) recordFrame() { w.frame.Store(time.Now().UnixNano()) }

func (w *watchdog) check() {
	if w.ended.Load() {
		return
	}
	if w.isSilent() {
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(watchInterval)
}

func (w *watchdog) isSilent() bool {
	if f := w.frame.Load(); f != 0 && time.Since(time.Unix(0, f)) > streamStallTimeout {
		return true
	}
	if w.target.remote {
		return false
	}
	e, ok := w.call.gateway.table.Get(w.target.name)
	return !ok || e.BootID != w.boot || e.State == router.Empty
}

func (w *watchdog) end() {
	w.ended.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
