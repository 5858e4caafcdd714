package guarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// firstEpoch is the epoch of a log that never returned from an older copy.
	firstEpoch = 1
	// epochFormat is the version of the format of epoch records.
	epochFormat = 1
	// epochSpread spreads the appends of agents that see a new epoch at the same time; 640 agents
	// then append 640 records within a second.
	epochSpread = time.Second
	// epochRenewals is the number of reads of the epoch stream in a window. The retention is at
	// least a window, so that the stream always has a record while agents run.
	epochRenewals = 4
)

// epochRecord is one record of connector.EpochStream. Epochs only increase, so a record that names
// the current one proves that the log has been in it since the record was appended.
type epochRecord struct {
	Format int    `json:"format"`
	Epoch  uint64 `json:"epoch"`
	// Since is the earliest log time at which the writer knows the log to have been in the epoch,
	// or zero if it knows none before the record itself.
	Since time.Time `json:"since,omitzero"`
}

// epochHistory is what the epoch stream tells of one epoch. All times are the log's.
type epochHistory struct {
	epoch uint64
	// since and newest are the earliest and the latest time at which the log is known to have been
	// in the epoch; zero if no record names it.
	since, newest time.Time
}

// apply applies a record of the epoch stream. Records that can't be decoded and those of other
// epochs prove nothing.
func (h *epochHistory) apply(at time.Time, body []byte) {
	var v epochRecord
	if recorder.DecodeStrict(body, &v) != nil || v.Format != epochFormat || v.Epoch != h.epoch {
		return
	}
	since := at
	if !v.Since.IsZero() && v.Since.Before(at) {
		since = v.Since
	}
	if h.since.IsZero() || since.Before(h.since) {
		h.since = since
	}
	if at.After(h.newest) {
		h.newest = at
	}
}

// unproven returns how much longer than until its newest record the log must be in the epoch
// before no call of an earlier epoch can be repeated.
func (h *epochHistory) unproven(window time.Duration) time.Duration {
	return max(0, window-h.newest.Sub(h.since))
}

// beginEpoch records that the log is in an epoch. In all but the first one, the log may lack
// intents until a window has passed or its records prove that it has. The caller holds the mutex.
func (g *Guard) beginEpoch(epoch uint64) {
	g.epoch, g.clearAt = epoch, time.Time{}
	if epoch <= firstEpoch {
		return
	}
	g.clearAt = g.now().Add(g.Window)
	select {
	case g.epochBegun <- struct{}{}:
	default:
	}
}

// lostIntentsFor returns how much longer the log may lack intents of keys that are still
// remembered, because it returned from an older copy. The process that wrote such an intent may
// have run its call, and no other one may know of it. The caller holds the mutex.
func (g *Guard) lostIntentsFor() time.Duration {
	if g.clearAt.IsZero() {
		return 0
	}
	return g.clearAt.Sub(g.now())
}

// Pause describes how a return of the log from an older copy affects calls.
type Pause struct {
	// Epoch is that of the log; 0 if it isn't known.
	Epoch uint64
	// Left is how much longer no call with a key begins because the log may lack intents.
	Left time.Duration
	// Refused counts the calls that were refused because of it.
	Refused int64
}

// Pause returns the present state.
func (g *Guard) Pause() Pause {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Pause{Epoch: g.epoch, Left: max(0, g.lostIntentsFor()), Refused: g.pausedCalls}
}

// epochWatcher reads and writes the epoch stream.
type epochWatcher struct {
	history epochHistory
	// next is the offset of the next read.
	next uint64
	// newestAtRenewal is the newest record at the last renewal or, before one, of the first read.
	newestAtRenewal time.Time
	// own is set once this process has appended a record because the epoch wasn't proven.
	own bool
}

