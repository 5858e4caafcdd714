// Package watcher ends a call when nothing of its answer arrives in time. A bound
// on the whole of a call would end one that is long or comes over a slow link, and its
// repeat would load the link again.
package watcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// ErrSilent is the cause of a context that ended because nothing arrived.
var ErrSilent = errors.New("nothing arrived in time")

type key struct{}

// watch ends a call after a silence.
type watch struct {
	silence time.Duration

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// With returns a context for a call whose answer is to begin within the first time
// and not to pause for longer than the silence. The caller calls the function when
// the call is over.
func With(ctx context.Context, first, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{silence: silence}
	w.timer = time.AfterFunc(first, func() { cancel(ErrSilent) })
	return context.WithValue(ctx, key{}, w), func() {
		w.end()
		cancel(context.Canceled)
	}
}

func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// touch notes that something arrived.
func (w *watch) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.timer.Reset(w.silence)
	}
}

// Reader returns a reader of the body of a call with the context. The begin of the
// body counts as arrived.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	w, ok := ctx.Value(key{}).(*watch)
	if !ok {
		return r
	}
	w.touch()
	return reader{r, w}
}

type reader struct {
	io.Reader
	watch *watch
}

func (r reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watch.touch()
	}
	return n, err
}
