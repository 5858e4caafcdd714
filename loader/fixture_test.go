package loader_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
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

// alike names, for each version, the one whose weights it shares, from the piece with the number on.
type alike map[int64]struct {
	version int64
	from    int
}

func (a alike) weights(version int64, piece int) []byte {
	if o, ok := a[version]; ok && piece >= o.from {
		return weights(o.version, piece)
	}
	return weights(version, piece)
}

// engine is a fake model engine that loads whatever is staged, without verifying it.
type engine struct {
	mu      sync.Mutex
	started time.Time
	staged  map[int][]byte
	// loaded is the last ordered version; whole reports whether all its pieces were
	// right when it was ordered.
	loaded int64
	whole  bool
	orders int64
	// beforeRead, if set, is called with the staged pieces before each read of one.
	beforeRead func(staged map[int][]byte)
	loads      []int64
	alike      alike
	// active is the number of running streams; cut reports whether the last load cut
	// them.
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
		Staged: func(_ context.Context, _ string, n int, _ int64) ([]byte, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
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
				if sha256.Sum256(e.staged[n]) != sha256.Sum256(e.alike.weights(version, n)) {
					e.whole = false
				}
			}
			return nil
		},
	}
}

// origin is a fake origin that can corrupt what it sends.
type origin struct {
	mu sync.Mutex
	// corruptPieces is the number of pieces still to be corrupted.
	corruptPieces int
	sent          int
	// first is when the first piece was sent.
	first time.Time
	// noManifest makes requests for manifests fail.
	noManifest bool
	// corruptManifests is the number of manifests still to be sent with a wrong digest.
	corruptManifests int
	// silentManifests is the number of requests for manifests still to stay unanswered.
	silentManifests int
	alike           alike
	// oldest is the oldest version that the origin still sends.
	oldest int64
	// onRequest, if set, is called with each request for a piece, or for a manifest if there is none.
	onRequest func(ctx context.Context, piece *int) error
}

