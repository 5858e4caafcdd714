// Package timekeeper measures intervals that include suspensions of the machine, and
// records pauses of the process.
//
// A permission that ends after a time must be measured with Now: the monotonic clock of
// time.Now stops while the machine is suspended, and its wall clock may be adjusted.
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of a clock that goes on while the machine is suspended and is
// never adjusted. Only the differences between its times are meaningful.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only on a kernel that lacks the clock, and then always.
		return time.Now()
	}
	return time.Unix(t.Unix())
}

// Monitor records pauses of the process. Its fields are set before the first call, and
// its methods may be called concurrently.
type Monitor struct {
	// Limit is the longest time between two calls of Beat that isn't a pause.
	Limit time.Duration
	// Long is the length of a pause from which Pauses.LongEnd tells of it.
	Long time.Duration
	// Now returns the current time; nil means Now of this package.
	Now func() time.Time

	mu sync.Mutex
	// last is the time of the last call of Beat.
	last time.Time
	// pauseStart and pauseEnd are the last pause, together with the pauses that ended
	// less than mergeTime before it.
	pauseStart, pauseEnd time.Time
	// longEnd is the end of the last pause that was long by itself.
	longEnd time.Time
	// total is the length of all pauses.
	total time.Duration
}

// Pauses describes the pauses of the process until now.
type Pauses struct {
	// Now is the present time.
	Now time.Time
	// Start and End are those of the last pause, together with the pauses that ended less
	// than 5 s before it, and LongEnd is the end of the last one that took at least
	// Monitor.Long by itself; the zero time if there was none. Shorter pauses often follow
	// a long one, as the process has work to catch up.
	Start, End, LongEnd time.Time
	// Total is the length of all pauses together.
	Total time.Duration
}

// mergeTime is the time between two pauses below which they count as one. It exceeds
// the longest wait for an event whose time Earliest estimates.
const mergeTime = 5 * time.Second

func (m *Monitor) now() time.Time {
	if m.Now != nil {
		return m.Now()
	}
	return Now()
}

// Beat records that the process runs. It must be called at intervals below Limit.
func (m *Monitor) Beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if !m.last.IsZero() && now.Sub(m.last) > m.Limit {
		m.recordPause(now)
	}
	m.last = now
}

func (m *Monitor) recordPause(now time.Time) {
	if m.last.Sub(m.pauseEnd) > mergeTime {
		m.pauseStart = m.last
	}
	m.pauseEnd = now
	m.total += now.Sub(m.last)
	if now.Sub(m.last) >= m.Long {
		m.longEnd = now
	}
}

// update records a pause that ends with this call, before the first Beat after it, and
// returns the present time.
func (m *Monitor) update() time.Time {
	now := m.now()
	if !m.last.IsZero() && now.Sub(m.last) > m.Limit {
		m.recordPause(now)
		m.last = now
	}
	return now
}

// Pauses returns the pauses until now, also one that ends with this call.
func (m *Monitor) Pauses() Pauses {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.update()
	return Pauses{Now: now, Start: m.pauseStart, End: m.pauseEnd, LongEnd: m.longEnd, Total: m.total}
}

// Earliest returns the earliest time of an event that the process began to wait for at
// the time from, and notices now. This is the present time unless the process was
// paused meanwhile; the event may then have happened at the start of the pause.
func (m *Monitor) Earliest(from time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.update()
	if m.pauseEnd.Before(from) {
		return now
	}
	if m.pauseStart.Before(from) {
		return from
	}
	return m.pauseStart
}
