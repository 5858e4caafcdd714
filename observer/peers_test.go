package observer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// peer is a server of a table that can be made to fail.
type peer struct {
	address netip.AddrPort
	down    atomic.Bool
	reads   atomic.Int32
	table   observer.Table
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	p := new(peer)
	p.table.Apply(connector.Changes{Items: []connector.Item{value("a", "long", 1)}, Next: 2, Age: time.Hour}, timekeeper.Now())
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
			http.Error(w, "down", http.StatusBadGateway)
			return
		}
		mux.ServeHTTP(w, q)
	}))
	t.Cleanup(s.Close)
	p.address = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return p
}

// After a failure of the nearest peer a reader must return to it. Otherwise each change
// is sent over the links between regions, and they fill up.
func TestFailedPeerIsAskedAgain(t *testing.T) {
	near, far := newPeer(t), newPeer(t)
	far.table.Apply(connector.Changes{Items: []connector.Item{value("a", "far", 2)}, Next: 3}, timekeeper.Now())
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
			t.Errorf("read %d returned %s, want %s", i, got, s.want)
		}
	}
}

// While the platform is unavailable all peers are stale. Reads from them must still wait
// for changes, or readers would poll them as fast as they can.
func TestStalePeersAreNotPolled(t *testing.T) {
	stale := connector.Changes{Items: []connector.Item{value("a", "1", 3)}, Next: 4, Age: 10 * time.Second}
	a, b := newPeer(t), newPeer(t)
	a.table.Apply(stale, timekeeper.Now())
	b.table.Apply(stale, timekeeper.Now())
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
		t.Errorf("%d reads took only %s", reads, d)
	}
}

// Readers of a view must not get complete records, and a record must be shortened once,
// not for each reader.
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
		t.Errorf("the view changed the table: %s", s)
	}
}

// A program that has taken over the address of a peer must not be followed in its place: its
// response was taken for an empty table that is up to date, again and again.
func TestOddPeer(t *testing.T) {
	for _, body := range []string{`{}`, `null`, `{"items":null,"next":0}`, `{"next":5,"age":-1}`, `{"next":5,"written":-1}`} {
		odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		defer odd.Close()
		sound := newPeer(t)
		r := &observer.PeerReader{
			Table: "t", Client: http.DefaultClient, Now: time.Now,
			Peers: func() []netip.AddrPort {
				return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(odd.URL, "http://")), sound.address}
			},
		}
		if _, err := r.Read(t.Context(), 0, 0); err == nil {
			t.Errorf("%s was read as a table", body)
		}
		if c, err := r.Read(t.Context(), 0, 0); err != nil || len(c.Items) != 1 {
			t.Errorf("after %s: %+v, %v", body, c, err)
		}
	}
}
