package observer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
)

// Timeouts and delays of a Follower.
const (
	// responseIdleTimeout is the time, in addition to the requested wait, within which
	// a response must begin, and the longest pause in it. It allows for a store that is
	// 60 times slower than its usual 4 ms.
	responseIdleTimeout = 700 * time.Millisecond
	// responseTimeout bounds an entire response, in addition to the requested wait. A
	// large configuration takes a second over a busy link; beyond the timeout a peer may
	// be faster.
	responseTimeout = 2 * time.Second
	// maxPeerWait bounds the wait at a source other than the first, so that the first
	// one is tried again soon while it is unavailable.
	maxPeerWait = 300 * time.Millisecond
	// firstSourceRetryDelay is how long the first source is skipped after a failure.
	firstSourceRetryDelay = 500 * time.Millisecond
	// emptyTableDelay is the pause after a read of an empty table, as it is before the
	// platform's first record; such a read returns without waiting for a change.
	emptyTableDelay = 500 * time.Millisecond
	// maxConfirmedAge is the age of a table up to which it is up to date when a read
	// begins. It allows for the pause between two reads.
	maxConfirmedAge = 300 * time.Millisecond
	// minWakePause is the shortest pause that Wake leaves between two reads.
	minWakePause = 250 * time.Millisecond
	// failedRoundDelay is the pause after no source has responded.
	failedRoundDelay = 150 * time.Millisecond
)

// errResponseTimeout marks the error of a read whose response was too slow, but did not
// pause for too long.
var errResponseTimeout = errors.New("the answer takes too long")

// Source is a source from which a table can be read.
type Source struct {
	// Name is used in log lines.
	Name string
	// Read reads changes as connector.Table.Read does.
	Read func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
	// Peers reports whether other processes are read, whose failure is no outage of the
	// platform.
	Peers bool
}

// Update is the result of a successful read.
type Update struct {
	// Fresh holds the new items; there may be none.
	Fresh []connector.Item
	// First reports whether the items come from the first source.
	First bool
	// After is a time before which none of the items was written, on the clock of
	// package timekeeper; the zero time if they come from the first read of the table.
	After time.Time
	// Covered is a time before which no record was written that the table lacked before
	// the read, on the same clock; the zero time if the read was the first one. It may be
	// before After: Fresh lacks records that newer ones of their key replaced meanwhile.
	Covered time.Time
}

// Follower keeps a Table up to date from its sources.
type Follower struct {
	// Name is the name of the table in log lines.
	Name  string
	Table *Table
	// Sources are tried in order until one responds; there is at least one.
	Sources []Source
	// Wait is how long a read at the first source waits for a change.
	Wait time.Duration
	// Pace is the pause after each successful read.
	Pace time.Duration
	// WaitFunc and PaceFunc replace Wait and Pace unless they are nil.
	WaitFunc, PaceFunc func() time.Duration
	// Wake ends the pause between two reads early, but not within minWakePause of the last
	// read. It may be nil.
	Wake <-chan struct{}
	// Changed is called after each successful read.
	Changed func(Update)
	// Earliest returns the earliest time of an event that the process began to wait for
	// at the given time and notices now; see timekeeper.Monitor. If it is nil, items
	// count as written when they arrive.
	Earliest func(from time.Time) time.Time
	// Reconnect closes the idle connections to the first source. It is called when a
	// read from that source fails, unless the response was only slow or the source is
	// already lost; the read is then repeated, and only its second failure counts. It
	// may be nil.
	Reconnect func()
	// Failed is called when a read from the first source has failed; it may be nil.
	Failed func()
	Log    zerolog.Logger

	firstSourceFailedAt time.Time
	// lastFailure is the earliest time of the last failure of the platform that was an
	// outage, on the clock of package timekeeper. failure is the same for one since which
	// no other source responded, so that the fault may be with this process; the zero
	// time if there is none.
	lastFailure, failure time.Time
	// firstSourceLost reports whether the last read from the first source failed.
	firstSourceLost bool
}

// Run reads the table repeatedly until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := f.Pace
		if f.PaceFunc != nil {
			pause = f.PaceFunc()
		}
		switch ok := f.readFirstAvailable(ctx); {
		case !ok:
			pause = failedRoundDelay
		case f.Table.Next() == 0:
			pause = max(pause, emptyTableDelay)
		}
		f.pause(ctx, pause)
	}
	return nil
}

// pause waits for the given time, or until Wake.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	first := min(d, minWakePause)
	if f.Wake == nil {
		first = d
	}
	if sleeper.Sleep(ctx, first) != nil || first == d {
		return
	}
	t := time.NewTimer(d - first)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.Wake:
	case <-ctx.Done():
	}
}

