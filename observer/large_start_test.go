package observer_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// slowBody has a byte every 100 ms.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(100 * time.Millisecond)
	b.left--
	p[0] = 'x'
	return 1, nil
}

// readSlowly returns a table whose response takes the given time.
func readSlowly(ctx context.Context, d time.Duration) (connector.Changes, error) {
	if _, err := io.ReadAll(watcher.Reader(ctx, &slowBody{left: int(d / (100 * time.Millisecond))})); err != nil {
		return connector.Changes{}, err
	}
	return connector.Changes{Items: []connector.Item{{Key: "e", Value: []byte("1"), Offset: 1}}, Next: 2, Full: true}, ctx.Err()
}

// A gateway that starts in a large fleet must get the list from a peer of its failure domain, and
// from the platform only in its turn; a read of 3 s over a slow link must be completed. All
// gateways read the platform for 2 s each, and none got the list in 30 s.
func TestFirstReadInLargeFleet(t *testing.T) {
	for _, c := range []struct {
		name string
		// ready is when the peer has the table, delay the turn of this process, and takes the
		// time of a response of the platform.
		ready, delay, takes time.Duration
		isLarge, hangs      bool
		asked               int
		within              time.Duration
	}{
		{"reader", time.Hour, 0, 3 * time.Second, true, false, 1, 3100 * time.Millisecond},
		{"peer has it", 2 * time.Second, 6 * time.Second, 3 * time.Second, true, false, 0, 2100 * time.Millisecond},
		{"readers are lost", time.Hour, 1500 * time.Millisecond, 3 * time.Second, true, false, 1, 4700 * time.Millisecond},
		{"readers are paused", time.Hour, 1500 * time.Millisecond, time.Second, true, true, 1, 3100 * time.Millisecond},
		{"small fleet", 0, 0, time.Second, false, false, 1, 1100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, asked := time.Now(), 0
				s := &observer.SharedReader{
					MaxAge: 2 * time.Second, Interval: time.Second,
					IsShared: func() bool { return c.isLarge }, IsReader: func() bool { return c.delay == 0 },
					PlatformDelay: func() (time.Duration, bool) { return c.delay, c.isLarge },
					Platform: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
						asked++
						return readSlowly(ctx, c.takes)
					},
					First: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
						if time.Since(began) >= c.ready {
							return readSlowly(ctx, 0)
						}
						if c.hangs {
							<-ctx.Done()
							return connector.Changes{}, ctx.Err()
						}
						return connector.Changes{}, errors.New("not ready")
					},
				}
				var table observer.Table
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				f := &observer.Follower{
					Name: "endpoints", Table: &table, Log: zerolog.Nop(), WaitFunc: s.MaxWait, PaceFunc: s.Pace,
					Sources: []observer.Source{{Name: "platform", Read: s.Read, LimitsSilence: true}},
					FirstTimeout: func() time.Duration {
						if c.isLarge {
							return 15 * time.Second
						}
						return 0
					},
					Changed: func(observer.Update) { cancel() },
				}
				_ = f.Run(ctx)
				if took := time.Since(began); took > c.within || asked != c.asked {
					t.Errorf("got the table after %s and %d reads of the platform, want %s and %d", took, asked, c.within, c.asked)
				}
			})
		})
	}
}

// An agent that starts in a large fleet must not read the platform while its gateways get the
// list, and a response of a gateway that takes longer than 250 ms must be completed.
func TestStartReaderInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, asked := time.Now(), 0
		s := &observer.StartReader{
			PlatformDelay: 400 * time.Millisecond, LargeDelay: func() time.Duration { return 6 * time.Second },
			Peers: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
				if time.Since(began) < 3*time.Second {
					return connector.Changes{}, errors.New("not ready")
				}
				return readSlowly(ctx, time.Second)
			},
			Platform: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
				asked++
				return readSlowly(ctx, 0)
			},
		}
		_, err := s.Read(t.Context(), 0, 0)
		if took := time.Since(began); err != nil || asked != 0 || took > 4500*time.Millisecond {
			t.Errorf("read after %s with %d reads of the platform: %v", took, asked, err)
		}
	})
}
