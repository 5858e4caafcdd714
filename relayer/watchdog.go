package relayer

import "time"

// watchdog calls a function when no message has arrived on a stream within limit.
type watchdog struct {
	t     *time.Timer
	limit time.Duration
}

func newWatchdog(stop func(), limit time.Duration) *watchdog {
	return &watchdog{time.AfterFunc(limit, stop), limit}
}

func (w *watchdog) reset() { w.t.Reset(w.limit) }

func (w *watchdog) end() { w.t.Stop() }