// readFirstAvailable tries the sources in order and reports whether one responded.
func (f *Follower) readFirstAvailable(ctx context.Context) bool {
	for i, s := range f.Sources {
		if i == 0 && len(f.Sources) > 1 && time.Since(f.firstSourceFailedAt) < firstSourceRetryDelay {
			continue
		}
		wait := f.Wait
		if f.WaitFunc != nil {
			wait = f.WaitFunc()
		}
		if i > 0 {
			wait = min(wait, maxPeerWait)
		} else if f.firstSourceLost {
			wait = 0
		}
		began := timekeeper.Now()
		c, err := f.read(ctx, s, wait)
		if i == 0 && err != nil && !errors.Is(err, errResponseTimeout) && !f.firstSourceLost && f.Reconnect != nil && ctx.Err() == nil {
			// The connection may be dead while a new one would work. If the response was
			// only slow, a new connection would not help.
			f.Reconnect()
			began = timekeeper.Now()
			c, err = f.read(ctx, s, 0)
		}
		if ctx.Err() != nil {
			return false
		}
		f.recordOutage(s, err, began)
		if i == 0 {
			f.recordFirstSource(s, err)
		}
		if err == nil {
			f.apply(c, i == 0, began)
			return true
		}
	}
	return false
}

// recordOutage records the result of a read that began at the given time. If the platform
// failed, it is an outage once a peer responds, or if there is none.
func (f *Follower) recordOutage(s Source, err error, began time.Time) {
	if err != nil && !s.Peers {
		f.failure = f.noticed(began)
	}
	if f.failure.IsZero() {
		return
	}
	if len(f.Sources) == 1 || s.Peers && (err == nil || errors.IsAny(err, errNoPeers, errNotReady)) {
		f.lastFailure, f.failure = f.failure, time.Time{}
	}
}

// apply merges the result of a read that began at the given time into the table.
func (f *Follower) apply(c connector.Changes, first bool, began time.Time) {
	arrived := f.noticed(began)
	u := Update{First: first}
	u.After, u.Covered = f.dates(c, first, began, arrived)
	u.Fresh = f.Table.apply(c, arrived, u.After)
	f.Changed(u)
}

// dates returns Update.After and Update.Covered of a result.
//
// The platform sends a new item at once to a reader that waits for it. If the table was up
// to date when the platform was asked, the items were therefore written when the response
// arrived, and no others before. Otherwise they may have been written at any time since
// the table was last confirmed, for example before a late read. The same holds for items
// from another process, which may have been late itself, unless it knows their date. The
// time of an outage of the platform doesn't count, because a permission of the operators
// starts anew after it.
func (f *Follower) dates(c connector.Changes, first bool, began, arrived time.Time) (after, covered time.Time) {
	covered = f.covered()
	fromPlatform := c.Age == 0 && c.Written == 0
	isCurrent := first && fromPlatform && began.Add(c.Delay).Sub(f.Table.Confirmed()) < maxConfirmedAge
	switch written := arrived.Add(-c.Written); {
	case covered.IsZero():
		return time.Time{}, time.Time{}
	case isCurrent || f.Earliest == nil:
		return arrived, arrived
	case c.Written > 0 && written.After(f.Table.Confirmed()):
		return written, covered
	}
	return covered, covered
}

// covered returns the time up to which the table covers all records, without the time of
// an outage of the platform; the zero time before the first read.
func (f *Follower) covered() time.Time {
	confirmed := f.Table.Confirmed()
	if !confirmed.IsZero() && f.lastFailure.After(confirmed) {
		return f.lastFailure
	}
	return confirmed
}

// noticed returns the earliest time of an event that the process began to wait for at
// the given time and notices now.
func (f *Follower) noticed(began time.Time) time.Time {
	if f.Earliest == nil {
		return timekeeper.Now()
	}
	return f.Earliest(began)
}

func (f *Follower) read(ctx context.Context, s Source, wait time.Duration) (connector.Changes, error) {
	whole, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	ctx, stop := watcher.WithIdleTimeout(whole, wait+responseIdleTimeout, responseIdleTimeout)
	defer stop()
	c, err := s.Read(ctx, f.Table.Next(), wait)
	switch {
	case err == nil:
	case errors.Is(whole.Err(), context.DeadlineExceeded):
		err = errors.Mark(errors.Wrap(err, errResponseTimeout.Error()), errResponseTimeout)
	case errors.Is(context.Cause(ctx), watcher.ErrIdleTimeout):
		err = errors.Wrap(err, watcher.ErrIdleTimeout.Error())
	}
	return c, err
}

// recordFirstSource records the result of a read from the first source and logs when
// the source is lost or regained.
func (f *Follower) recordFirstSource(s Source, err error) {
	switch {
	case err != nil:
		f.firstSourceFailedAt = time.Now()
		if f.Failed != nil {
			f.Failed()
		}
		if !f.firstSourceLost {
			f.Log.Warn().Str("table", f.Name).Str("source", s.Name).Err(err).Msg("source-lost")
		}
		f.firstSourceLost = true
	case f.firstSourceLost:
		f.Log.Info().Str("table", f.Name).Str("source", s.Name).Msg("source-regained")
		f.firstSourceLost = false
	}
}
