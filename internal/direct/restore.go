package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// keepLostEndpoint is the time after the return of the store in which endpoints write their
	// entries again.
	keepLostEndpoint = 2 * time.Second
	// keepLostGateway is the same for gateways. A gateway notices the return within 1 s, writes its
	// record within 2 s, and the others read it within 1 s and the hop from a reader. The limits that
	// gateways divide among them depend on their number, so it is longer than that.
	keepLostGateway = 6 * time.Second
	// restoreInterval is the interval at which a gateway looks for records that the store lost.
	restoreInterval = 250 * time.Millisecond
	// conflictInterval is the interval at which it looks whether it has read what others wrote.
	conflictInterval = 50 * time.Millisecond
	// compareDelay is the time in a new epoch in which gateways usually have compared their records
	// with a peer's. All wait for it: with waits that begin at the own comparison, the first and the
	// second gateway wrote the same record in 1 of 5 runs.
	compareDelay = 1500 * time.Millisecond
	// minWriteRetry is the least pause after a failed write, and half of the longest.
	minWriteRetry = time.Second
	// maxConflicts is the number of conditional writes in a row that others' writes may prevent, each at
	// another end of the table and with as many lost records left, before the next one is unconditional:
	// in a large fleet in which all gateways write their own records, a lost record would wait for longer
	// than two seconds otherwise.
	maxConflicts = 4
	// claimDelay is the time at the beginning of an epoch in which no trial is claimed, so that
	// claims of the epoch before are written again. It allows for a first gateway that ended.
	claimDelay = compareDelay + 2500*time.Millisecond
)

// setEpochRules sets what happens to records that the store lost when it returned from an older
// copy.
func (f *follower) setEpochRules() {
	f.operators.Later = f.state.IsLater
	f.endpoints.KeepLost = func(string) time.Duration { return keepLostEndpoint }
	f.gateways.KeepLost = func(key string) time.Duration {
		if observer.IsGatewayKey(key) {
			return keepLostGateway
		}
		return 0
	}
}

// storeReturns counts what happened when the store returned from an older copy.
type storeReturns struct {
	// returns counts the tables that were compared, lost the records that stayed in force.
	returns, lost, rewritten atomic.Int64

	mu sync.Mutex
	// noticed is closed and cleared when a table has been compared.
	noticed chan struct{}
}

// note records that a table was compared with the store, and makes the reads of the other tables
// begin again.
func (s *storeReturns) note(r *observer.Rise) {
	if r == nil {
		return
	}
	s.returns.Add(1)
	s.lost.Add(int64(len(r.Lost)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noticed != nil {
		close(s.noticed)
		s.noticed = nil
	}
}

func (s *storeReturns) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noticed == nil {
		s.noticed = make(chan struct{})
	}
	return s.noticed
}

// readFunc reads changes as connector.Table.Read does.
type readFunc = func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)

// interruptible returns a read that doesn't wait for a change any longer once another table has
// shown that the store returned from an older copy.
func (s *storeReturns) interruptible(read readFunc) readFunc {
	return func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
		waiting, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		noticed, done := s.next(), make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-noticed:
				cancel(observer.ErrInterrupted)
			case <-done:
			}
		}()
		c, err := read(waiting, from, wait)
		if err != nil && errors.Is(context.Cause(waiting), observer.ErrInterrupted) && ctx.Err() == nil {
			return read(ctx, from, 0)
		}
		return c, err
	}
}

// restorer writes the records of the gateway table again that the store lost, except those of
// gateways, which write their own.
type restorer struct {
	Table *observer.Table
	// Put writes a record. PutAt does so if the store has no record after the position, and returns an
	// error of kind Conflict otherwise.
	Put   func(ctx context.Context, key string, value []byte) error
	PutAt func(ctx context.Context, key string, value []byte, p connector.Position) error
	// Rank returns the place of this gateway among the known gateways, -1 if it is none of them, and
	// their number.
	Rank func() (place, count int)
	// Failed returns when a read of the table from the store last failed.
	Failed func() time.Time
	// Compared returns when the lost records were compared with those of a peer; false if they
	// weren't.
	Compared func() (time.Time, bool)
	Returns  *storeReturns
	Log      zerolog.Logger

	// written holds when each record was written, until it is read back.
	written map[string]time.Time
	// spread is the random part of the wait of a gateway whose place isn't known.
	spread time.Duration
	// notBefore is when the next write may begin after one that failed.
	notBefore time.Time
	// outdated is the end of the table at the last conflict. Until it changes, this gateway hasn't read
	// what others wrote.
	outdated connector.Position
	// conflicts counts the conflicts since a record was last written, here or by another gateway, and
	// left is the number of lost records at the last one.
	conflicts, left int
}

