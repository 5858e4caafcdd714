package guarder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
)

// Guards against a second run of a call whose intent was acknowledged and then lost, because the
// log returned from an older copy: an agent that hasn't read the intent, or whose offset was given
// out again, must not run the call until the key is forgotten.
func TestLostIntent(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost is the number of lost intents, unread whether the second agent hasn't read them.
		lost   int
		unread bool
		// again is the number of intents that other calls append after the return.
		again     int
		retention time.Duration
	}{
		{"unread", 1, true, 0, 0},
		{"read", 1, false, 0, 0},
		{"offset given out again", 1, true, 1, 0},
		{"log longer than before", 1, true, 3, 0},
		{"empty log", 2, true, 0, 0},
		{"retention known", 1, true, 1, 2 * time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, net := newFakeLog(), &network{}
				f.epoch = 1
				set := func(g *guarder.Guard) { g.Retention = c.retention }
				var cutOff atomic.Bool
				runs := 0
				run := func(context.Context) (guarder.Answer, error) {
					runs++
					return guarder.Answer{Status: 200}, nil
				}
				a := start(f, net, 0, "a1", set)
				b := start(f, net, 1, "b1", func(g *guarder.Guard) {
					set(g)
					g.Log.Read = func(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (connector.Batch, error) {
						if cutOff.Load() {
							return connector.Batch{}, logError(classifier.Unavailable, 0)
						}
						return f.Read(ctx, s, from, limit, wait)
					}
				})
				defer b.kill(net)
				time.Sleep(3 * time.Second)
				if _, err := a.Do(t.Context(), callOf("before", "x"), run); err != nil {
					t.Fatal(err)
				}
				cutOff.Store(c.unread)
				time.Sleep(3 * time.Second)
				runs = 0
				if _, err := a.Do(t.Context(), callOf("k", "x"), run); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				a.kill(net)
				f.restore(c.lost)
				cutOff.Store(false)
				for range c.again {
					if _, err := f.Append(t.Context(), "", [][]byte{[]byte("{}")}); err != nil {
						t.Fatal(err)
					}
				}
				for range 3 {
					_, err := b.Do(t.Context(), callOf("k", "x"), run)
					if classifier.Of(err) != classifier.Unavailable && classifier.Of(err) != classifier.OutcomeUnknown || err == nil {
						t.Errorf("a repeat after the loss: %v", err)
					}
					time.Sleep(20 * time.Minute / 3)
				}
				if runs != 1 {
					t.Errorf("%d runs", runs)
				}
				time.Sleep(time.Hour)
				if _, err := b.Do(t.Context(), callOf("later", "x"), run); err != nil {
					t.Errorf("a call after the window: %v", err)
				}
			})
		})
	}
}

// Guards against reads without a pause while a source of the log responds with batches from before
// its return.
func TestLateBatchesAreReadWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, net := newFakeLog(), &network{}
		f.epoch = 2
		var late atomic.Bool
		var reads atomic.Int64
		g := start(f, net, 0, "a1", func(g *guarder.Guard) {
			g.Log.Read = func(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (connector.Batch, error) {
				if !late.Load() {
					return f.Read(ctx, s, from, limit, wait)
				}
				// A real read takes some time; without it, this one would be repeated without end.
				time.Sleep(time.Millisecond)
				reads.Add(1)
				return connector.Batch{Epoch: 1, First: 1, Next: from}, nil
			}
		})
		defer g.kill(net)
		time.Sleep(3 * time.Second)
		late.Store(true)
		time.Sleep(30 * time.Second)
		if n := reads.Load(); n == 0 || n > 40 {
			t.Errorf("%d reads in 30 s", n)
		}
	})
}
