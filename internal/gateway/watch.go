package gateway

import (
	"context"
	"math"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/router"
)

const (
	// watchInterval is the time between two checks of the endpoint of an attempt.
	watchInterval = 500 * time.Millisecond
	// streamStallTimeout is the time without a frame after which a stream counts
	// as stalled. The 95th percentile of the time between tokens is 69 ms.
	streamStallTimeout = 5 * time.Second
)

// watchdog tells a call when the endpoint of an attempt stops responding: it takes no
// connection, its agent stopped reporting or restarted, it lost its engine, or a stream
// stalled. Without it, a frozen process would block an idempotent call until its deadline.
// The endpoint may be sound and go on, so the attempt is kept until another one has answered.
type watchdog struct {
	attempt *attempt
	boot    string
	timer   *time.Timer
	begun   time.Time
	// connected is set when the attempt has a connection; before, nothing is sent.
	connected atomic.Bool
	// frame is the Unix time of the last frame in nanoseconds, 0 before the
	// first one.
	frame atomic.Int64
	ended atomic.Bool
}

func watchEndpoint(a *attempt) *watchdog {
	w := &watchdog{attempt: a, begun: time.Now()}
	if !a.call.idempotent {
		return w
	}
	if e, ok := a.call.gateway.table.Get(a.target.name); ok {
		w.boot = e.BootID
	}
	a.ctx = context.WithValue(a.ctx, watched{}, true)
	a.ctx = httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.connected.Store(true) },
	})
	// check uses the field, so it must be set before the timer can run.
	w.timer = time.AfterFunc(math.MaxInt64, w.check)
	w.timer.Reset(watchInterval)
	return w
}

// hasSentNothing reports whether the attempt ended without a connection.
func (w *watchdog) hasSentNothing() bool { return w.timer != nil && !w.connected.Load() }

// recordFrame records the arrival of a stream frame.
func (w *watchdog) recordFrame() { w.frame.Store(time.Now().UnixNano()) }

func (w *watchdog) check() {
	if w.ended.Load() {
		return
	}
	if w.isSilent() {
		select {
		case w.attempt.call.silent <- struct{}{}:
		default:
		}
	}
	w.timer.Reset(watchInterval)
}

func (w *watchdog) isSilent() bool {
	if f := w.frame.Load(); f != 0 && time.Since(time.Unix(0, f)) > streamStallTimeout {
		return true
	}
	if !w.connected.Load() && time.Since(w.begun) >= dialTimeout {
		return true
	}
	if w.attempt.target.remote {
		return false
	}
	e, ok := w.attempt.call.gateway.table.Get(w.attempt.target.name)
	return !ok || e.BootID != w.boot || e.State == router.Empty
}

func (w *watchdog) end() {
	w.ended.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
