// Package sleeper provides a sleep that a context can cancel.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. If the context ends first, Sleep returns its error.
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
