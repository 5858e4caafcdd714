package loader

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// name makes the versions 2 and 3 named the given times ago, with 10 s for a version, of which
// gateways use an older one for 8.5 s.
func (l *Loader) name(second, third time.Duration) {
	state := &observer.State{Decode: l.State.Decode, Now: timekeeper.Now, Log: zerolog.Nop()}
	now := timekeeper.Now()
	state.ApplyOperator([]connector.Item{{Key: "config", Value: []byte("c"), Offset: 1}}, now)
	state.ApplyOperator([]connector.Item{{Key: "v", Value: []byte("2"), Offset: 2}}, now.Add(-second))
	state.ApplyOperator([]connector.Item{{Key: "v", Value: []byte("3"), Offset: 3}}, now.Add(-third))
	l.State, l.MaxVersionDelay, l.Grace = state, 10*time.Second, 8500*time.Millisecond
}

// serveFrom makes an origin of the pieces and counts its reads. All but the given number of
// pieces are in the store; no peer has the others.
func (l *Loader) serveFrom(t *testing.T, m *manifest, pieces [][]byte, missing int, reads *atomic.Int64) {
	t.Helper()
	e, o := l.engine()
	l.Link = o.OriginLink
	source := &connector.Pieces{Piece: func(_ context.Context, _ string, _ int64, n int) (io.ReadCloser, int64, error) {
		reads.Add(1)
		return io.NopCloser(bytes.NewReader(pieces[n])), e.ChunkSize, nil
	}}
	l.Pieces = func(netip.AddrPort) *connector.Pieces { return source }
	for i := missing; i < len(pieces); i++ {
		if err := l.Store.Put(m.Chunks[i], pieces[i]); err != nil {
			t.Fatal(err)
		}
	}
	l.superseded.Store(2)
}

// Guards against a superseded version of which a piece is nowhere. The origin had gone before it
// had sent the last pieces; no engine ever had the version, and none was served for 4 s. With
// most pieces missing they must be left to the newer version.
func TestSupersededVersionIsCompletedFromOrigin(t *testing.T) {
	for _, c := range []struct {
		name    string
		missing int
		reads   int64
	}{{"a piece missing", 1, 1}, {"two pieces missing", 2, 2}, {"most pieces missing", 6, 0}} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.NotFoundHandler())
			defer s.Close()
			l, _, m, pieces := newTestLoader(t, strings.TrimPrefix(s.URL, "http://"))
			l.name(8600*time.Millisecond, 5600*time.Millisecond)
			var reads atomic.Int64
			l.serveFrom(t, m, pieces, c.missing, &reads)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			if err := l.supersededStep(ctx); err != nil {
				t.Fatal(err)
			}
			if got, want := l.complete.Load() == 2, c.reads > 0; got != want {
				t.Errorf("complete %t, want %t", got, want)
			}
			if got := reads.Load(); got != c.reads {
				t.Errorf("%d pieces from the origin, want %d", got, c.reads)
			}
		})
	}
}

// Guards against reads of the newer version that come before the few pieces of the superseded one,
// or that wait for them for longer than they take, as when they are read at no other instance.
func TestNewerVersionWaitsOnce(t *testing.T) {
	l, _, m, pieces := newTestLoader(t, "127.0.0.4:1")
	l.name(8600*time.Millisecond, 5600*time.Millisecond)
	var reads atomic.Int64
	l.serveFrom(t, m, pieces, 2, &reads)
	newer := recorder.DigestOf([]byte("newer"))
	digests := make([][32]byte, testChunks)
	digests[0] = newer
	e, _ := l.engine()
	if _, err := l.keep(e, 3, digests); err != nil {
		t.Fatal(err)
	}
	// A piece takes 125 ms at the origin's link.
	for i, most := range []time.Duration{400 * time.Millisecond, 50 * time.Millisecond} {
		began := time.Now()
		body, _, err := l.fetchTargetPiece(t.Context(), newer)
		if err != nil {
			t.Fatal(err)
		}
		_ = body.Close()
		took := time.Since(began)
		if took > most || i == 0 && took < 200*time.Millisecond {
			t.Errorf("read %d of the newer version began after %s, want at most %s", i, took, most)
		}
	}
}

