package distributor

import (
	"context"
	"sync"
	"time"
)

// backoff delays all origin reads of an instance after a failed one, so that
// parallel reads don't multiply the load on an overloaded origin.
type backoff struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// minBackoff is the delay after the first failure; it doubles with every further one.
const minBackoff = 100 * time.Millisecond

// fail records a failed read. The delay is at least retryAfter; jitter, from 0 to 1,
// extends it by up to a half, so that the instances retry at different times.
// Failures during the delay count once.
func (g *backoff) fail(now time.Time, retryAfter, maxWait time.Duration, jitter float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.until) {
		return
	}
	wait := max(retryAfter, min(maxWait, minBackoff<<min(g.failures, 16)))
	g.failures++
	g.until = now.Add(wait + time.Duration(jitter*float64(wait)/2))
}

// succeed resets the number of failures.
func (g *backoff) succeed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
}

// wait blocks until the origin may be read.
func (g *backoff) wait(ctx context.Context, now func() time.Time) error {
	for {
		g.mu.Lock()
		d := g.until.Sub(now())
		g.mu.Unlock()
		if d <= 0 {
			return ctx.Err()
		}
		if err := sleep(ctx, d); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
