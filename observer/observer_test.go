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

// A source that is behind must not take a decision back.
func TestTableNeverGoesBack(t *testing.T) {
	var b observer.Table
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 7)}, Next: 8})
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 3), value("b", "1", 2)}, Next: 4})
	if s := content(&b); s != "a=2 b=1" || b.Next() != 8 {
		t.Errorf("%s next %d", s, b.Next())
	}
	b.Apply(connector.Changes{Items: []connector.Item{{Key: "a", Offset: 9}}, Next: 10})
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 7)}, Next: 8})
	if s := content(&b); s != "b=1" {
		t.Errorf("a dropped key is back: %s", s)
	}
}

// A whole table drops the keys that it doesn't have, but not those that are newer.
func TestTableWhole(t *testing.T) {
	var b observer.Table
	b.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 1), value("b", "1", 9)}, Next: 10})
	b.Apply(connector.Changes{Items: []connector.Item{value("c", "1", 4)}, Next: 6, Full: true})
	if s := content(&b); s != "b=1 c=1" {
		t.Error(s)
	}
}

// A gateway that is cut from the platform learns from its peers, and its own
// knowledge stays where they know less.
func TestFollowerFallsBack(t *testing.T) {
	var peer, own observer.Table
	peer.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 5)}, Next: 6})
	own.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 3)}, Next: 4})
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
		Changed: func(fresh []connector.Item, first bool) {
			if len(fresh) > 0 && !first {
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

// Two gateways that are cut off must not go on asking each other while a third one
// knows more.
func TestStalePeersAskEachOther(t *testing.T) {
	var own, stale, fresh observer.Table
	old := connector.Changes{Items: []connector.Item{value("a", "1", 3)}, Next: 4, Age: 10 * time.Second}
	own.Apply(old)
	stale.Apply(old)
	fresh.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 5)}, Next: 6})
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
		Changed: func(items []connector.Item, _ bool) {
			if len(items) > 0 {
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

// clock is a State with a clock that a test moves.
type clock struct {
	now time.Time
	*observer.State
}

func newClock() *clock {
	c := &clock{now: time.Unix(1000, 0)}
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

// An entry that lapsed while the platform was away is back within two seconds of
// its return, if the endpoint lives. Without an outage it is gone at once.
func TestLapsedEntries(t *testing.T) {
	c := newClock()
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

// An endpoint that leaves after the return of the platform didn't lapse in the outage.
// Kept like one that did, it got requests later than its time to drain.
func TestLeaveAfterOutage(t *testing.T) {
	c := newClock()
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

// What peers tell while the platform doesn't answer may have lapsed, until the
// platform itself answers.
func TestLapsedAtPeers(t *testing.T) {
	c := newClock()
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

// An entry that another writer spoilt names no endpoint; the others hold.
func TestSpoiltEntry(t *testing.T) {
	c := newClock()
	c.ApplyEndpoints([]connector.Item{value("e1", "x", 1), value("e2", "x", 2)}, true)
	c.ApplyEndpoints([]connector.Item{value("e1", "bad", 3)}, true)
	if m := c.Endpoints(); len(m) != 1 || m["e2"] == nil {
		t.Errorf("%v", m)
	}
}

// A malformed configuration changes nothing, and a lower revision never replaces a
// higher one.
func TestConfigurationStays(t *testing.T) {
	c := newClock()
	c.ApplyOperator([]connector.Item{value("config", "5", 1)}, true)
	c.ApplyOperator([]connector.Item{value("config", "x", 2)}, false)
	c.ApplyOperator([]connector.Item{value("config", "3", 3)}, false)
	if r := c.Table().Configuration.Revision; r != 5 {
		t.Errorf("revision %d", r)
	}
	c.ApplyOperator([]connector.Item{value("out", "a", 4)}, false)
	c.ApplyOperator([]connector.Item{{Key: "out", Offset: 5}}, false)
	if m := c.Evacuated(); len(m) != 0 {
		t.Errorf("a failure domain that was taken back is out: %v", m)
	}
}

// Each version is due from its own naming on. What was named before the start of
// the process may be due already.
func TestTargetFloor(t *testing.T) {
	const grace = 7 * time.Second
	c := newClock()
	c.ApplyOperator([]connector.Item{value("m", "1", 1)}, true)
	if n := c.Target("m", grace); n.Floor != 1 || n.Version != 1 {
		t.Errorf("at the start: %+v", n)
	}
	c.ApplyOperator([]connector.Item{value("m", "2", 2)}, false)
	c.now = c.now.Add(4 * time.Second)
	c.ApplyOperator([]connector.Item{value("m", "3", 3)}, false)
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