func (o *origin) pieces(netip.AddrPort) *connector.Pieces {
	return &connector.Pieces{
		Manifest: func(ctx context.Context, _ string, version int64) ([][32]byte, error) {
			if err := o.respond(ctx, nil); err != nil {
				return nil, err
			}
			if o.noManifest {
				return nil, errors.New("too many connections")
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			if o.silentManifests > 0 {
				o.silentManifests--
				<-ctx.Done()
				return nil, ctx.Err()
			}
			var d [][32]byte
			for n := range pieces {
				d = append(d, sha256.Sum256(o.alike.weights(version, n)))
			}
			if o.corruptManifests > 0 {
				o.corruptManifests--
				d[2][3]++
			}
			return d, nil
		},
		Piece: func(ctx context.Context, _ string, version int64, n int) (io.ReadCloser, int64, error) {
			if err := o.respond(ctx, &n); err != nil {
				return nil, 0, err
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			if version < o.oldest {
				return nil, 0, errors.Newf("version %d is gone", version)
			}
			if o.sent++; o.sent == 1 {
				o.first = time.Now()
			}
			b := o.alike.weights(version, n)
			if o.corruptPieces > 0 {
				o.corruptPieces--
				b[5]++
			}
			return io.NopCloser(bytes.NewReader(b)), int64(len(b)), nil
		},
	}
}

// respond calls the function that decides whether the origin responds to a request, if there is one. The
// piece is nil for a manifest.
func (o *origin) respond(ctx context.Context, piece *int) error {
	o.mu.Lock()
	f := o.onRequest
	o.mu.Unlock()
	if f == nil {
		return nil
	}
	return f(ctx, piece)
}

// fixture is a loader with a fake engine, a fake origin and no peers.
type fixture struct {
	engine *engine
	origin *origin
	// others holds the origins at other addresses.
	others map[netip.AddrPort]*origin
	state  *observer.State
	loader *loader.Loader
	offset uint64
	mu     sync.Mutex
	closed bool
	last   dispatcher.Report
}

// repeats holds the retry mode of the route in each configuration that a test puts. After an @ the
// configuration may have the address and the failure domain of the origin, or nothing for no origin.
var repeats = map[string]resolver.Repeat{"x": resolver.Resumable, "once": resolver.AtMostOnce}

// originService returns the service of the origin in a configuration with the text after the @.
func originService(place string) []resolver.Service {
	if place == "" {
		return nil
	}
	address, domain, _ := strings.Cut(place, "/")
	return []resolver.Service{{Name: "o", Origin: netip.MustParseAddrPort(address), Domain: domain}}
}

func newFixture() *fixture {
	f := &fixture{engine: &engine{started: time.Unix(1, 0), staged: make(map[int][]byte)}, origin: &origin{}}
	f.state = &observer.State{
		Decode: func(key string, v []byte) (*observer.Decision, error) {
			if key == "version" {
				return &observer.Decision{Target: &observer.Target{Model: "m", Version: int64(v[0] - '0')}}, nil
			}
			repeat, place, named := strings.Cut(string(v), "@")
			if !named {
				place = originAddress.String() + "/a"
			}
			return &observer.Decision{Configuration: &resolver.Configuration{Revision: 1, Services: append([]resolver.Service{
				{Name: "s", Engine: &resolver.Engine{Model: "m", Slots: 1, Chunks: pieces, ChunkSize: pieceSize}},
			}, originService(place)...), Routes: []resolver.Route{{Repeat: repeats[repeat], Targets: []resolver.Target{{Service: "s", Weight: 1}}}}}}, nil
		},
		DecodeEndpoint: func(key string, _ []byte) (*observer.Endpoint, error) {
			return &observer.Endpoint{ID: key, Service: "s", Address: engineAddress, Domain: "a"}, nil
		},
		Now: timekeeper.Now, Log: zerolog.Nop(),
	}
	f.put("config", "x")
	f.state.ApplyEndpoints([]connector.Item{{Key: "e1", Value: []byte("x"), Offset: 1}}, true)
	replica := f.engine.replica()
	store := &distributor.Store{}
	self := distributor.Member{Instance: "127.0.0.2", FailureDomain: "a", Region: "r"}
	f.loader = &loader.Loader{
		Service: "s", Address: engineAddress, MaxVersionDelay: 400 * time.Millisecond, State: f.state, Replica: replica,
		Reporter: &loader.Reporter{Replica: replica, Address: engineAddress, Send: f.take, Log: zerolog.Nop()},
		Digests: func(context.Context, string, int64) ([][32]byte, error) {
			return nil, errors.New("no peers")
		},
		Pieces: func(a netip.AddrPort) *connector.Pieces {
			if o := f.others[a]; o != nil {
				return o.pieces(a)
			}
			return f.origin.pieces(a)
		},
		Store: store, Log: zerolog.Nop(),
		NewFetcher: func(o *connector.Origin, _ string) *distributor.Fetcher {
			return &distributor.Fetcher{
				Self: self, OriginRegion: "r", Store: store, Origin: o, Client: distributor.NewClient(nil),
				Members: func() []distributor.Member { return []distributor.Member{self} }, MaxBackoff: 10 * time.Millisecond,
			}
		},
	}
	return f
}

func (f *fixture) take(r dispatcher.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = f.closed || r.Closed
	f.last = r
}

func (f *fixture) lastReport() dispatcher.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

func (f *fixture) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

func (f *fixture) put(key, v string) {
	f.offset++
	f.state.ApplyOperator([]connector.Item{{Key: key, Value: []byte(v), Offset: f.offset}}, timekeeper.Now())
}

// run runs the loader until the engine has loaded the version.
func (f *fixture) run(t *testing.T, version int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	g.Go(func() { _ = f.loader.Reporter.Run(ctx) })
	g.Go(func() { _ = f.loader.Run(ctx) })
	for ctx.Err() == nil {
		f.engine.mu.Lock()
		loaded := f.engine.loaded
		f.engine.mu.Unlock()
		if loaded == version {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("version %d was not loaded in time", version)
}

func (f *fixture) checkLoadedPieces(t *testing.T) {
	t.Helper()
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	if !f.engine.whole {
		t.Error("the engine was ordered to load a version with wrong pieces staged")
	}
}
