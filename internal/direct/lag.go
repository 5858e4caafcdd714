package direct

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// behindAfter is the lag from which a gateway counts as behind: callers, time-outs
	// and decisions are served this much too late.
	behindAfter = 200 * time.Millisecond
	// behindPace is the shortest time between two log lines about it.
	behindPace = time.Second
)

// lag tells how late the process runs what is due. The zero value is ready; observe
// is called by one goroutine.
type lag struct {
	// now is the last lag in nanoseconds.
	now    atomic.Int64
	behind bool
	logged time.Time
}

// observe takes the time between when a timer was due and when its goroutine ran.
func (l *lag) observe(d time.Duration, log zerolog.Logger) {
	l.now.Store(int64(d))
	switch {
	case d >= behindAfter && time.Since(l.logged) >= behindPace:
		l.behind, l.logged = true, time.Now()
		log.Warn().Dur("lag-ms", d).Msg("behind")
	case d < behindAfter && l.behind:
		l.behind = false
		log.Info().Dur("lag-ms", d).Msg("caught-up")
	}
}

// last returns the last lag.
func (l *lag) last() time.Duration { return time.Duration(l.now.Load()) }
