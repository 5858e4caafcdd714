package loader

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

const (
	testChunks    = 8
	testChunkSize = 4 << 10
)

// testEngine is an engine that records what is staged.
type testEngine struct {
	mu      sync.Mutex
	version int64
	staged  map[int]bool
}

func (e *testEngine) replica() *connector.Replica {
	return &connector.Replica{
		Report: func(context.Context) (connector.ReplicaReport, error) {
			return connector.ReplicaReport{Started: time.Unix(1, 0), Versions: map[string]int64{"m": e.version}}, nil
		},
		Stage: func(_ context.Context, _ string, n int, _ []byte) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged[n] = true
			return nil
		},
	}
}

func (e *testEngine) stagedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.staged)
}

// newTestLoader returns a loader whose engine serves version 1 while versions 2 and 3
// have been named, with the manifest of version 2 and its pieces.
func newTestLoader(t *testing.T, peer string) (*Loader, *testEngine, *manifest, [][]byte) {
	t.Helper()
	e := &testEngine{version: 1, staged: make(map[int]bool)}
	replica := e.replica()
	state := &observer.State{
		Decode: func(_ string, v []byte) (*observer.Decision, error) {
			if v[0] != 'c' {
				return &observer.Decision{Target: &observer.Target{Model: "m", Version: int64(v[0] - '0')}}, nil
			}
			return &observer.Decision{Configuration: &resolver.Configuration{Services: []resolver.Service{
				{Name: "s", Engine: &resolver.Engine{Model: "m", Chunks: testChunks, ChunkSize: testChunkSize}},
				{Name: "o", Origin: netip.MustParseAddrPort("127.0.0.3:1"), OriginLink: testChunks * testChunkSize},
			}}}, nil
		},
		Now: timekeeper.Now, Log: zerolog.Nop(),
	}
	now := timekeeper.Now()
	state.ApplyOperator([]connector.Item{{Key: "config", Value: []byte("c"), Offset: 1}}, now)
	state.ApplyOperator([]connector.Item{{Key: "v", Value: []byte("2"), Offset: 2}}, now)
	state.ApplyOperator([]connector.Item{{Key: "v", Value: []byte("3"), Offset: 3}}, now)
	store := &distributor.Store{}
	l := &Loader{
		Service: "s", MaxVersionDelay: 8 * time.Second, State: state, Store: store, Replica: replica, Log: zerolog.Nop(),
		Reporter: &Reporter{Replica: replica, Send: nil, Log: zerolog.Nop()},
		Pieces: func(netip.AddrPort) *connector.Pieces {
			return &connector.Pieces{Piece: func(context.Context, string, int64, int) (io.ReadCloser, int64, error) {
				return nil, 0, errors.New("connection refused")
			}}
		},
		NewFetcher: func(o *connector.Origin, _ string) *distributor.Fetcher {
			return &distributor.Fetcher{
				Self: distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"}, Store: store, Origin: o,
				Client: distributor.NewClient(nil), MaxBackoff: 10 * time.Millisecond,
				Members: func() []distributor.Member {
					return []distributor.Member{{Instance: "peer", FailureDomain: "d", Region: "r", Address: netip.MustParseAddrPort(peer)}}
				},
			}
		},
	}
	l.Reporter.last, l.Reporter.known = connector.ReplicaReport{Versions: map[string]int64{"m": 1}}, true
	engine, _ := l.engine()
	var pieces [][]byte
	var digests [][32]byte
	for i := range testChunks {
		b := make([]byte, testChunkSize)
		b[0] = byte(i)
		pieces = append(pieces, b)
		digests = append(digests, recorder.DigestOf(b))
	}
	m, err := l.keep(engine, 2, digests)
	if err != nil {
		t.Fatal(err)
	}
	return l, e, m, pieces
}

// A version that a newer one superseded must be completed from the peers, as long as
// nothing newer can be served. Otherwise an outage of the origin, which has not sent the
// newer one yet, leaves no version that may be served. In the origin's region the only
// copy of a piece may be in another region: all 21 engines there lacked one for 10 s.
func TestSupersededVersionIsCompleted(t *testing.T) {
	for _, region := range []recorder.Name{"r", "other"} {
		t.Run(string(region), func(t *testing.T) {
			var pieces [][]byte
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				for _, b := range pieces {
					if strings.HasSuffix(q.URL.Path, recorder.DigestOf(b).String()) {
						_, _ = w.Write(b)
						return
					}
				}
				http.NotFound(w, q)
			}))
			defer s.Close()
			var l *Loader
			l, _, _, pieces = newTestLoader(t, strings.TrimPrefix(s.URL, "http://"))
			newFetcher := l.NewFetcher
			l.NewFetcher = func(o *connector.Origin, domain string) *distributor.Fetcher {
				f := newFetcher(o, domain)
				members := f.Members()
				members[0].Region = region
				f.OriginRegion = f.Self.Region
				f.Members = func() []distributor.Member { return append(slices.Clone(members), f.Self) }
				return f
			}
			l.superseded.Store(2)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if err := l.supersededStep(ctx); err != nil {
				t.Fatal(err)
			}
			if got := l.complete.Load(); got != 2 {
				t.Errorf("complete version %d, want 2", got)
			}
		})
	}
}

