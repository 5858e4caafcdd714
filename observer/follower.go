package observer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
)

// CompareTimeout is the time in a new epoch after which lost records count though no peer has
// responded: the peers from the settings may no longer exist.
const CompareTimeout = 30 * time.Second

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
	// maxLoggedKeys bounds the keys in a log line.
	maxLoggedKeys = 8
	// maxPeerAsks bounds the reads for AskPeers, and peerAskTimeout each of them: the next read
	// at the platform waits for it.
	maxPeerAsks    = 3
	peerAskTimeout = 300 * time.Millisecond
	// lostAskInterval is the pause between two reads for AskLost, each of which may be a large
	// configuration over a link between regions, and lostAskRetryDelay the pause after a failed one.
	lostAskInterval   = 10 * time.Second
	lostAskRetryDelay = 300 * time.Millisecond
)

var (
	// errResponseTimeout marks the error of a read whose response was too slow, but did
	// not pause for too long.
	errResponseTimeout = errors.New("the answer takes too long")
	// errNoResponse marks the error of a read that was ended by a timeout.
	errNoResponse = errors.New("no response in time")
)

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
	// Rise is set if the result is the first one of a higher epoch.
	Rise *Rise
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
	// FirstTimeout returns the limit of an entire read while the table is unknown, in place of
	// the usual one of 2 s; 0 means the usual one. It may be nil.
	FirstTimeout func() time.Duration
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
	// AskPeers makes the follower read the whole table from a peer once before the platform's
	// first result with an epoch is applied. A process that starts after the platform returned from an
	// older copy learns in this way of the records that were lost and stay in force.
	AskPeers bool
	// AskLost makes the follower read the whole table from a peer while the table has records that
	// the store lost. A process that was cut off when one was deleted learns of that in this way.
	AskLost bool
	Log     zerolog.Logger

	firstSourceFailedAt time.Time
	// lastEpoch is the epoch of the last response of the platform.
	lastEpoch uint64
	// asked counts the reads for AskPeers.
	asked int
	// lostAskDue is when the next read for AskLost is due.
	lostAskDue time.Time
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
		if f.isUncompared() {
			pause = min(pause, lostAskRetryDelay)
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
		if f.isUncompared() {
			wait = min(wait, lostAskRetryDelay)
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
			if i == 0 {
				f.askPeers(ctx, c)
			}
			f.apply(c, i == 0, began)
			if i == 0 {
				f.askLost(ctx)
			}
			return true
		}
	}
	return false
}

// askPeers reads the whole table from a peer beside a result of the platform, if AskPeers asks for
// it and none has responded yet.
func (f *Follower) askPeers(ctx context.Context, platform connector.Changes) {
	if !f.AskPeers || f.asked >= maxPeerAsks || platform.Epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerAskTimeout)
	defer cancel()
	for _, s := range f.Sources {
		if !s.Peers {
			continue
		}
		began := timekeeper.Now()
		c, err := s.Read(ctx, 0, 0)
		switch {
		case errors.Is(err, errNoPeers):
			return
		case err == nil && c.Full && !isFarAbove(c.Epoch, platform.Epoch) && f.Table.check(c) == nil:
			f.asked = maxPeerAsks
			f.apply(c, false, began)
			return
		}
	}
	f.asked++
}

// isUncompared reports whether the table has lost records that still have to be compared with those
// of a peer.
func (f *Follower) isUncompared() bool {
	if !f.AskLost {
		return false
	}
	lost, since := f.Table.Lost()
	_, ok := f.Table.Compared()
	return len(lost) > 0 && !ok && timekeeper.Now().Sub(since) < CompareTimeout
}

// askLost reads the whole table from a peer if AskLost asks for it.
func (f *Follower) askLost(ctx context.Context) {
	if !f.AskLost || timekeeper.Now().Before(f.lostAskDue) {
		return
	}
	if lost, _ := f.Table.Lost(); len(lost) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerAskTimeout)
	defer cancel()
	pause := lostAskRetryDelay
	for _, s := range f.Sources {
		if s.ReadAny == nil {
			continue
		}
		began := timekeeper.Now()
		c, err := s.ReadAny(ctx)
		switch {
		case errors.Is(err, errNoPeers):
			f.Table.setCompared(timekeeper.Now())
		case err == nil && c.Full && c.Epoch != 0 && c.Age <= staleAge && f.Table.check(c) == nil:
			f.apply(c, false, began)
			f.Table.setCompared(timekeeper.Now())
			pause = lostAskInterval
		}
	}
	f.lostAskDue = timekeeper.Now().Add(pause)
}

// recordOutage records the result of a read that began at the given time. If the platform
// failed, it is an outage if it did so by a response such as a refused connection; after
// a timeout, it is one once a peer responds, or if there is no peer.
func (f *Follower) recordOutage(s Source, err error, began time.Time) {
	platformFailed := err != nil && !s.Peers && !errors.Is(err, errReadersSilent)
	if platformFailed {
		f.failure = f.noticed(began)
	}
	if f.failure.IsZero() {
		return
	}
	peerResponded := s.Peers && (err == nil || errors.IsAny(err, errNoPeers, errNotReady))
	if len(f.Sources) == 1 || platformFailed && !isTimeout(err) || peerResponded {
		f.lastFailure, f.failure = f.failure, time.Time{}
	}
}

// isTimeout reports whether the error of a read is that no response came in time.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, errNoResponse) || errors.As(err, &n) && n.Timeout()
}

// apply merges the result of a read that began at the given time into the table.
func (f *Follower) apply(c connector.Changes, first bool, began time.Time) {
	arrived := f.noticed(began)
	u := Update{First: first}
	u.After, u.Covered = f.dates(c, first, began, arrived)
	u.Fresh, u.Rise = f.Table.apply(c, arrived, u.After)
	if r := u.Rise; r != nil {
		f.Log.Warn().Str("table", f.Name).Uint64("epoch", r.Epoch).Uint64("previous", r.Previous).Int("changed", len(u.Fresh)).
			Int("lost", len(r.Lost)).Int("deleted", r.Deleted).Strs("keys", r.Lost[:min(len(r.Lost), maxLoggedKeys)]).Msg("store-returned")
	}
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
