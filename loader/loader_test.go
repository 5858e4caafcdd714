package loader_test

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// An empty engine must load version 1 if the operators set no target.
func TestEmptyEngine(t *testing.T) {
	f := newFixture()
	f.run(t, 1)
	f.checkLoadedPieces(t)
}

// A piece that the origin sends corrupt must not reach the engine.
func TestCorruptOriginPiece(t *testing.T) {
	f := newFixture()
	f.origin.corruptPieces = 3
	f.put("version", "2")
	f.run(t, 2)
	f.checkLoadedPieces(t)
}

// Pieces that become corrupt while they are staged must not be loaded.
func TestCorruptionWhileStaged(t *testing.T) {
	f := newFixture()
	corrupted := 0
	f.engine.beforeRead = func(staged map[int][]byte) {
		// Once the engine is closed, this is the read-back right before the order.
		if f.isClosed() && corrupted < 2 && len(staged) == pieces {
			corrupted++
			staged[corrupted][9]++
		}
	}
	f.run(t, 1)
	f.checkLoadedPieces(t)
	if corrupted == 0 {
		t.Error("no piece was corrupted")
	}
}

// A piece that becomes corrupt in a pause between its check and the order must not be loaded.
func TestCorruptionInPause(t *testing.T) {
	f := newFixture()
	reads := 0
	f.engine.beforeRead = func(staged map[int][]byte) {
		if !f.isClosed() || len(staged) < pieces {
			return
		}
		if reads++; reads == pieces {
			time.Sleep(3 * time.Second)
			staged[0][9]++
		}
	}
	f.run(t, 1)
	f.checkLoadedPieces(t)
	if reads < pieces {
		t.Error("no piece was corrupted")
	}
}

// An engine that restarts has nothing loaded. It must be loaded again from the pieces
// that are still staged, not from the origin.
func TestRestartedEngine(t *testing.T) {
	f := newFixture()
	f.run(t, 1)
	sent := f.origin.sent
	f.engine.mu.Lock()
	f.engine.started, f.engine.loaded, f.engine.orders = time.Unix(2, 0), 0, 0
	f.engine.mu.Unlock()
	f.run(t, 1)
	f.checkLoadedPieces(t)
	if f.origin.sent != sent {
		t.Errorf("the origin sent %d pieces again, want 0", f.origin.sent-sent)
	}
}

// The gateways must be told that an engine is about to load before the load is ordered.
func TestClosedBeforeLoad(t *testing.T) {
	f := newFixture()
	f.run(t, 1)
	f.closed = false
	f.put("version", "2")
	f.run(t, 2)
	if !f.closed {
		t.Error("no report told that the engine was about to load")
	}
	if !slices.Equal(f.engine.loads, []int64{1, 2}) {
		t.Errorf("loaded versions %v, want [1 2]", f.engine.loads)
	}
}

// Streams that can resume at another engine must be cut if they delay a load for long;
// those that can't must never be cut.
func TestCutStreams(t *testing.T) {
	for configuration, want := range map[string]bool{"x": true, "once": false} {
		f := newFixture()
		f.put("config", configuration)
		f.run(t, 1)
		f.engine.mu.Lock()
		f.engine.active = 3
		f.engine.mu.Unlock()
		f.put("version", "2")
		f.run(t, 2)
		if f.engine.cut != want {
			t.Errorf("configuration %s: cut %t", configuration, f.engine.cut)
		}
	}
}

// A load of an engine without running streams must not be ordered with cut.
func TestIdleEngineIsNotCut(t *testing.T) {
	f := newFixture()
	f.run(t, 1)
	f.put("version", "2")
	f.run(t, 2)
	if f.engine.cut {
		t.Error("cut")
	}
}

