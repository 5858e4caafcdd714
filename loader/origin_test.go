package loader_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
)

// configurationDelay is the time within which a configuration must be in force.
const configurationDelay = 3 * time.Second

// lost returns an origin that is lost after the given number of pieces, and counts the requests that it
// gets later. Requests for digests are lost too if there are no pieces.
func lost(after int, refuse func(ctx context.Context) error, late *atomic.Int64) *origin {
	var sent atomic.Int64
	return &origin{onRequest: func(ctx context.Context, piece *int) error {
		if piece == nil && after > 0 || piece != nil && sent.Add(1) <= int64(after) {
			return nil
		}
		late.Add(1)
		return refuse(ctx)
	}}
}

// Guards against an instance that asks the former address of the origin for good, because its address
// changed in the middle of a fetch.
func TestOriginMovesDuringFetch(t *testing.T) {
	refused := func(context.Context) error { return errors.New("connection refused") }
	silent := func(ctx context.Context) error {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	busy := func(context.Context) error {
		return &connector.Error{Kind: classifier.Exhausted, RetryAfter: time.Minute, Err: errors.New("busy")}
	}
	const other, third = "127.0.0.4:1", "127.0.0.5:1"
	for _, c := range []struct {
		name  string
		after int
		// refuse is what becomes of requests at the former addresses.
		refuse func(ctx context.Context) error
		// places are those of the configurations, the last one with an origin that answers.
		places []string
	}{
		{"refused pieces", 3, refused, []string{other + "/a"}},
		{"silent pieces", 3, silent, []string{other + "/a"}},
		{"busy pieces", 3, busy, []string{other + "/a"}},
		{"refused digests", 0, refused, []string{other + "/a"}},
		{"silent digests", 0, silent, []string{other + "/a"}},
		{"moved twice", 3, silent, []string{third + "/a", other + "/a"}},
		{"no origin for a moment", 3, silent, []string{"", other + "/a"}},
		{"another failure domain", 3, silent, []string{other + "/b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			var late atomic.Int64
			f.origin = lost(c.after, c.refuse, &late)
			f.others = map[netip.AddrPort]*origin{
				netip.MustParseAddrPort(other): {}, netip.MustParseAddrPort(third): lost(0, c.refuse, &late),
			}
			newFetcher := f.loader.NewFetcher
			var domain atomic.Value
			f.loader.NewFetcher = func(o *connector.Origin, d string) *distributor.Fetcher {
				domain.Store(d)
				return newFetcher(o, d)
			}
			var moved time.Time
			go func() {
				for late.Load() == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				for _, p := range c.places {
					time.Sleep(200 * time.Millisecond)
					moved = time.Now()
					f.put("config", "x@"+p)
				}
			}()
			f.run(t, 1)
			f.checkLoadedPieces(t)
			if d := time.Since(moved); moved.IsZero() || d > configurationDelay {
				t.Errorf("loaded %s after the last configuration, want at most %s", d, configurationDelay)
			}
			if p := c.places[len(c.places)-1]; p[len(p)-1:] != domain.Load() {
				t.Errorf("the last fetcher is for an origin in the failure domain %s, want that of %s", domain.Load(), p)
			}
		})
	}
}

// Guards against an engine that stays empty while no configuration names an origin, although the
// instance has all pieces.
func TestEngineRestartsWithoutOrigin(t *testing.T) {
	for _, lost := range []bool{false, true} {
		f := newFixture()
		f.run(t, 1)
		f.put("config", "x@")
		f.engine.restart(lost)
		f.run(t, 1)
		f.checkLoadedPieces(t)
	}
}
