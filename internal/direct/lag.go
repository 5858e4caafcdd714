package direct

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// lagThreshold is the lag from which the gateway logs that it is behind: requests,
	// timeouts and operator decisions are then handled late by as much.
	lagThreshold = 200 * time.Millisecond
	// lagLogInterval is the shortest time between two warnings about the lag.
	lagLogInterval = time.Second
)

// lag measures the scheduling delay of the process: how late a timer's goroutine
// runs. The zero value is ready to use. observe must be called from one goroutine
// only.
type lag struct {
	// lastNanos is the last observed lag in nanoseconds.
	lastNanos atomic.Int64
	behind    bool
	logged    time.Time
}

// observe records d, the time from when a timer was due to when its goroutine ran,
// and logs when the lag reaches lagThreshold and when it is below it again.
func (l *lag) observe(d time.Duration, log zerolog.Logger) {
	l.lastNanos.Store(int64(d))
	switch {
	case d >= lagThreshold && time.Since(l.logged) >= lagLogInterval:
		l.behind, l.logged = true, time.Now()
		log.Warn().Dur("lag-ms", d).Msg("behind")
	case d < lagThreshold && l.behind:
		l.behind = false
		log.Info().Dur("lag-ms", d).Msg("caught-up")
	}
}

// last returns the last observed lag.
func (l *lag) last() time.Duration { return time.Duration(l.lastNanos.Load()) }