// An instance must fetch while its engine is still starting: the engines of added instances
// came up a second after their agents. One whose engine has the pieces must not.
func TestFetchBeforeEngineRuns(t *testing.T) {
	for _, c := range []struct {
		name string
		// delay is the time until the engine responds, staged whether it has the pieces, and
		// age the time since another engine started that serves the version.
		delay  time.Duration
		staged bool
		age    time.Duration
		// early is whether the pieces must be fetched before the engine responds.
		early bool
		sent  int
	}{
		{"added instance", time.Second, false, time.Minute, true, pieces},
		{"engine with pieces", 50 * time.Millisecond, true, time.Minute, false, 0},
		{"start of the fleet", time.Second, true, 2 * time.Second, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			report := f.loader.Replica.Report
			f.loader.Domain = "a"
			f.state.DecodeEndpoint = func(key string, _ []byte) (*observer.Endpoint, error) {
				return &observer.Endpoint{
					ID: key, Service: "s", Domain: "a", Versions: map[string]int64{"m": 1}, Started: time.Now().Add(-c.age),
				}, nil
			}
			f.state.ApplyEndpoints([]connector.Item{{Key: "e1", Value: []byte("y"), Offset: 2}}, true)
			began := time.Now()
			f.loader.Replica.Report = func(ctx context.Context) (connector.ReplicaReport, error) {
				if time.Since(began) < c.delay {
					return connector.ReplicaReport{}, errors.New("connection refused")
				}
				return report(ctx)
			}
			if c.staged {
				for n := range pieces {
					f.engine.staged[n] = weights(1, n)
				}
			}
			f.run(t, 1)
			f.checkLoadedPieces(t)
			if early := f.origin.first.Sub(began) < c.delay; f.origin.sent > 0 && early != c.early {
				t.Errorf("fetched before the engine responded: %t", early)
			}
			if f.origin.sent != c.sent {
				t.Errorf("the origin sent %d pieces, want %d", f.origin.sent, c.sent)
			}
			if d := time.Since(began); d > c.delay+700*time.Millisecond {
				t.Errorf("loaded after %s", d)
			}
		})
	}
}

// The origin accepts only a few dozen connections. An instance whose peers are about to
// know a version must not ask the origin for its digests.
func TestWaitsForPeers(t *testing.T) {
	f := newFixture()
	asked := 0
	f.loader.Digests = func(context.Context, string, int64) ([][32]byte, error) {
		if asked++; asked <= 3 {
			return nil, &loader.Error{Op: "ask", Kind: classifier.Refused, Err: errors.New("soon")}
		}
		var d [][32]byte
		for n := range pieces {
			d = append(d, sha256.Sum256(weights(1, n)))
		}
		return d, nil
	}
	f.origin.noManifest = true
	f.run(t, 1)
	f.checkLoadedPieces(t)
}

// A manifest that arrives corrupt from the origin has a digest that no piece matches: the
// engine would stay empty, and so would the peers that learn from this instance.
func TestCorruptManifest(t *testing.T) {
	f := newFixture()
	f.origin.corruptManifests = 1
	f.run(t, 1)
	f.checkLoadedPieces(t)
}

// An origin that accepts a request for a manifest and never responds must not hold up the
// instance: it didn't even try later versions.
func TestSilentOriginManifest(t *testing.T) {
	f := newFixture()
	f.origin.silentManifests = 1
	f.run(t, 1)
	f.checkLoadedPieces(t)
}

// Guards against an instance that waits for a silent origin while other instances have learned
// the digests: it began to fetch a version 1.4 s after the others.
func TestPeersBesideSilentOrigin(t *testing.T) {
	f := newFixture()
	f.origin.silentManifests = 100
	var asked atomic.Int64
	f.loader.Digests = func(context.Context, string, int64) ([][32]byte, error) {
		if asked.Add(1) <= 2 {
			return nil, errors.New("not yet")
		}
		var d [][32]byte
		for n := range pieces {
			d = append(d, sha256.Sum256(weights(1, n)))
		}
		return d, nil
	}
	began := time.Now()
	f.run(t, 1)
	f.checkLoadedPieces(t)
	if d := time.Since(began); d > time.Second {
		t.Errorf("loaded after %s", d)
	}
}