// watchEpoch keeps the proof of the log's epoch, until the context ends.
func (g *Guard) watchEpoch(ctx context.Context) error {
	var w epochWatcher
	var backoff time.Duration
	for {
		wait, err := g.checkHistory(ctx, &w)
		if err != nil {
			if backoff == 0 {
				g.Logger.Warn().Str("service", string(g.Service)).Err(err).Msg("epoch of the log not checked")
			}
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			wait = backoff/2 + rand.N(backoff)
		} else {
			backoff = 0
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-g.epochBegun:
			t.Stop()
		case <-t.C:
		}
	}
}

// checkHistory reads the epoch stream and appends to it if that is due. It returns the time until
// the next check.
func (g *Guard) checkHistory(ctx context.Context, w *epochWatcher) (time.Duration, error) {
	g.mu.Lock()
	epoch := g.epoch
	g.mu.Unlock()
	renewal := g.Window / epochRenewals
	renewal += rand.N(renewal/2 + 1)
	if epoch <= firstEpoch {
		return renewal, nil
	}
	first := w.history.epoch != epoch
	if first {
		*w = epochWatcher{history: epochHistory{epoch: epoch}, next: 1}
	}
	if err := g.readHistory(ctx, w); err != nil {
		// The next check reads the stream again from its beginning.
		if first {
			w.history = epochHistory{}
		}
		return 0, err
	}
	h := &w.history
	if first {
		w.newestAtRenewal = h.newest
	}
	switch {
	case !w.own && (h.since.IsZero() || h.unproven(g.Window) > 0):
		// Only a record of this moment tells how much of the window is left by the log's clock.
		if !sleep(ctx, rand.N(epochSpread)) {
			return 0, ctx.Err()
		}
		w.own = true
	case !first && h.newest.Equal(w.newestAtRenewal):
	default:
		w.newestAtRenewal = h.newest
		return renewal, nil
	}
	if err := g.appendHistory(ctx, h); err != nil {
		w.own = false
		return 0, err
	}
	if err := g.readHistory(ctx, w); err != nil {
		return 0, err
	}
	w.newestAtRenewal = h.newest
	return renewal, nil
}

// readHistory reads the epoch stream to its end and shortens the pause by what its records prove.
func (g *Guard) readHistory(ctx context.Context, w *epochWatcher) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	for {
		b, err := g.Log.Read(ctx, connector.EpochStream, w.next, readLimit, 0)
		var e *connector.Error
		if errors.As(err, &e) && e.Kind == classifier.NotFound {
			if e.First > w.next {
				w.next = e.First
				continue
			}
			break
		}
		if err != nil {
			return err
		}
		if b.Epoch != w.history.epoch {
			return &Error{Op: "read epochs", Kind: classifier.Unavailable, Err: errors.Newf("epoch %d, have %d", b.Epoch, w.history.epoch)}
		}
		for _, v := range b.Entries {
			w.history.apply(v.At, v.Body)
			w.next = v.Offset + 1
		}
		if len(b.Entries) < readLimit {
			break
		}
	}
	g.shortenPause(&w.history)
	return nil
}

// shortenPause ends the pause of an epoch when its records prove that a window of it has passed.
// The newest record is older than the read that returned it, so this process's clock counts from
// now on, and the two clocks are never compared.
func (g *Guard) shortenPause(h *epochHistory) {
	if h.since.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	left := h.unproven(g.Window)
	at := g.now().Add(left)
	if g.epoch != h.epoch || !at.Before(g.clearAt) {
		return
	}
	if g.lostIntentsFor() > 0 {
		g.Logger.Info().Str("service", string(g.Service)).Uint64("epoch", h.epoch).Time("since", h.since).Dur("left-ms", left).
			Msg("pause of calls with a key follows the log's epoch records")
	}
	g.clearAt = at
}

// appendHistory appends a record of the epoch.
func (g *Guard) appendHistory(ctx context.Context, h *epochHistory) error {
	b, err := json.Marshal(epochRecord{Format: epochFormat, Epoch: h.epoch, Since: h.since})
	if err != nil {
		return &Error{Op: "append epoch", Kind: classifier.Internal, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	_, err = g.Log.Append(ctx, connector.EpochStream, [][]byte{b})
	return err
}
