package loader_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

const (
	pieces    = 6
	pieceSize = 4 << 10
)

var (
	engineAddress = netip.MustParseAddrPort("127.0.0.2:1")
	originAddress = netip.MustParseAddrPort("127.0.0.3:1")
)

func weights(version int64, piece int) []byte {
	b := make([]byte, pieceSize)
	b[0], b[1] = byte(version), byte(piece)
	return b
}

// engine is a model engine that loads whatever is staged.
type engine struct {
	mu      sync.Mutex
	started time.Time
	staged  map[int][]byte
	// loaded is the version that was ordered, whole tells that all its pieces
	// were right at the order.
	loaded int64
	whole  bool
	orders int64
	// spoil is called with the pieces at the first order after it is set.
	beforeRead func(staged map[int][]byte)
	reads      int
	loads      []int64
	// active is the number of streams that run, cut tells that the last load cut them.
	active int
	cut    bool
}

func (e *engine) replica() *connector.Replica {
	return &connector.Replica{
		Report: func(context.Context) (connector.ReplicaReport, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			r := connector.ReplicaReport{Started: e.started, Orders: e.orders, Active: e.active}
			if e.loaded > 0 {
				r.Versions = map[string]int64{"m": e.loaded}
			}
			return r, nil
		},
		Staged: func(_ context.Context, _ string, n int) ([]byte, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.reads++
			if e.beforeRead != nil {
				e.beforeRead(e.staged)
			}
			if b, ok := e.staged[n]; ok {
				return b, nil
			}
			return nil, &loader.Error{Op: "staged", Kind: classifier.NotFound, Err: errors.New("none")}
		},
		Held: func(context.Context, string) ([]int, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			var l []int
			for n := range e.staged {
				l = append(l, n)
			}
			return l, nil
		},
		Stage: func(_ context.Context, _ string, n int, b []byte) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged[n] = slices.Clone(b)
			return nil
		},
		Start: func(_ context.Context, _ string, version, orders int64, cut bool) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			if orders != e.orders {
				return &loader.Error{Op: "start", Kind: classifier.Conflict, Err: errors.New("another order came first")}
			}
			e.orders++
			e.loaded, e.whole = version, true
			e.loads = append(e.loads, version)
			e.cut = cut
			for n := range pieces {
				if sha256.Sum256(e.staged[n]) != sha256.Sum256(weights(version, n)) {
					e.whole = false
				}
			}
			return nil
		},
	}
}

// origin serves pieces; spoilt ones as often as it is told to.
type origin struct {
	mu     sync.Mutex
	spoilt int
	sent   int
	// noManifest makes it refuse to tell the digests.
	noManifest bool
	// spoiltManifest is the number of times that a digest is told wrong.
	spoiltManifest int
}

func (o *origin) pieces(netip.AddrPort) *connector.Pieces {
	return &connector.Pieces{
		Manifest: func(_ context.Context, _ string, version int64) ([][32]byte, error) {
			if o.noManifest {
				return nil, errors.New("too many connections")
			}
			var d [][32]byte
			for n := range pieces {
				d = append(d, sha256.Sum256(weights(version, n)))
			}
			if o.spoiltManifest > 0 {
				o.spoiltManifest--
				d[2][3]++
			}
			return d, nil
		},
		Piece: func(_ context.Context, _ string, version int64, n int) (io.ReadCloser, int64, error) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.sent++
			b := weights(version, n)
			if o.spoilt > 0 {
				o.spoilt--
				b[5]++
			}
			return io.NopCloser(bytes.NewReader(b)), int64(len(b)), nil
		},
	}
}

// bench is a loader beside an engine, with an origin and no peers.
type bench struct {
	engine *engine
	origin *origin
	state  *observer.State
	loader *loader.Loader
	offset uint64
	mu     sync.Mutex
	closed bool
}

// repeats are the routes of the configurations that a test puts.
var repeats = map[string]resolver.Repeat{"x": resolver.Resumable, "once": resolver.AtMostOnce}

func newBench() *bench {
	b := &bench{engine: &engine{started: time.Unix(1, 0), staged: make(map[int][]byte)}, origin: &origin{}}
	b.state = &observer.State{
		Decode: func(key string, v []byte) (*observer.Decision, error) {
			if key == "version" {
				return &observer.Decision{Target: &observer.Target{Model: "m", Version: int64(v[0] - '0')}}, nil
			}
			return &observer.Decision{Configuration: &resolver.Configuration{Revision: 1, Services: []resolver.Service{
				{Name: "s", Engine: &resolver.Engine{Model: "m", Slots: 1, Chunks: pieces, ChunkSize: pieceSize}},
				{Name: "o", Origin: originAddress, Domain: "a"},
			}, Routes: []resolver.Route{{Repeat: repeats[string(v)], Targets: []resolver.Target{{Service: "s", Weight: 1}}}}}}, nil
		},
		DecodeEndpoint: func(key string, _ []byte) (*observer.Endpoint, error) {
			return &observer.Endpoint{ID: key, Service: "s", Address: engineAddress, Domain: "a"}, nil
		},
		Now: time.Now, Log: zerolog.Nop(),
	}
	b.put("config", "x")
	b.state.ApplyEndpoints([]connector.Item{{Key: "e1", Value: []byte("x"), Offset: 1}}, true)
	replica := b.engine.replica()
	store := &distributor.Store{}
	self := distributor.Member{Instance: "127.0.0.2", FailureDomain: "a", Region: "r"}
	b.loader = &loader.Loader{
		Service: "s", Address: engineAddress, Within: 400 * time.Millisecond, State: b.state, Replica: replica,
		Reporter: &loader.Reporter{Replica: replica, Address: engineAddress, Send: b.take, Log: zerolog.Nop()},
		Digests: func(context.Context, string, int64) ([][32]byte, error) {
			return nil, errors.New("no peers")
		},
		Pieces: b.origin.pieces, Store: store, Log: zerolog.Nop(),
		NewFetcher: func(o *connector.Origin, _ string) *distributor.Fetcher {
			return &distributor.Fetcher{
				Self: self, OriginRegion: "r", Store: store, Origin: o, Client: distributor.NewClient(nil),
				Members: func() []distributor.Member { return []distributor.Member{self} }, MaxBackoff: 10 * time.Millisecond,
			}
		},
	}
	return b
}

