package distributor

import (
	"context"
	"sync"
	"time"
)

// backoff delays all origin reads of an instance after a refusal, so that the
// number of parallel reads doesn't multiply the load on an origin in trouble.
type backoff struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// Backoff of origin reads.
const minBackoff = 100 * time.Millisecond

// fail notes a refusal. The wait is at least after; jitter in 0 to 1 spreads
// the instances over half of the wait. Refusals within the wait count once.
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

// succeed notes a success.
func (g *backoff) succeed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = 0
}

// wait returns when the origin may be asked.
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
