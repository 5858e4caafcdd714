package observer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

func value(key, v string, offset uint64) connector.Item {
	return connector.Item{Key: key, Value: []byte(v), Offset: offset}
}

func content(t *observer.Table) string {
	m := make(map[string]string)
	for _, i := range t.Since(0).Items {
		if i.Value != nil {
			m[i.Key] = string(i.Value)
		}
	}
	var out []string
	for _, k := range []string{"a", "b", "c"} {
		if v, ok := m[k]; ok {
			out = append(out, k+"="+v)
		}
	}
	return strings.Join(out, " ")
}

// A read from a source that lags behind must not replace newer records.
func TestTableNeverGoesBack(t *testing.T) {
	var b observer.Table
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 7)}, Next: 8}, timekeeper.Now())
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 3), value("b", "1", 2)}, Next: 4}, timekeeper.Now())
	if s := content(&b); s != "a=2 b=1" || b.Next() != 8 {
		t.Errorf("%s next %d", s, b.Next())
	}
	b.Apply(connector.Changes{Items: []connector.Item{{Key: "a", Offset: 9}}, Next: 10}, timekeeper.Now())
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 7)}, Next: 8}, timekeeper.Now())
	if s := content(&b); s != "b=1" {
		t.Errorf("a dropped key is back: %s", s)
	}
}

// A full read must delete the keys that it lacks, except those with newer records.
func TestTableWhole(t *testing.T) {
	var b observer.Table
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 1), value("b", "1", 9)}, Next: 10}, timekeeper.Now())
	b.Apply(connector.Changes{Items: []connector.Item{value("c", "1", 4)}, Next: 6, Full: true}, timekeeper.Now())
	if s := content(&b); s != "b=1 c=1" {
		t.Error(s)
	}
}

// A gateway that is cut off from the platform must read from its peers, and keep its
// own records where theirs are older.
func TestFollowerFallsBack(t *testing.T) {
	var peer, own observer.Table
	peer.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 5)}, Next: 6}, timekeeper.Now())
	own.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 3)}, Next: 4}, timekeeper.Now())
	mux := http.NewServeMux()
	mux.Handle("GET /v1/tables/{name}", &observer.Handler{Tables: map[string]*observer.Table{"t": &peer}})
	s := httptest.NewServer(mux)
	defer s.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	var failed atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	f := &observer.Follower{
		Name: "t", Table: &own, Log: zerolog.Nop(), Pace: time.Millisecond,
		Sources: []observer.Source{
			{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
				return connector.Changes{}, errors.New("away")
			}},
			{Name: "peers", Read: (&observer.PeerReader{Table: "t", Client: http.DefaultClient, Peers: func() []netip.AddrPort { return []netip.AddrPort{address} }, Now: time.Now}).Read},
		},
		Failed: func() { failed.Add(1) },
		Changed: func(u observer.Update) {
			if len(u.Fresh) > 0 && !u.First {
				cancel()
			}
		},
	}
	done := time.AfterFunc(5*time.Second, cancel)
	defer done.Stop()
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if c := content(&own); c != "a=2" || failed.Load() == 0 {
		t.Errorf("%s after %d failures", c, failed.Load())
	}
}

// Two gateways that are cut off from the platform must not keep reading from each other
// while a third one has newer records.
func TestStalePeersAskEachOther(t *testing.T) {
	var own, stale, fresh observer.Table
	old := connector.Changes{Items: []connector.Item{value("a", "1", 3)}, Next: 4, Age: 10 * time.Second}
	own.Apply(old, timekeeper.Now())
	stale.Apply(old, timekeeper.Now())
	fresh.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 5)}, Next: 6}, timekeeper.Now())
	var peers []netip.AddrPort
	for _, b := range []*observer.Table{&stale, &fresh} {
		mux := http.NewServeMux()
		mux.Handle("GET /v1/tables/{name}", &observer.Handler{Tables: map[string]*observer.Table{"t": b}})
		s := httptest.NewServer(mux)
		defer s.Close()
		peers = append(peers, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f := &observer.Follower{
		Name: "t", Table: &own, Log: zerolog.Nop(), Pace: time.Millisecond, Wait: time.Second,
		Sources: []observer.Source{
			{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
				return connector.Changes{}, errors.New("away")
			}},
			{Name: "peers", Read: (&observer.PeerReader{Table: "t", Client: http.DefaultClient, Peers: func() []netip.AddrPort { return peers }, Now: time.Now}).Read},
		},
		Changed: func(u observer.Update) {
			if len(u.Fresh) > 0 {
				cancel()
			}
		},
	}
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if c := content(&own); c != "a=2" {
		t.Errorf("%s", c)
	}
}

// stateWithClock is a State with a clock that the test advances.
type stateWithClock struct {
	now time.Time
	*observer.State
}

func newStateWithClock() *stateWithClock {
	c := &stateWithClock{now: time.Unix(1000, 0)}
	c.State = &observer.State{
		Decode: func(key string, v []byte) (*observer.Decision, error) {
			switch key {
			case "config":
				if len(v) == 0 || v[0] == 'x' {
					return nil, errors.New("malformed")
				}
				return &observer.Decision{Configuration: &resolver.Configuration{Revision: uint64(v[0] - '0')}}, nil
			case "out":
				return &observer.Decision{Evacuated: string(v)}, nil
			}
			return &observer.Decision{Target: &observer.Target{Model: key, Version: int64(v[0] - '0')}}, nil
		},
		DecodeEndpoint: func(key string, v []byte) (*observer.Endpoint, error) {
			if string(v) == "bad" {
				return nil, errors.New("malformed")
			}
			return &observer.Endpoint{ID: key}, nil
		},
		Now: func() time.Time { return c.now }, Log: zerolog.Nop(),
	}
	return c
}

