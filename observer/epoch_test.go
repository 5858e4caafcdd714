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
)

// peerOf serves a table as a peer does, and returns its address.
func peerOf(t *testing.T, b *observer.Table) netip.AddrPort {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/tables/{name}", &observer.Handler{Tables: map[string]*observer.Table{"t": b}})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func readerOf(own *observer.Table, peer netip.AddrPort) *observer.PeerReader {
	return &observer.PeerReader{
		Table: "t", Client: http.DefaultClient, Now: time.Now, Epoch: own.Epoch,
		Peers: func() []netip.AddrPort { return []netip.AddrPort{peer} },
	}
}

// Guards against gateways of which one is in the old epoch and one in the new: the old one must
// get the whole table at once, and the new one nothing.
func TestPeersOfTwoEpochs(t *testing.T) {
	var old, risen observer.Table
	for _, b := range []*observer.Table{&old, &risen} {
		b.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 5), value("b", "1", 8)}, Next: 9, Epoch: 1}, timekeeper.Now())
	}
	risen.Apply(connector.Changes{Items: []connector.Item{value("c", "2", 5)}, Next: 6, Epoch: 2, Full: true}, timekeeper.Now())
	began := time.Now()
	c, err := readerOf(&old, peerOf(t, &risen)).Read(t.Context(), old.Next(), 2*time.Second)
	if err != nil || !c.Full || c.Epoch != 2 || len(c.Items) != 3 {
		t.Errorf("the old one read %+v, %v", c, err)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the old one waited for %s", d)
	}
	if c, err := readerOf(&risen, peerOf(t, &old)).Read(t.Context(), risen.Next(), 0); err == nil {
		t.Errorf("the new one read %+v", c)
	}
}

// Guards against a peer with a false epoch, after which no response of the store would be used.
func TestPeerWithFalseEpoch(t *testing.T) {
	var own, peer observer.Table
	own.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 5)}, Next: 6, Epoch: 7}, timekeeper.Now())
	peer.Apply(connector.Changes{Items: []connector.Item{value("a", "2", 5)}, Next: 6, Epoch: 1 << 60}, timekeeper.Now())
	if c, err := readerOf(&own, peerOf(t, &peer)).Read(t.Context(), 6, 0); err == nil {
		t.Errorf("read %+v", c)
	}
}

// Guards against a late response of the store from before its return, and against changes of a
// higher epoch that are merged without a read of the whole table.
func TestFollowerChangesEpoch(t *testing.T) {
	var own observer.Table
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	script := []connector.Changes{
		{Items: []connector.Item{value("a", "1", 3)}, Next: 4, Epoch: 1, Full: true},
		{Items: []connector.Item{value("b", "2", 4)}, Next: 5, Epoch: 2},
		{Items: []connector.Item{value("a", "1", 3), value("b", "2", 4), value("c", "2", 2)}, Next: 5, Epoch: 2, Full: true},
		{Items: []connector.Item{value("a", "9", 9)}, Next: 10, Epoch: 1},
		{Next: 5, Epoch: 2},
	}
	var reads []uint64
	var rises, reconnects int
	f := &observer.Follower{
		Name: "t", Table: &own, Log: zerolog.Nop(), Reconnect: func() { reconnects++ },
		Sources: []observer.Source{{Name: "platform", Read: func(_ context.Context, from uint64, _ time.Duration) (connector.Changes, error) {
			if len(reads) == len(script) {
				cancel()
				return connector.Changes{}, errors.New("the end")
			}
			reads = append(reads, from)
			return script[len(reads)-1], nil
		}}},
		Changed: func(u observer.Update) {
			if u.Rise != nil {
				rises++
			}
		},
	}
	_ = f.Run(ctx)
	if s := content(&own); s != "a=1 b=2 c=2" || own.Next() != 5 || own.Epoch() != 2 {
		t.Errorf("%s next %d epoch %d", s, own.Next(), own.Epoch())
	}
	if len(reads) < 3 || reads[1] != 4 || reads[2] != 0 {
		t.Errorf("read from %v, want the whole table after 4", reads)
	}
	if rises != 1 || reconnects == 0 {
		t.Errorf("%d rises, %d reconnects", rises, reconnects)
	}
}