// A superseded version must be left once a newer one is complete: its chunks would only
// take bandwidth.
func TestSupersededVersionIsLeft(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	l, _, _, _ := newTestLoader(t, strings.TrimPrefix(s.URL, "http://"))
	l.superseded.Store(2)
	time.AfterFunc(200*time.Millisecond, func() { l.setComplete(3) })
	began := time.Now()
	if err := l.supersededStep(t.Context()); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("left after %s", d)
	}
}

// Only a version that the origin can have sent whole is worth completing from peers.
func TestIsSpread(t *testing.T) {
	l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
	since := timekeeper.Now()
	n := observer.TargetVersions{Version: 2, Since: since}
	for after, want := range map[time.Duration]bool{time.Second: false, 1200 * time.Millisecond: false, 1400 * time.Millisecond: true} {
		if got := l.isSpread(n, since.Add(after)); got != want {
			t.Errorf("after %s, with 1 s over the origin's link: %t, want %t", after, got, want)
		}
	}
	if l.isSpread(observer.TargetVersions{Version: 2}, since) {
		t.Error("a version named at an unknown time counts as spread")
	}
}

// Pieces must be staged while others are still on their way, but must not replace those
// of a version that the engine has yet to load.
func TestStageEarly(t *testing.T) {
	l, e, m, pieces := newTestLoader(t, "127.0.0.4:1")
	put := func(n int) {
		for i := range n {
			if err := l.Store.Put(m.Chunks[i], pieces[i]); err != nil {
				t.Fatal(err)
			}
		}
	}
	step := func(what string, want int) {
		t.Helper()
		if err := l.stageEarlyStep(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := e.stagedCount(); got != want {
			t.Errorf("%s: %d pieces staged, want %d", what, got, want)
		}
	}
	l.fetching.Store(2)
	put(3)
	step("less than half", 0)
	put(6)
	l.setComplete(2)
	step("while the engine has a version to load", 0)
	l.complete.Store(1)
	step("three quarters", 6)
	l.fetching.Store(0)
	put(8)
	step("not fetched any more", 6)
}

// Engines must load a superseded version one after the other, from when it is complete.
// With the times of its own naming, which had passed, all engines closed within 2 s.
func TestSupersededVersionIsLoadedInTurn(t *testing.T) {
	l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
	if got := l.since("m", 2); !got.IsZero() {
		t.Errorf("the superseded version is scheduled from %s", got)
	}
	if got := l.since("m", 3); got.IsZero() {
		t.Error("the target version isn't scheduled from its naming")
	}
}

// A superseded version must not be loaded so late that the load ends after its time: a
// request that waited for such a load began 20 ms too late on the superseded version.
func TestSupersededVersionIsNotLoadedLate(t *testing.T) {
	l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
	named := l.target("m").Since
	for _, c := range []struct {
		version int64
		after   time.Duration
		want    bool
	}{{2, 4700 * time.Millisecond, false}, {2, 4900 * time.Millisecond, true}, {3, 10 * time.Second, false}} {
		if got := l.isTooLate("m", c.version, named.Add(c.after)); got != c.want {
			t.Errorf("version %d, %s after the newest was named: too late %t, want %t", c.version, c.after, got, c.want)
		}
	}
}

// The origin of a superseded version never responds, and returns when the fetch ends.
func TestWithoutOrigin(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	body, size, err := withoutOrigin().Fetch(ctx, recorder.Digest{})
	if err == nil {
		b, _ := io.ReadAll(body)
		t.Errorf("got %d of %d bytes", len(b), size)
	}
}

// An engine that doesn't answer a read for a second must still load in its turn, or it takes
// itself out while others load. One that comes back without weights must load at once.
func TestSilentEngineLoadsInTurn(t *testing.T) {
	for _, empty := range []bool{false, true} {
		l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
		l.MaxVersionDelay = 2 * time.Second
		l.setComplete(3)
		turn := loadStart(0, l.since("m", 3), timekeeper.Now(), time.Time{}, l.MaxVersionDelay)
		l.Reporter.known = false
		if empty {
			time.AfterFunc(100*time.Millisecond, func() {
				l.Reporter.mu.Lock()
				defer l.Reporter.mu.Unlock()
				l.Reporter.last.Versions, l.Reporter.known = nil, true
			})
		}
		if !l.awaitLoadStart(t.Context(), "m", 3) {
			t.Fatal("the load was left")
		}
		if early := timekeeper.Now().Before(turn); early != empty {
			t.Errorf("empty engine %t: loaded before its turn %t", empty, early)
		}
	}
}