// An entry that expires during an outage of the platform is renewed within two seconds
// after it if the endpoint is alive, so the endpoint must be kept until then. An entry
// that is deleted without an outage must be removed at once.
func TestLapsedEntries(t *testing.T) {
	c := newStateWithClock()
	c.ApplyEndpoints([]connector.Item{value("e1", "x", 1), value("e2", "x", 2)}, true)
	c.ApplyEndpoints([]connector.Item{{Key: "e1", Offset: 3}}, true)
	if len(c.Endpoints()) != 1 {
		t.Fatal("an endpoint whose entry was dropped is still listed")
	}
	c.ListFailed()
	c.now = c.now.Add(time.Second)
	c.ApplyEndpoints([]connector.Item{{Key: "e2", Offset: 4}}, true)
	if len(c.Endpoints()) != 1 {
		t.Fatal("an entry that lapsed in an outage was dropped at once")
	}
	c.now = c.now.Add(950 * time.Millisecond)
	c.ExpireEndpoints()
	if len(c.Endpoints()) != 0 {
		t.Fatal("an entry that did not come back is still listed")
	}
}

// An endpoint that leaves after an outage must be removed at once. If it is kept like
// one whose entry expired in the outage, it gets requests after its drain time.
func TestLeaveAfterOutage(t *testing.T) {
	c := newStateWithClock()
	c.ApplyEndpoints([]connector.Item{value("e1", "x", 1), value("e2", "x", 2)}, true)
	c.ListFailed()
	c.now = c.now.Add(500 * time.Millisecond)
	c.ApplyEndpoints(nil, true)
	c.now = c.now.Add(700 * time.Millisecond)
	c.ApplyEndpoints([]connector.Item{{Key: "e1", Offset: 3}}, true)
	if m := c.Endpoints(); len(m) != 1 || m["e2"] == nil {
		t.Errorf("listed after the leave of e1: %v", m)
	}
}

// A deletion that is read from peers while the platform is unavailable may be an entry
// that expired in the outage, so the endpoint must be kept until the platform responds.
func TestLapsedAtPeers(t *testing.T) {
	c := newStateWithClock()
	c.ApplyEndpoints([]connector.Item{value("e1", "x", 1)}, true)
	c.ListFailed()
	c.ApplyEndpoints(nil, false)
	c.ApplyEndpoints([]connector.Item{{Key: "e1", Offset: 3}}, false)
	if len(c.Endpoints()) != 1 {
		t.Error("an entry that lapsed in an outage was dropped at once")
	}
	c.ApplyEndpoints([]connector.Item{value("e1", "x", 4)}, true)
	c.now = c.now.Add(3 * time.Second)
	c.ExpireEndpoints()
	if len(c.Endpoints()) != 1 {
		t.Error("an entry that came back was dropped")
	}
}

// A malformed entry must remove its own endpoint and no other.
func TestSpoiltEntry(t *testing.T) {
	c := newStateWithClock()
	c.ApplyEndpoints([]connector.Item{value("e1", "x", 1), value("e2", "x", 2)}, true)
	c.ApplyEndpoints([]connector.Item{value("e1", "bad", 3)}, true)
	if m := c.Endpoints(); len(m) != 1 || m["e2"] == nil {
		t.Errorf("%v", m)
	}
}

// A malformed configuration and one with a lower revision must not replace the current
// one. The deletion of a record must end the evacuation of its failure domain.
func TestConfigurationStays(t *testing.T) {
	c := newStateWithClock()
	c.ApplyOperator([]connector.Item{value("config", "5", 1)}, time.Time{})
	c.ApplyOperator([]connector.Item{value("config", "x", 2)}, c.now)
	c.ApplyOperator([]connector.Item{value("config", "3", 3)}, c.now)
	if r := c.Table().Configuration.Revision; r != 5 {
		t.Errorf("revision %d", r)
	}
	c.ApplyOperator([]connector.Item{value("out", "a", 4)}, c.now)
	c.ApplyOperator([]connector.Item{{Key: "out", Offset: 5}}, c.now)
	if m := c.Evacuated(); len(m) != 0 {
		t.Errorf("a failure domain that was taken back is out: %v", m)
	}
}

// The grace period of a target version must start when the process learns of that
// version, not of a newer one. A version of the first read may have been the target for
// long, so it has no grace period.
func TestTargetFloor(t *testing.T) {
	const grace = 7 * time.Second
	c := newStateWithClock()
	c.ApplyOperator([]connector.Item{value("m", "1", 1)}, time.Time{})
	if n := c.Target("m", grace); n.Floor != 1 || n.Version != 1 {
		t.Errorf("at the start: %+v", n)
	}
	c.ApplyOperator([]connector.Item{value("m", "2", 2)}, c.now)
	c.now = c.now.Add(4 * time.Second)
	c.ApplyOperator([]connector.Item{value("m", "3", 3)}, c.now)
	if n := c.Target("m", grace); n.Floor != 1 || n.Version != 3 {
		t.Errorf("after 4 s: %+v", n)
	}
	c.now = c.now.Add(3 * time.Second)
	if n := c.Target("m", grace); n.Floor != 2 {
		t.Errorf("after 7 s: %+v", n)
	}
	c.now = c.now.Add(4 * time.Second)
	if n := c.Target("m", grace); n.Floor != 3 {
		t.Errorf("after 11 s: %+v", n)
	}
}