// Guards against a process that starts after the store lost records and doesn't learn of them,
// and against one that asks its peers again and again.
func TestStartAsksPeers(t *testing.T) {
	var peer, own observer.Table
	peer.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 3), value("b", "1", 7)}, Next: 8, Epoch: 1}, timekeeper.Now())
	peer.Apply(connector.Changes{Items: []connector.Item{value("c", "1", 1)}, Next: 4, Epoch: 2, Full: true}, timekeeper.Now())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	peers := readerOf(&own, peerOf(t, &peer))
	var asked atomic.Int32
	reads := 0
	f := &observer.Follower{
		Name: "t", Table: &own, Log: zerolog.Nop(), AskPeers: true, Changed: func(observer.Update) {},
		Sources: []observer.Source{
			{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
				if reads++; reads > 5 {
					cancel()
				}
				return connector.Changes{Items: []connector.Item{value("c", "1", 1)}, Next: 4, Epoch: 2, Full: true}, nil
			}},
			{Name: "peers", Peers: true, Read: func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
				asked.Add(1)
				return peers.Read(ctx, from, wait)
			}},
		},
	}
	_ = f.Run(ctx)
	if s := content(&own); s != "a=1 b=1 c=1" || asked.Load() != 1 {
		t.Errorf("%s, asked %d times", s, asked.Load())
	}
}

// Guards against gateways that all read a large table from the store when it returned, while a
// reader of their failure domain has it.
func TestWholeTableFromReader(t *testing.T) {
	for _, c := range []struct {
		name             string
		isReader, shared bool
		epoch            uint64
		err              error
		want             string
	}{
		{"reader has it", false, true, 2, nil, "reader"},
		{"reader is in a lower epoch", false, true, 1, nil, "reader platform"},
		{"reader fails", false, true, 0, errors.New("cut off"), "reader platform"},
		{"own process is a reader", true, true, 2, nil, "platform"},
		{"no readers", false, false, 2, nil, "platform"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var asked []string
			s := &observer.SharedReader{
				IsShared: func() bool { return c.shared }, IsReader: func() bool { return c.isReader }, MaxAge: time.Second,
				Readers: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
					asked = append(asked, "reader")
					return connector.Changes{Epoch: c.epoch, Full: true}, c.err
				},
				Platform: func(_ context.Context, from uint64, _ time.Duration) (connector.Changes, error) {
					if from != 0 {
						t.Errorf("read from %d", from)
					}
					asked = append(asked, "platform")
					return connector.Changes{Epoch: 2, Full: true}, nil
				},
			}
			r, err := s.ReadWhole(t.Context(), 2)
			if err != nil || r.Epoch != 2 || strings.Join(asked, " ") != c.want {
				t.Errorf("epoch %d, %v, asked %v; want %s", r.Epoch, err, asked, c.want)
			}
		})
	}
}

// Guards against an evacuation that stays in force without end at a gateway that was cut off when it
// ended: once the gateway is connected again, it must ask another one, but no stale one.
func TestLostIsComparedWithPeer(t *testing.T) {
	for _, c := range []struct {
		name  string
		stale bool
		want  string
	}{
		{"peer is connected", false, "a=c"},
		{"peer is cut off", true, "a=c b=now"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var own, peer observer.Table
			now := timekeeper.Now()
			if c.stale {
				now = now.Add(-time.Minute)
			}
			for _, b := range []*observer.Table{&own, &peer} {
				b.Apply(connector.Changes{Items: []connector.Item{value("a", "c", 5), value("b", "now", 10)}, Next: 11, Epoch: 1, Full: true}, now)
			}
			peer.Apply(connector.Changes{Items: []connector.Item{{Key: "b", Offset: 11}}, Next: 12, Epoch: 1}, now)
			restored := connector.Changes{Items: []connector.Item{value("a", "c", 5)}, Next: 12, Epoch: 2, Full: true}
			peer.Apply(restored, now)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var asked atomic.Int32
			peers, reads := readerOf(&own, peerOf(t, &peer)), 0
			f := &observer.Follower{
				Name: "t", Table: &own, Log: zerolog.Nop(), AskLost: true, Changed: func(observer.Update) {},
				Sources: []observer.Source{
					{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
						if reads++; reads > 5 {
							cancel()
						}
						return restored, nil
					}},
					{Name: "peers", Peers: true, Read: peers.Read, ReadAny: func(ctx context.Context) (connector.Changes, error) {
						asked.Add(1)
						return peers.ReadAny(ctx)
					}},
				},
			}
			_ = f.Run(ctx)
			if _, ok := own.Compared(); content(&own) != c.want || asked.Load() != 1 || ok == c.stale {
				t.Errorf("%s, want %s; asked %d times, compared %t", content(&own), c.want, asked.Load(), ok)
			}
		})
	}
}

