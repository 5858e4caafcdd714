package guarder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

const (
	// readLimit bounds the records of one read, and readWait the time that a read
	// waits for the next record.
	readLimit = 1024
	readWait  = 2 * time.Second
	// readGatherPause is the pause between reads in which intents of other agents
	// accumulate for one read. Reading each of 100 appends a second separately
	// takes more than 4% of a core, and callers repeat a call later than after 50 ms.
	readGatherPause = 50 * time.Millisecond
	// caughtUpBatchSize is the batch size below which the reader counts as caught
	// up with the stream. Calls are decided by the order of records, so counting as
	// caught up too early only delays the first decisions.
	caughtUpBatchSize = 32
	// minBackoff and maxBackoff bound the wait after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// follow reads the stream and applies it to the table until the context ends.
func (g *Guard) follow(ctx context.Context) error {
	from, backoff := uint64(1), time.Duration(0)
	for ctx.Err() == nil {
		b, err := g.read(ctx, from)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			if backoff == 0 {
				g.Logger.Warn().Str("service", string(g.Service)).Err(err).Msg("read of intents failed")
			}
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			sleep(ctx, backoff)
			continue
		}
		backoff = 0
		if from, err = g.applyBatch(from, b); err != nil {
			return err
		}
		if n := len(b.Entries); n > 0 && n < readLimit {
			g.pauseReads(ctx)
		}
	}
	return ctx.Err()
}

// pauseReads waits for readGatherPause or until a call of this process waits for
// its intent. It doesn't wait if such a call exists, or if the last read decided
// one, as more calls may follow. The pause makes the table at most that much
// older: a call that misses a key in it appends an intent, and applying that
// intent rejects it.
func (g *Guard) pauseReads(ctx context.Context) {
	select {
	case <-g.newUndecided:
	default:
	}
	g.mu.Lock()
	idle := g.caughtUp && len(g.undecided) == 0 && !g.lastReadDecided
	g.mu.Unlock()
	if !idle {
		return
	}
	t := time.NewTimer(readGatherPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-g.newUndecided:
	case <-t.C:
	}
}

// read reads the next batch. Until the reader has caught up, it doesn't wait for
// new records.
func (g *Guard) read(ctx context.Context, from uint64) (connector.Batch, error) {
	g.mu.Lock()
	wait := readWait
	if !g.caughtUp {
		wait = 0
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+DefaultTimeout)
	defer cancel()
	b, err := g.Log.Read(ctx, g.stream(), from, readLimit, wait)
	if err == nil {
		err = g.checkEpoch(b.Epoch)
	}
	var e *connector.Error
	if errors.As(err, &e) && e.Kind == classifier.NotFound {
		// If First is zero, the stream has no records yet.
		first := max(e.First, 1)
		return connector.Batch{First: first, Next: first}, nil
	}
	return b, err
}

// checkEpoch returns an error if a batch is from before the return of the log.
func (g *Guard) checkEpoch(epoch uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch != 0 && epoch < g.epoch {
		return &Error{Op: "read intents", Kind: classifier.Unavailable, Err: errors.Newf("epoch %d, have %d", epoch, g.epoch)}
	}
	return nil
}

// applyBatch applies a batch that was read at offset from and returns the offset
// of the next read.
func (g *Guard) applyBatch(from uint64, b connector.Batch) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.logReadiness()
	if b.Epoch > g.epoch {
		if g.epoch > 0 || g.table != nil && b.Epoch > firstEpoch {
			g.rise(b.Epoch)
			return 1, nil
		}
		g.beginEpoch(b.Epoch)
	}
	if b.Next < from || (len(b.Entries) == 0 && b.First > from) {
		// The log was replaced, or it dropped records that were not read.
		g.resetTable()
		return max(b.First, 1), nil
	}
	undecided := len(g.undecided)
	for _, e := range b.Entries {
		if e.Offset < from {
			continue
		}
		if e.Offset > from {
			g.resetTable()
		}
		if g.table == nil {
			g.initTable(e.Offset, e.At)
		}
		if err := g.apply(e); err != nil {
			return from, err
		}
		from = e.Offset + 1
	}
	// The next read doesn't start at Next: it would skip a record that was
	// appended while an empty response was in transit, and the call of its key
	// could run twice.
	if g.table == nil {
		g.initTable(from, g.now())
	}
	g.caughtUp = g.caughtUp || len(b.Entries) < caughtUpBatchSize
	g.lastReadDecided = len(g.undecided) < undecided
	g.truncated = g.table.windowTruncated(b.First, g.now())
	g.dropExpired()
	return from, nil
}

