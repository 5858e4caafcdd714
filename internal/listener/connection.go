package listener

import (
	"sync/atomic"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// phaseHead is the time from the acceptance, or the first byte of a further request, to the
	// end of the request's head.
	phaseHead phase = iota
	// phaseBody is the time in which a part of a request's body is missing.
	phaseBody
	// phaseRun is the time from the whole request to the end of its response.
	phaseRun
	// phaseIdle is the time between two requests.
	phaseIdle
	// phaseOpaque is that of a connection whose requests can't be told apart.
	phaseOpaque
)

// connection is what a budget knows of a connection. The budget's lock guards its fields.
type connection struct {
	class   Class
	guard   *Guard
	address string
	close   func()
	phase   phase
	// since is the begin of the phase; for an opaque connection the time of its last byte.
	since time.Time
	// base is what the connection takes while it is idle, bytes what it takes now.
	base, bytes int64
	dropped     bool
	// arrived is set once a byte of a request has been read.
	arrived bool
	// unread is the time in nanoseconds at which a write began that hasn't ended, or 0. It isn't
	// guarded.
	unread atomic.Int64
}

// rank returns the place of the connection in the order of closing, or 0 if it may not be closed,
// and its weight among those of the same place; the greatest is closed first.
func (c *connection) rank(r resource, now time.Time) (place int, weight int64) {
	age := now.Sub(c.since)
	if r == memory {
		return c.memoryRank(now), c.bytes
	}
	switch {
	case c.phase == phaseHead && age > headTime:
		return 1, int64(age)
	case c.phase == phaseIdle, c.phase == phaseOpaque && age >= quietTime:
		return 2, int64(age)
	case c.phase == phaseHead:
		return 3, int64(age)
	case c.isUnread(now):
		return 4, int64(age)
	case c.phase == phaseBody:
		return 5, int64(age)
	}
	return 0, 0
}

// memoryRank is the place for memory: first what has grown large without a whole request.
func (c *connection) memoryRank(now time.Time) int {
	incomplete := c.phase == phaseHead || c.phase == phaseBody
	switch {
	case (incomplete || c.phase == phaseOpaque) && c.bytes-c.base >= largeBytes:
		return 1
	case c.phase == phaseHead && now.Sub(c.since) > headTime:
		return 2
	case c.phase == phaseIdle, c.phase == phaseOpaque && now.Sub(c.since) >= quietTime:
		return 3
	case c.isUnread(now):
		return 4
	case incomplete:
		return 5
	}
	return 0
}

func (c *connection) isUnread(now time.Time) bool {
	at := c.unread.Load()
	return at != 0 && now.UnixNano()-at >= int64(unreadTime)
}