// Guards against a peer of a version without epochs at a process that started after the store
// returned: the peer's offsets may be those of the epoch before, beyond the end of the store's log.
func TestPeerWithoutEpoch(t *testing.T) {
	var own observer.Table
	own.Apply(connector.Changes{Items: []connector.Item{value("a", "new", 5)}, Next: 90, Epoch: 2, Full: true}, timekeeper.Now())
	own.Apply(connector.Changes{Items: []connector.Item{value("a", "old", 110)}, Next: 120, Full: true, Age: time.Second}, timekeeper.Now())
	own.Apply(connector.Changes{Items: []connector.Item{value("a", "newer", 94)}, Next: 95, Epoch: 2}, timekeeper.Now())
	if s := content(&own); s != "a=newer" || own.Next() != 95 {
		t.Errorf("%s, next %d", s, own.Next())
	}
}

// Guards against a healthy reader that counts as failed, and a read of the store, because a read at
// it was interrupted.
func TestInterruptedRead(t *testing.T) {
	var own, peer observer.Table
	for _, b := range []*observer.Table{&own, &peer} {
		b.Apply(connector.Changes{Items: []connector.Item{value("a", "1", 5)}, Next: 6, Epoch: 1, Full: true}, timekeeper.Now())
	}
	first, reads := peerOf(t, &peer), 0
	peers := readerOf(&own, first)
	s := &observer.SharedReader{
		IsShared: func() bool { return true }, IsReader: func() bool { return false }, MaxAge: time.Minute, SharedWait: time.Minute,
		Readers: peers.Read,
		Platform: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			reads++
			return connector.Changes{}, errors.New("interrupted")
		},
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(50*time.Millisecond, func() { cancel(observer.ErrInterrupted) })
	if _, err := s.Read(ctx, own.Next(), time.Minute); err == nil || reads != 0 {
		t.Errorf("%v, the store was read %d times", err, reads)
	}
	// A peer in backoff comes after one that isn't.
	peers.Peers = func() []netip.AddrPort { return []netip.AddrPort{first, netip.MustParseAddrPort("127.0.0.1:1")} }
	if _, err := peers.Read(t.Context(), 0, 0); err != nil {
		t.Errorf("the reader counts as failed: %v", err)
	}
}

// Guards against a single response of the platform with a false epoch, or a peer with one that is
// asked at the start, after which no response of the platform would be used; and against a process
// that doesn't follow the platform to an epoch that is much higher in fact.
func TestFalseHighEpoch(t *testing.T) {
	const high = 1 << 60
	result := func(v string, epoch uint64) connector.Changes {
		return connector.Changes{Items: []connector.Item{value("a", v, 5)}, Next: 6, Epoch: epoch, Full: true}
	}
	right := result("1", 1)
	newer := connector.Changes{Items: []connector.Item{value("a", "2", 6)}, Next: 7, Epoch: 1}
	for _, c := range []struct {
		name  string
		reads []connector.Changes
		// peer is the epoch of a peer that is asked at the start, 0 if none is.
		peer, epoch uint64
		want        string
	}{
		{"one response", []connector.Changes{right, result("9", high), newer}, 0, 1, "a=2"},
		{"the first response", []connector.Changes{result("9", high), right, newer}, 0, 1, "a=2"},
		{"changes", []connector.Changes{right, {Next: 6, Epoch: high}, newer}, 0, 1, "a=2"},
		{"two that differ", []connector.Changes{right, result("9", high), result("8", high+1), newer}, 0, 1, "a=2"},
		{"two that are equal", []connector.Changes{right, result("9", high), result("9", high)}, 0, high, "a=9"},
		{"two that are equal beside a peer", []connector.Changes{right, result("9", high), result("9", high)}, 1, high, "a=9"},
		{"a peer", []connector.Changes{right, newer}, high, 1, "a=2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var own observer.Table
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			n := 0
			f := &observer.Follower{
				Name: "t", Table: &own, Log: zerolog.Nop(), AskPeers: c.peer > 0, Changed: func(observer.Update) {},
				Sources: []observer.Source{{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
					if n == len(c.reads) {
						cancel()
						return connector.Changes{}, errors.New("the end")
					}
					n++
					return c.reads[n-1], nil
				}}},
			}
			if c.peer > 0 {
				f.Sources = append(f.Sources, observer.Source{Name: "peers", Peers: true, Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
					r := result("9", c.peer)
					r.Age = time.Millisecond
					return r, nil
				}})
			}
			if c.peer == 0 {
				f.Reconnect = func() {}
			}
			_ = f.Run(ctx)
			if s := content(&own); s != c.want || own.Epoch() != c.epoch {
				t.Errorf("%s, epoch %d, want %s, epoch %d", s, own.Epoch(), c.want, c.epoch)
			}
		})
	}
}