// rise begins a new epoch after records of an earlier or unknown one were read. The log may lack
// intents that were acknowledged, and no call begins until their keys are forgotten.
func (g *Guard) rise(epoch uint64) {
	keys := 0
	if g.table != nil {
		keys = len(g.table.keys)
	}
	g.Logger.Error().Str("service", string(g.Service)).Uint64("epoch", epoch).Uint64("previous", g.epoch).Int("keys", keys).
		Int("undecided", len(g.undecided)).Dur("window-ms", g.Window).Msg("log returned from an older copy, no call with a key begins until it has been in its epoch for a window")
	g.beginEpoch(epoch)
	left := g.lostIntentsFor()
	for _, o := range g.undecided {
		g.pausedCalls++
		g.refuse(o, errors.New("the log returned from an older copy, which may lack the intent"), left)
	}
	g.resetTable()
}

// resetTable drops the table after a gap in the history and refuses the
// undecided operations, as the records of their intents may be in the gap.
func (g *Guard) resetTable() {
	for _, o := range g.undecided {
		g.refuse(o, errors.New("the log dropped records that were not read"), 0)
	}
	g.table, g.caughtUp = nil, false
}

// initTable creates a table whose history starts at the oldest record that the
// log still has, given by its offset and log time. From offset 1 the history is
// complete.
func (g *Guard) initTable(offset uint64, at time.Time) {
	if offset <= 1 {
		at = time.Time{}
	}
	g.table = newTable(g.Window, at, g.Retention >= g.Window)
}

// apply applies one record to the table and decides the operation of this
// process that it belongs to, if any.
func (g *Guard) apply(e connector.Entry) error {
	i, err := decodeIntent(e.Body)
	if classifier.Of(err) == classifier.Refused && err != nil {
		return err
	}
	if err != nil {
		// Agents write no such record, and every reader skips it, so that the tables
		// of the agents agree.
		g.Logger.Error().Str("service", string(g.Service)).Uint64("offset", e.Offset).Err(err).Msg("record skipped")
		return nil
	}
	first := g.table.apply(e.Offset, e.At, &i)
	o := g.operations[i.Operation]
	if o == nil || o.state != waiting || i.BootID != g.BootID {
		return nil
	}
	if first {
		o.intentTime = e.At
		g.decide(o, won, nil)
	} else {
		g.decide(o, lost, nil)
	}
	return nil
}

// logReadiness logs a change of readiness, with the reason if not ready.
func (g *Guard) logReadiness() {
	var why string
	switch {
	case g.ready():
		why = "guard ready"
	case g.table == nil:
		return
	case g.lostIntentsFor() > 0:
		why = "guard not ready: the log isn't known to have been in its epoch for a window and may lack intents"
	case g.truncated:
		why = "guard not ready: the log dropped intents that are younger than the key window"
	case g.caughtUp:
		why = "guard not ready: the log does not reach back over the key window"
	default:
		return
	}
	if why != g.lastReadiness {
		g.lastReadiness = why
		g.Logger.Info().Str("service", string(g.Service)).Dur("window-ms", g.Window).
			Time("known-since", g.table.knownSince).Int("keys", len(g.table.keys)).Msg(why)
	}
}
