package guarder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// maxLimitPause bounds the wait after the log refused an append because of its
// rate limit.
const maxLimitPause = time.Second

// queueIntent queues the intent of an operation. The caller holds the mutex.
func (g *Guard) queueIntent(o *operation) {
	g.queue = append(g.queue, o)
	select {
	case g.queueNotEmpty <- struct{}{}:
	default:
	}
}

// appendLoop sends the queued intents in batches, one append at a time and at
// least BatchDelay apart: calls that arrive in between share the next append,
// and a call that finds the queue empty is sent at once.
func (g *Guard) appendLoop(ctx context.Context) error {
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.queueNotEmpty:
		}
		for {
			if !sleep(ctx, next.Sub(g.now())) {
				return ctx.Err()
			}
			batch, bodies := g.nextBatch()
			if len(batch) == 0 {
				break
			}
			next = g.now().Add(g.BatchDelay)
			err := g.appendBatch(ctx, bodies)
			if pause := g.handleAppendResult(batch, err); pause > 0 && !sleep(ctx, pause) {
				return ctx.Err()
			}
		}
	}
}

func (g *Guard) appendBatch(ctx context.Context, bodies [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	_, err := g.Log.Append(ctx, g.stream(), bodies)
	return err
}

// nextBatch removes a batch from the queue, and marks its operations as possibly
// in the log.
func (g *Guard) nextBatch() ([]*operation, [][]byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch []*operation
	var bodies [][]byte
	n := 0
	for n < len(g.queue) && len(batch) < g.MaxBatch {
		o := g.queue[n]
		n++
		if o.state != waiting {
			continue
		}
		b, err := json.Marshal(g.intent(o))
		if err != nil {
			g.refuse(o, errors.Wrap(err, "encode intent"), 0)
			continue
		}
		o.mayBeInLog = true
		batch, bodies = append(batch, o), append(bodies, b)
	}
	g.queue = append(g.queue[:0], g.queue[n:]...)
	return batch, bodies
}

// handleAppendResult handles the result of an append and returns the time to
// wait before the next one.
func (g *Guard) handleAppendResult(batch []*operation, err error) time.Duration {
	if err == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	kind := classifier.Of(err)
	refusal := kind == classifier.Unavailable || kind == classifier.Exhausted
	var after time.Duration
	var e *connector.Error
	if errors.As(err, &e) {
		after = e.RetryAfter
	}
	g.Logger.Warn().Str("service", string(g.Service)).Int("intents", len(batch)).Stringer("kind", kind).
		Err(err).Msg("append of intents failed")
	var again []*operation
	for _, o := range batch {
		switch {
		case !refusal || o.appendUnanswered:
			// The record may be in the log; then the reader finds it. If it never
			// arrived, a second append ends the wait. A duplicate is harmless, as
			// only the first record of an operation counts.
			o.appendUnanswered = true
			g.scheduleResend(o)
		case kind == classifier.Exhausted && g.now().Sub(o.created) < DefaultTimeout:
			o.mayBeInLog = false
			again = append(again, o)
		default:
			o.mayBeInLog = false
			g.refuse(o, err, after)
		}
	}
	g.queue = append(again, g.queue...)
	if kind != classifier.Exhausted {
		return 0
	}
	if after <= 0 {
		after = max(g.BatchDelay, time.Millisecond)
	}
	return min(after, maxLimitPause)
}

// scheduleResend queues an intent again if it is still undecided after
// DefaultResolve.
func (g *Guard) scheduleResend(o *operation) {
	time.AfterFunc(DefaultResolve, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if o.state == waiting && g.running {
			g.queueIntent(o)
		}
	})
}

// sleep waits for d or until the context ends, and reports whether the context
// is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
