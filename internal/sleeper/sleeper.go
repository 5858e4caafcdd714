// Package sleeper waits for a time that a context may cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or until the context ends, whose error it returns.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
