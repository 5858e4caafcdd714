package observer_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// A gateway that isn't a reader must read from the readers, and from the platform as soon
// as these fail, stop or lag. Otherwise each gateway calls the platform, or a gateway
// sends requests to endpoints that left while its reader was cut off.
func TestSharedReader(t *testing.T) {
	for _, c := range []struct {
		name     string
		from     uint64
		isReader bool
		readers  func(context.Context) (connector.Changes, error)
		want     string
	}{
		{name: "fresh", from: 5, want: "reader", readers: func(context.Context) (connector.Changes, error) {
			return connector.Changes{Next: 1, Age: time.Second}, nil
		}},
		{name: "first read", from: 0, want: "platform"},
		{name: "reader itself", from: 5, isReader: true, want: "platform"},
		{name: "old", from: 5, want: "platform", readers: func(context.Context) (connector.Changes, error) {
			return connector.Changes{Next: 1, Age: 3 * time.Second}, nil
		}},
		{name: "failed", from: 5, want: "platform", readers: func(context.Context) (connector.Changes, error) {
			return connector.Changes{}, errors.New("connection refused")
		}},
		{name: "frozen", from: 5, want: "platform", readers: func(ctx context.Context) (connector.Changes, error) {
			<-ctx.Done()
			return connector.Changes{}, ctx.Err()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &observer.SharedReader{
				MaxAge: 2 * time.Second, IsReader: func() bool { return c.isReader },
				Platform: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
					return connector.Changes{Next: 2}, ctx.Err()
				},
				Readers: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
					if c.readers == nil {
						t.Error("asked a reader")
						return connector.Changes{}, nil
					}
					return c.readers(ctx)
				},
			}
			ctx, cancel := context.WithTimeout(t.Context(), observer.MaxReadTime+700*time.Millisecond)
			defer cancel()
			got, err := s.Read(ctx, c.from, 0)
			if err != nil {
				t.Fatal(err)
			}
			if want := map[string]uint64{"reader": 1, "platform": 2}[c.want]; got.Next != want {
				t.Errorf("read from next %d, want the %s", got.Next, c.want)
			}
			// Without the pause, gateways whose readers failed would call the platform in
			// a tight loop.
			if pause := s.Pace(time.Second); (pause == time.Second) != (c.want == "platform") {
				t.Errorf("pause %s after a read from the %s", pause, c.want)
			}
		})
	}
}

// A failed platform must be reported as such though readers were asked before, so that
// entries which lapse in the outage are kept.
func TestSharedReaderWithoutPlatform(t *testing.T) {
	away := errors.New("away")
	s := &observer.SharedReader{
		IsReader: func() bool { return false },
		Platform: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			return connector.Changes{}, away
		},
		Readers: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			return connector.Changes{Age: time.Second}, nil
		},
	}
	if _, err := s.Read(t.Context(), 5, 0); !errors.Is(err, away) {
		t.Errorf("error %v, want that of the platform", err)
	}
}