func (b *bench) take(r dispatcher.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = b.closed || r.Closed
}

func (b *bench) put(key, v string) {
	b.offset++
	b.state.ApplyOperator([]connector.Item{{Key: key, Value: []byte(v), Offset: b.offset}}, false)
}

// run runs the loader until the engine serves the version.
func (b *bench) run(t *testing.T, version int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	g.Go(func() { _ = b.loader.Reporter.Run(ctx) })
	g.Go(func() { _ = b.loader.Run(ctx) })
	for ctx.Err() == nil {
		b.engine.mu.Lock()
		loaded := b.engine.loaded
		b.engine.mu.Unlock()
		if loaded == version {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("version %d was not loaded in time", version)
}

func (b *bench) checkWhole(t *testing.T) {
	t.Helper()
	b.engine.mu.Lock()
	defer b.engine.mu.Unlock()
	if !b.engine.whole {
		t.Error("the engine was ordered to load pieces that are not those of the version")
	}
}

// An empty engine is filled with the first version where none was named.
func TestEmptyEngine(t *testing.T) {
	b := newBench()
	b.run(t, 1)
	b.checkWhole(t)
}

// A spoilt piece of the origin must not reach the engine.
func TestSpoiltOrigin(t *testing.T) {
	b := newBench()
	b.origin.spoilt = 3
	b.put("version", "2")
	b.run(t, 2)
	b.checkWhole(t)
}

// Pieces that rot while they are staged must not be loaded.
func TestRotWhileStaged(t *testing.T) {
	b := newBench()
	rot := 0
	b.engine.beforeRead = func(staged map[int][]byte) {
		// All pieces were staged and read back once; this is the read before the order.
		if b.engine.reads > 2*pieces && rot < 2 && len(staged) == pieces {
			rot++
			staged[rot][9]++
		}
	}
	b.run(t, 1)
	b.checkWhole(t)
	if rot == 0 {
		t.Error("no piece rotted")
	}
}

// An engine that restarts under its name holds nothing, and is filled again from
// what is still staged, not from the origin.
func TestRestartedEngine(t *testing.T) {
	b := newBench()
	b.run(t, 1)
	sent := b.origin.sent
	b.engine.mu.Lock()
	b.engine.started, b.engine.loaded, b.engine.orders = time.Unix(2, 0), 0, 0
	b.engine.mu.Unlock()
	b.run(t, 1)
	b.checkWhole(t)
	if b.origin.sent != sent {
		t.Errorf("the origin sent %d pieces again", b.origin.sent-sent)
	}
}

// The gateways must learn that an engine is about to load before it is ordered to.
func TestClosedBeforeLoad(t *testing.T) {
	b := newBench()
	b.run(t, 1)
	b.closed = false
	b.put("version", "2")
	b.run(t, 2)
	if !b.closed {
		t.Error("no report told that the engine was about to load")
	}
	if !slices.Equal(b.engine.loads, []int64{1, 2}) {
		t.Errorf("loads %v", b.engine.loads)
	}
}

// Streams that can be resumed elsewhere are cut where they keep an engine from
// loading for long; those that can't are never cut.
func TestCutStreams(t *testing.T) {
	for configuration, want := range map[string]bool{"x": true, "once": false} {
		b := newBench()
		b.put("config", configuration)
		b.run(t, 1)
		b.engine.mu.Lock()
		b.engine.active = 3
		b.engine.mu.Unlock()
		b.put("version", "2")
		b.run(t, 2)
		if b.engine.cut != want {
			t.Errorf("configuration %s: cut %t", configuration, b.engine.cut)
		}
	}
}

// An engine without streams is not cut.
func TestIdleEngineIsNotCut(t *testing.T) {
	b := newBench()
	b.run(t, 1)
	b.put("version", "2")
	b.run(t, 2)
	if b.engine.cut {
		t.Error("cut")
	}
}

// The origin takes a few dozen connections. An instance whose peers are about to
// know a version must not ask the origin for its digests.
func TestWaitsForPeers(t *testing.T) {
	b := newBench()
	asked := 0
	b.loader.Digests = func(context.Context, string, int64) ([][32]byte, error) {
		if asked++; asked <= 3 {
			return nil, &loader.Error{Op: "ask", Kind: classifier.Refused, Err: errors.New("soon")}
		}
		var d [][32]byte
		for n := range pieces {
			d = append(d, sha256.Sum256(weights(1, n)))
		}
		return d, nil
	}
	b.origin.noManifest = true
	b.run(t, 1)
	b.checkWhole(t)
}

// A manifest that the origin spoilt on its way names a piece that nobody has: the
// engine would stay empty, and so would the peers that learn from this instance.
func TestSpoiltManifest(t *testing.T) {
	b := newBench()
	b.origin.spoiltManifest = 1
	b.run(t, 1)
	b.checkWhole(t)
}
