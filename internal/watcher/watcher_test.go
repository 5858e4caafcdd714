package watcher_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
)

// body is a reader that returns one byte after each of its pauses.
type body []time.Duration

func (b *body) Read(p []byte) (int, error) {
	if len(*b) == 0 {
		return 0, io.EOF
	}
	time.Sleep((*b)[0])
	*b = (*b)[1:]
	p[0] = 'x'
	return 1, nil
}

// A slow response must not be cancelled, as a timeout for the entire call would do. A
// connection that has stopped sending must not block its reader.
func TestOnlySilenceEndsACall(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		begin  time.Duration
		pauses body
		want   error
	}{
		{"long with short pauses", 900 * ms, body{90 * ms, 90 * ms, 90 * ms, 90 * ms, 90 * ms}, nil},
		{"late", 1100 * ms, nil, watcher.ErrIdleTimeout},
		{"pause in the body", 900 * ms, body{90 * ms, 110 * ms}, watcher.ErrIdleTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := watcher.WithIdleTimeout(t.Context(), time.Second, 100*ms)
				defer stop()
				time.Sleep(c.begin)
				r := watcher.Reader(ctx, &c.pauses)
				b, err := io.ReadAll(r)
				if err != nil {
					t.Fatal(err)
				}
				if got := context.Cause(ctx); !errors.Is(got, c.want) {
					t.Errorf("%q, then %v", b, got)
				}
			})
		})
	}
}

// The timer must not cancel a call that has ended. Without an idle timeout in the
// context, the body is read unchanged.
func TestCallThatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := watcher.WithIdleTimeout(t.Context(), time.Second, time.Second)
		r := watcher.Reader(ctx, strings.NewReader("x"))
		stop()
		_, _ = io.ReadAll(r)
		time.Sleep(time.Minute)
		if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		b, err := io.ReadAll(watcher.Reader(t.Context(), strings.NewReader("x")))
		if string(b) != "x" || err != nil {
			t.Errorf("%q %v", b, err)
		}
	})
}