// Guards against an engine that serves nothing that may be used, and that doesn't load a
// superseded version or waits for its turn; and against one that takes itself out late while it
// serves.
func TestLatestLoadOfSupersededVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		// second and third are the times since versions 2 and 3 were named.
		second, third time.Duration
		served        int64
		late          bool
	}{
		{"serves version 1", 8 * time.Second, 6100 * time.Millisecond, 1, true},
		{"version 1 is due", 9 * time.Second, 6100 * time.Millisecond, 1, false},
		{"serves nothing", 8 * time.Second, 6100 * time.Millisecond, 0, false},
		{"version 2 is soon due", 12 * time.Second, 8100 * time.Millisecond, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
			l.name(c.second, c.third)
			l.Reporter.last.Versions = map[string]int64{"m": c.served}
			if got := l.isTooLate("m", 2, timekeeper.Now()); got != c.late {
				t.Errorf("too late: %t, want %t", got, c.late)
			}
			if c.late {
				return
			}
			l.complete.Store(2)
			began := time.Now()
			if !l.awaitLoadStart(t.Context(), "m", 2) || time.Since(began) > 50*time.Millisecond {
				t.Errorf("the load was left or waited for %s", time.Since(began))
			}
		})
	}
}

// Guards against an instance that leaves a superseded version for good because its engine didn't
// answer one read. Other instances waited 4 s for each piece of which it was the leader.
func TestSupersededVersionBesideSilentEngine(t *testing.T) {
	l, _, m, pieces := newTestLoader(t, "127.0.0.4:1")
	l.name(8600*time.Millisecond, 5600*time.Millisecond)
	var reads atomic.Int64
	l.serveFrom(t, m, pieces, 1, &reads)
	l.Reporter.known = false
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := l.supersededStep(ctx); err != nil {
		t.Fatal(err)
	}
	if got := l.complete.Load(); got != 2 || reads.Load() != 1 {
		t.Errorf("complete version %d with %d pieces from the origin, want 2 with 1", got, reads.Load())
	}
}

// Guards against an engine that serves, takes a long time to load, and is closed again and again for
// a superseded version whose load would end too late.
func TestLatestLoadOfSlowEngine(t *testing.T) {
	for _, c := range []struct {
		warm, third time.Duration
		late        bool
	}{{4 * time.Second, 5 * time.Second, true}, {4 * time.Second, 4300 * time.Millisecond, false}, {2 * time.Second, 5 * time.Second, false}} {
		l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
		decode := l.State.Decode
		l.State.Decode = func(key string, v []byte) (*observer.Decision, error) {
			d, err := decode(key, v)
			if d != nil && d.Configuration != nil {
				d.Configuration.Services[0].Engine.Warm = c.warm
			}
			return d, err
		}
		l.name(7*time.Second, c.third)
		l.Reporter.last.Versions = map[string]int64{"m": 1}
		if got := l.isTooLate("m", 2, timekeeper.Now()); got != c.late {
			t.Errorf("a load of %s, %s after version 3 was named: too late %t, want %t", c.warm, c.third, got, c.late)
		}
	}
}

// Guards against engines that all load the target version at the same time because it isn't known
// when it was named.
func TestTurnOfTargetWithoutDate(t *testing.T) {
	l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
	state := &observer.State{Decode: l.State.Decode, Now: timekeeper.Now, Log: zerolog.Nop()}
	state.DecodeEndpoint = func(key string, _ []byte) (*observer.Endpoint, error) {
		return &observer.Endpoint{ID: key, Service: "s", Address: netip.MustParseAddrPort(key)}, nil
	}
	state.ApplyOperator([]connector.Item{{Key: "config", Value: []byte("c"), Offset: 1}, {Key: "v", Value: []byte("3"), Offset: 3}}, time.Time{})
	state.ApplyEndpoints([]connector.Item{
		{Key: "127.0.0.5:1", Value: []byte("x"), Offset: 1}, {Key: "127.0.0.6:1", Value: []byte("x"), Offset: 2},
	}, true)
	l.State, l.Address = state, netip.MustParseAddrPort("127.0.0.6:1")
	l.Reporter.last.Versions, l.Reporter.known = map[string]int64{"m": 2}, true
	l.complete.Store(3)
	began := time.Now()
	if !l.awaitLoadStart(t.Context(), "m", 3) || time.Since(began) < 800*time.Millisecond {
		t.Errorf("the second engine of two loads after %s", time.Since(began))
	}
}
