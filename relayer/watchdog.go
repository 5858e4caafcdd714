package relayer

import "time"

// watchdog ends a stream on which nothing arrives.
type watchdog struct {
	t     *time.Timer
	limit time.Duration
}

func newWatchdog(stop func(), limit time.Duration) *watchdog {
	return &watchdog{time.AfterFunc(limit, stop), limit}
}

func (w *watchdog) reset() { w.t.Reset(w.limit) }

func (w *watchdog) end() { w.t.Stop() }
