package follower

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
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

const (
	// readLimit is the number of records in one read.
	readLimit = 256
	// pollWait is the time for which the log holds a read that has no records.
	// It bounds the Age that a healthy Follower reports.
	pollWait = 2 * time.Second
	// pollMargin is added to pollWait before a read counts as failed.
	pollMargin = 3 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed read or append.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Follower reads the log's configuration stream into a Replica.
type Follower struct {
	// Log and Replica are set before Run.
	Log     *connector.Log
	Replica *Replica
	// Now defaults to time.Now.
	Now func() time.Time

	// mu guards fold for Split. Only Run changes it.
	mu sync.Mutex
	// epoch is that of the offsets that were read; 0 if it isn't known.
	epoch uint64
	// fold is what the log gives; nil in the first epoch and in a log that names none.
	fold *fold
	// lastAnswer is the time of the last answer of the log in nanoseconds since 1970.
	lastAnswer atomic.Int64
}

// Age returns the time since the log last answered, or the longest Duration if it
// never did.
func (f *Follower) Age() time.Duration {
	h := f.lastAnswer.Load()
	if h == 0 {
		return time.Duration(1<<63 - 1)
	}
	return f.now().Sub(time.Unix(0, h))
}

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

// Run reads the log into the Replica until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := minBackoff
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil {
			wait = minBackoff
			continue
		}
		f.Replica.Log.Debug().Err(err).Dur("retry-in-ms", wait).Msg("log read failed")
		if !sleep(ctx, wait) {
			break
		}
		wait = min(2*wait, maxBackoff)
	}
	return ctx.Err()
}

func (f *Follower) poll(ctx context.Context) error {
	c, stop := context.WithTimeout(ctx, pollWait+pollMargin)
	defer stop()
	if f.fold != nil {
		return f.pollFold(c)
	}
	from := f.Replica.Current().Offset + 1
	wait := pollWait
	if !f.Replica.CaughtUp() {
		wait = 0
	}
	b, err := f.read(c, from, wait, f.restore)
	if b == nil || err != nil {
		return err
	}
	for _, v := range b.Entries {
		if err := f.Replica.Apply(v.Offset, v.Body); err != nil {
			return err
		}
	}
	if b.Next > 0 && len(b.Entries) < readLimit {
		f.Replica.ObserveLogEnd(b.Next - 1)
	}
	return nil
}

// read reads the next records. It returns nil if a new epoch has begun, or if the records have expired,
// after a call of restore with the first one that is left.
func (f *Follower) read(ctx context.Context, from uint64, wait time.Duration, restore func(context.Context, uint64) error) (*connector.Batch, error) {
	b, err := f.Log.Read(ctx, connector.ConfigurationStream, from, readLimit, wait)
	var e *connector.Error
	if errors.As(err, &e) && e.Kind == classifier.NotFound && e.First > from {
		f.lastAnswer.Store(f.now().UnixNano())
		return nil, restore(ctx, e.First)
	}
	if err != nil {
		return nil, err
	}
	if begun, err := f.checkEpoch(b.Epoch); begun || err != nil {
		return nil, err
	}
	f.lastAnswer.Store(f.now().UnixNano())
	return &b, nil
}

// checkEpoch returns an error if the log has returned from an older copy since a batch was sent. It
// begins a new epoch and returns true if it has returned before.
func (f *Follower) checkEpoch(epoch uint64) (begun bool, err error) {
	if epoch != 0 && epoch < f.epoch {
		return false, &Error{Op: "read configuration", Kind: classifier.Unavailable, Err: errors.Newf("epoch %d, have %d", epoch, f.epoch)}
	}
	if epoch <= f.epoch {
		return false, nil
	}
	if epoch > firstEpoch {
		f.begin(epoch)
		return true, nil
	}
	f.epoch = epoch
	return false, nil
}

// LogUnconfirmed returns a function that logs an epoch which has to be confirmed, for
// connector.Log.Unconfirmed.
func LogUnconfirmed(l zerolog.Logger) func(epoch, known uint64) {
	return func(epoch, known uint64) {
		l.Warn().Uint64("epoch", epoch).Uint64("known", known).Msg("epoch of the log is far above the known one, a second response has to confirm it")
	}
}

// restore installs the newest snapshot in place of expired records. It fails if
// the snapshot does not cover all records before first, the oldest in the log.
func (f *Follower) restore(ctx context.Context, first uint64) error {
	var n SnapshotReader
	s, err := n.Newest(ctx, f.Log)
	if err != nil {
		return err
	}
	if n.epoch > firstEpoch {
		f.begin(n.epoch)
		return nil
	}
	if err := coversRecordsBefore(s, n.part, first); err != nil {
		return err
	}
	f.Replica.Install(s)
	return nil
}

// coversRecordsBefore returns an error if a snapshot, of which part is one, doesn't cover all
// records before first, the oldest in the log.
func coversRecordsBefore(s *registrar.State, part *Part, first uint64) error {
	if s == nil || part.logOffset()+1 < first {
		return &Error{
			Op: "restore configuration", Kind: classifier.Unavailable,
			Err: errors.Newf("the log begins at offset %d and no snapshot covers the records before it", first),
		}
	}
	return nil
}

// Submit appends a record and waits until its outcome is read back. An error
// of kind Unavailable, Exhausted or Invalid means that nothing was appended;
// OutcomeUnknown means that the record may still take effect.
//
// After a lost answer, Submit appends the same operation again. Replicas ignore a
// repeated operation, so the record takes effect at most once.
func (f *Follower) Submit(ctx context.Context, r recorder.Record) (registrar.Outcome, error) {
	const op = "submit"
	b, err := r.Encode()
	if err != nil {
		return registrar.Outcome{}, err
	}
	if o, ok := f.Replica.Current().Operation(r.Operation); ok {
		return o, nil
	}
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		_, err := f.Log.Append(ctx, connector.ConfigurationStream, [][]byte{b})
		if err == nil {
			break
		}
		k := classifier.Of(err)
		unknown := k == classifier.OutcomeUnknown || k == classifier.Internal
		if !unknown && wait == minBackoff {
			return registrar.Outcome{}, &Error{Op: op, Kind: k, Err: err}
		}
		if o, ok := f.awaitOutcome(ctx, r.Operation, wait); ok {
			return o, nil
		}
		if ctx.Err() != nil {
			return registrar.Outcome{}, &Error{Op: op, Kind: classifier.OutcomeUnknown, Err: err}
		}
	}
	o, ok := f.awaitOutcome(ctx, r.Operation, 0)
	if !ok {
		return registrar.Outcome{}, &Error{
			Op: op, Kind: classifier.OutcomeUnknown, Err: errors.New("the record was appended but not read back in time"),
		}
	}
	return o, nil
}

// awaitOutcome waits for the outcome of an operation until the context ends or,
// where limit is above 0, until it has passed.
func (f *Follower) awaitOutcome(ctx context.Context, id recorder.OperationID, limit time.Duration) (registrar.Outcome, bool) {
	if limit > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, limit)
		defer stop()
	}
	for {
		c := f.Replica.Changed()
		if o, ok := f.Replica.Current().Operation(id); ok {
			return o, true
		}
		select {
		case <-c:
		case <-ctx.Done():
			return registrar.Outcome{}, false
		}
	}
}

// sleep waits for d with jitter, and reports false when the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
