package loader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
)

// lostAnswers loses the answer to the first call of each kind that is named, after the engine
// has executed it. The connection stays open, so only a deadline ends the call.
type lostAnswers struct {
	mu    sync.Mutex
	calls map[string]int
}

func (l *lostAnswers) await(ctx context.Context, call string) error {
	l.mu.Lock()
	lost := l.calls[call] > 0
	l.calls[call]--
	l.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return &loader.Error{Op: call, Kind: classifier.OutcomeUnknown, Err: ctx.Err()}
}

// wrap makes the calls of the replica lose their answers.
func (l *lostAnswers) wrap(r *connector.Replica) {
	inner := *r
	r.Staged = func(ctx context.Context, model string, piece int, size int64) ([]byte, error) {
		b, err := inner.Staged(ctx, model, piece, size)
		if lost := l.await(ctx, "staged"); lost != nil {
			return nil, lost
		}
		return b, err
	}
	r.Held = func(ctx context.Context, model string) ([]int, error) {
		n, err := inner.Held(ctx, model)
		if lost := l.await(ctx, "held"); lost != nil {
			return nil, lost
		}
		return n, err
	}
	r.Stage = func(ctx context.Context, model string, piece int, b []byte) error {
		err := inner.Stage(ctx, model, piece, b)
		if lost := l.await(ctx, "stage"); lost != nil {
			return lost
		}
		return err
	}
	r.Start = func(ctx context.Context, model string, version, orders int64, cut bool) error {
		err := inner.Start(ctx, model, version, orders, cut)
		if lost := l.await(ctx, "start"); lost != nil {
			return lost
		}
		return err
	}
}

// Guards against an engine that is left out for good after one lost answer: without a deadline
// the loader waited with the engine reported as closed, or loaded nothing (review/1, RECOVER).
func TestLostAnswerOfEngine(t *testing.T) {
	for _, call := range []string{"staged", "held", "stage", "start"} {
		t.Run(call, func(t *testing.T) {
			t.Parallel()
			f := newFixture()
			(&lostAnswers{calls: map[string]int{call: 1}}).wrap(f.loader.Replica)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var g sync.WaitGroup
			defer g.Wait()
			defer cancel()
			f.loader.Log = zerolog.New(zerolog.NewTestWriter(t))
			g.Go(func() { _ = f.loader.Reporter.Run(ctx) })
			g.Go(func() { _ = f.loader.Run(ctx) })
			var last dispatcher.Report
			for ctx.Err() == nil {
				if last = f.lastReport(); last.Versions["m"] == 1 && !last.Closed {
					f.checkLoadedPieces(t)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Errorf("the last report is %+v, want version 1 and not closed", last)
		})
	}
}