// run writes lost records until ctx is done.
func (r *restorer) run(ctx context.Context) error {
	for pause := restoreInterval; sleeper.Sleep(ctx, pause) == nil; {
		if pause = restoreInterval; r.restore(ctx, timekeeper.Now()) {
			pause = conflictInterval
		}
	}
	return nil
}

// restore writes the lost records that are due. Those of the next gateway are due later, so that
// the first one has written them and the others have read them. A gateway that hasn't read them by
// then writes none of them, as its writes depend on the end of its table. It reports whether it waits
// for what others wrote.
func (r *restorer) restore(ctx context.Context, now time.Time) (waits bool) {
	// The end is read before the records: a record that arrives in between makes the write fail.
	end, _ := r.Table.EpochBegin()
	lost, since := r.Table.Lost()
	if len(lost) == 0 {
		r.written, r.spread, r.conflicts = nil, 0, 0
		return false
	}
	compared, ok := r.Compared()
	if !ok {
		compared = since.Add(observer.CompareTimeout)
	}
	if since = since.Add(compareDelay); compared.After(since) {
		since = compared
	}
	// While the store fails, the gateways before this one can't write either.
	if failed := r.Failed(); failed.After(since) {
		since = failed
	}
	if end == r.outdated {
		return true
	}
	if now.Sub(since) < r.wait() || now.Before(r.notBefore) {
		return false
	}
	if r.written == nil {
		r.written = make(map[string]time.Time)
	}
	for _, i := range lost {
		if at, ok := r.written[i.Key]; ok && now.Sub(at) < rewriteInterval {
			continue
		}
		switch err := r.write(ctx, i, end); {
		case err == nil:
		case classifier.Of(err) == classifier.Conflict:
			r.noteConflict(end, len(lost))
			return true
		default:
			r.notBefore = now.Add(minWriteRetry + rand.N(minWriteRetry))
			return false
		}
		r.written[i.Key] = now
		if r.conflicts >= maxConflicts {
			// Where an unconditional write went isn't known, so the next one begins with a new look.
			r.conflicts = 0
			return true
		}
		r.conflicts = 0
		end.Next++
	}
	return false
}

// noteConflict counts a conflict at an end of the table. Conflicts don't add up while other gateways
// write lost records, or over a return of the store.
func (r *restorer) noteConflict(end connector.Position, left int) {
	if left < r.left || end.Epoch != r.outdated.Epoch {
		r.conflicts = 0
	}
	r.outdated, r.left = end, left
	r.conflicts++
}

// wait returns how long this gateway leaves the writes to those before it.
func (r *restorer) wait() time.Duration {
	place, count := r.Rank()
	if place >= 0 {
		return restoreInterval + time.Duration(place)*holdRankDelay
	}
	if r.spread == 0 {
		r.spread = holdRankDelay + rand.N(maxHoldRank*holdRankDelay)
	}
	return restoreInterval + time.Duration(count)*holdRankDelay + r.spread
}

// write writes a lost record if the table ends at the position. After maxConflicts it does so in any
// case.
func (r *restorer) write(ctx context.Context, i connector.Item, end connector.Position) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	err := r.put(ctx, i, end)
	if classifier.Of(err) == classifier.Conflict {
		r.Log.Info().Err(err).Str("key", i.Key).Msg("lost-record-conflict")
		return err
	}
	if err != nil {
		r.Log.Warn().Err(err).Str("key", i.Key).Msg("lost-record-not-written")
		return err
	}
	r.Returns.rewritten.Add(1)
	r.Log.Info().Str("key", i.Key).Bool("drop", i.Value == nil).Msg("lost-record-written")
	return nil
}

func (r *restorer) put(ctx context.Context, i connector.Item, end connector.Position) error {
	if r.conflicts >= maxConflicts {
		return r.Put(ctx, i.Key, i.Value)
	}
	return r.PutAt(ctx, i.Key, i.Value, end)
}

// claimAt writes the claim of a trial if the gateway table was complete, and refuses it in the
// first time of an epoch.
func (f *follower) claimAt(ctx context.Context, key string, value []byte) error {
	p, since := f.gateways.EpochBegin()
	if p.Epoch != 0 && timekeeper.Now().Sub(since) < claimDelay {
		return errors.Newf("claim trial: epoch %d has just begun", p.Epoch)
	}
	return f.tables.Gateways.PutAt(ctx, key, value, p)
}
