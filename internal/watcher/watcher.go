// Package watcher cancels a call when no data of its response arrives in time. A
// timeout for the entire call would also cancel one whose response is long or comes
// over a slow link, and the retry would load the link again.
package watcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// ErrIdleTimeout is the cause of a context that was cancelled because no data arrived in
// time.
var ErrIdleTimeout = errors.New("nothing arrived in time")

type key struct{}

// inactivityTimer cancels a call after a pause in its response.
type inactivityTimer struct {
	timeout time.Duration

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// WithIdleTimeout returns a context for a call. The context is cancelled with
// ErrIdleTimeout if the response doesn't begin within first, or later pauses for longer
// than timeout. The caller must call the returned function when the call has ended.
func WithIdleTimeout(ctx context.Context, first, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &inactivityTimer{timeout: timeout}
	w.timer = time.AfterFunc(first, func() { cancel(ErrIdleTimeout) })
	return context.WithValue(ctx, key{}, w), func() {
		w.stop()
		cancel(context.Canceled)
	}
}

func (w *inactivityTimer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// reset restarts the timer after data has arrived, unless the call has ended.
func (w *inactivityTimer) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.timer.Reset(w.timeout)
	}
}

// Reader returns a reader for the response body of a call that was made with a context
// from WithIdleTimeout. The call of Reader counts as the beginning of the response. For
// any other context it returns r.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	w, ok := ctx.Value(key{}).(*inactivityTimer)
	if !ok {
		return r
	}
	w.reset()
	return reader{r, w}
}

type reader struct {
	io.Reader
	watch *inactivityTimer
}

func (r reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watch.reset()
	}
	return n, err
}
