package connector

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

const (
	// maxEpochRise is the largest rise of the epoch that a single response is trusted with. The log
	// returns from an older copy a few times in its life, and after a false epoch no response with
	// the true, lower one would be used any more.
	maxEpochRise = 1000
	// minConfirmInterval is the least time from the first response of a larger rise to the read that
	// confirms it, so that both don't come from one short fault.
	minConfirmInterval = 200 * time.Millisecond
)

// epochChecker decides whether the epoch of a response of the log is trusted. It is safe for
// concurrent use; the zero value is ready.
type epochChecker struct {
	mu sync.Mutex
	// known is the highest trusted epoch; 0 before the first.
	known uint64
	// pending is a higher epoch that waits for a second response since pendingSince; 0 if none does.
	pending      uint64
	pendingSince time.Time
}

// isPending reports whether an epoch waits for a second response.
func (c *epochChecker) isPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != 0
}

// check reports whether the response of an epoch, to a read that began at a time, may be used, and
// otherwise whether it is the first one of its epoch and the epoch known so far. A process that was
// paused may handle two responses of one moment long after each other, so the begin of the read counts.
func (c *epochChecker) check(epoch uint64, began, now time.Time) (ok, first bool, known uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch == 0 {
		return true, false, c.known
	}
	if epoch <= c.known || epoch-c.known <= maxEpochRise {
		c.known, c.pending = max(c.known, epoch), 0
		return true, false, c.known
	}
	// Epochs that rise with each response don't confirm each other.
	if c.pending == 0 || epoch < c.pending || epoch-c.pending > maxEpochRise {
		c.pending, c.pendingSince = epoch, now
		return false, true, c.known
	}
	if began.Sub(c.pendingSince) < minConfirmInterval {
		return false, false, c.known
	}
	c.known, c.pending = epoch, 0
	return true, false, c.known
}

// checkEpoch returns an error if the epoch of a response is too far above the known one and isn't
// confirmed.
func (l *Log) checkEpoch(op string, epoch uint64, began time.Time) error {
	ok, first, known := l.epochs.check(epoch, began, time.Now())
	if ok {
		return nil
	}
	if first && l.Unconfirmed != nil {
		l.Unconfirmed(epoch, known)
	}
	return &Error{Op: op, Kind: classifier.Unavailable, Err: errors.Newf("epoch %d, have %d; a second response has to confirm it", epoch, known)}
}
