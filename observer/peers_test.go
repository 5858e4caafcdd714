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

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// peer serves a table and can be made to fail.
type peer struct {
	address netip.AddrPort
	down    atomic.Bool
	reads   atomic.Int32
	table   observer.Table
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	p := new(peer)
	p.table.Apply(connector.Changes{Items: []connector.Item{value("a", "long", 1)}, Next: 2, Age: time.Hour})
	mux := http.NewServeMux()
	mux.Handle("GET /v1/tables/{name}", &observer.Handler{
		Tables: map[string]*observer.Table{"t": &p.table},
		Views: map[string]*observer.View{"v": {Table: &p.table, Shorten: func(_ string, b []byte) []byte {
			p.reads.Add(1)
			return b[:1]
		}}},
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, q)
	}))
	t.Cleanup(s.Close)
	p.address = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return p
}

// Processes that stay with far peers after a failure of the near one fill the links
// between regions with each change.
func TestFailedPeerIsAskedAgain(t *testing.T) {
	near, far := newPeer(t), newPeer(t)
	far.table.Apply(connector.Changes{Items: []connector.Item{value("a", "far", 2)}, Next: 3})
	now := time.Unix(1000, 0)
	r := &observer.PeerReader{
		Table: "t", Client: http.DefaultClient, Now: func() time.Time { return now },
		Peers: func() []netip.AddrPort { return []netip.AddrPort{near.address, far.address} },
	}
	read := func() string {
		c, err := r.Read(context.Background(), 0, 0)
		if err != nil {
			return "failed"
		}
		return string(c.Items[0].Value)
	}
	for i, s := range []struct {
		down  bool
		after time.Duration
		want  string
	}{
		{down: true, want: "failed"},
		{down: true, want: "far"},
		{down: true, after: time.Second, want: "failed"},
		{down: false, after: time.Second, want: "far"},
		{down: false, after: time.Second, want: "long"},
		{down: false, want: "long"},
	} {
		now = now.Add(s.after)
		near.down.Store(s.down)
		if got := read(); got != s.want {
			t.Errorf("read %d: %s in place of %s", i, got, s.want)
		}
	}
}

// While the platform is away all peers are stale. Readers that don't wait for news there
// would ask them as fast as they can.
func TestStalePeersAreNotPolled(t *testing.T) {
	stale := connector.Changes{Items: []connector.Item{value("a", "1", 3)}, Next: 4, Age: 10 * time.Second}
	a, b := newPeer(t), newPeer(t)
	a.table.Apply(stale)
	b.table.Apply(stale)
	now := time.Now()
	r := &observer.PeerReader{
		Table: "t", Client: http.DefaultClient, Now: func() time.Time { return now },
		Peers: func() []netip.AddrPort { return []netip.AddrPort{a.address, b.address} },
	}
	const reads, wait = 6, 30 * time.Millisecond
	began := time.Now()
	for range reads {
		if _, err := r.Read(context.Background(), 4, wait); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(began); d < reads*wait {
		t.Errorf("%d reads in %s", reads, d)
	}
}

// Readers of a view must not get the whole of each record, nor make it anew for each
// of them.
func TestViewIsShort(t *testing.T) {
	p := newPeer(t)
	r := &observer.PeerReader{
		Table: "v", Client: http.DefaultClient, Now: time.Now,
		Peers: func() []netip.AddrPort { return []netip.AddrPort{p.address} },
	}
	for range 3 {
		c, err := r.Read(context.Background(), 0, 0)
		if err != nil || len(c.Items) != 1 || string(c.Items[0].Value) != "l" || c.Next != 2 {
			t.Fatalf("%+v %v", c, err)
		}
	}
	if n := p.reads.Load(); n != 1 {
		t.Errorf("shortened %d times", n)
	}
	if s := content(&p.table); s != "a=long" {
		t.Errorf("the table itself has %s", s)
	}
}
