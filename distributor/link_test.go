package distributor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// chunkPieces is the number of pieces in which a slowPeer sends a chunk.
const chunkPieces = 16

// slowLink is how a slowPeer sends a chunk: the header after delay, block of the pieces with
// it, and the others one after the other, each after a piece's part of took.
type slowLink struct {
	delay, took time.Duration
	block       int
}

// slowPeer answers with chunks one after the other.
type slowPeer struct {
	*httptest.Server
	slowLink
	blobs map[recorder.Digest][]byte

	link sync.Mutex
	// open is the number of chunks asked for, most its maximum, and sent the number of
	// chunks of which bytes were sent.
	open, most, sent atomic.Int64
	// held is the number of requests that may be held.
	held atomic.Int64
}

func newSlowPeer(t *testing.T, w *weights, l slowLink) *slowPeer {
	p := &slowPeer{blobs: w.blobs, slowLink: l}
	p.Server = httptest.NewServer(p)
	t.Cleanup(p.Close)
	return p
}

func (p *slowPeer) ServeHTTP(r http.ResponseWriter, q *http.Request) {
	d, err := recorder.ParseDigest(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:])
	if err != nil {
		r.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.URL.Query().Get("wait-ms") != "0" {
		p.held.Add(1)
	}
	n := p.open.Add(1)
	defer p.open.Add(-1)
	for m := p.most.Load(); n > m && !p.most.CompareAndSwap(m, n); m = p.most.Load() {
	}
	p.link.Lock()
	defer p.link.Unlock()
	time.Sleep(p.delay)
	p.sent.Add(1)
	r.Header().Set("Content-Length", strconv.Itoa(len(p.blobs[d])))
	p.send(r, p.blobs[d])
}

// send sends a chunk. The last piece isn't flushed, so that it leaves once the request
// doesn't count as open any more.
func (p *slowPeer) send(r http.ResponseWriter, b []byte) {
	c := http.NewResponseController(r)
	n := len(b) / chunkPieces
	_, _ = r.Write(b[:p.block*n])
	for x := range slices.Chunk(b[p.block*n:], n) {
		_ = c.Flush()
		time.Sleep(p.took / chunkPieces)
		_, _ = r.Write(x)
	}
}

// fetchFrom fetches the weights from a peer, and returns the number of reads from the origin.
func fetchFrom(t *testing.T, w *weights, p *slowPeer, l *distributor.Link, stall time.Duration) int64 {
	a := netip.MustParseAddrPort(strings.TrimPrefix(p.URL, "http://"))
	var reads atomic.Int64
	f := &distributor.Fetcher{
		Self: distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"}, OriginRegion: "r",
		Store: new(distributor.Store), Client: distributor.NewClient(nil), Parallel: 4, Poll: 20 * time.Millisecond, Stall: stall, Link: l,
		Origin: w.origin(&reads),
		Members: func() []distributor.Member {
			return []distributor.Member{{Instance: "peer", FailureDomain: "d", Region: "r", Address: a}}
		},
	}
	w.fill(f.Store, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := f.Fetch(ctx, w.version, nil)
	Expect(err).NotTo(HaveOccurred())
	return reads.Load()
}

// Guards against more chunks on their way over a slow link than arrive within the bound.
// Requests to the engine waited behind them for seconds.
func TestChunksOverSlowLink(t *testing.T) {
	for name, s := range map[string]slowLink{
		"evenly":          {took: 200 * time.Millisecond},
		"slow-source":     {delay: 200 * time.Millisecond, took: 200 * time.Millisecond},
		"block-at-a-time": {delay: 125 * time.Millisecond, took: 200 * time.Millisecond, block: 10},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWeights("abcdefghijkl")
			p := newSlowPeer(t, w, s)
			l := &distributor.Link{Bound: 190 * time.Millisecond}
			fetchFrom(t, w, p, l, 5*time.Second)
			Expect(p.most.Load()).To(BeNumerically("==", 1))
			Expect(l.Delay()).To(BeZero())
		})
	}
}

// Guards against a sound link that isn't used, because one chunk at a time is fetched.
func TestChunksOverFastLink(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefghijklmnopqrstuvwxyz")
	p := newSlowPeer(t, w, slowLink{took: 5 * time.Millisecond})
	fetchFrom(t, w, p, &distributor.Link{Bound: 10 * time.Second}, 5*time.Second)
	Expect(p.most.Load()).To(BeNumerically("==", 4))
}

// Guards against a second copy of each chunk over a link that is slow for all sources.
func TestNoSecondCopyOverSlowLink(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdef")
	p := newSlowPeer(t, w, slowLink{took: 100 * time.Millisecond})
	reads := fetchFrom(t, w, p, &distributor.Link{Bound: 95 * time.Millisecond}, 150*time.Millisecond)
	Expect(p.sent.Load() + reads).To(BeNumerically("==", 6))
}

// Guards against polling in place of held requests on a sound link over which nothing came
// for some seconds, as while the origin is away. Each instance on the way of a chunk added
// to its delay.
func TestRateIsRemembered(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefghij")
	p := newSlowPeer(t, w, slowLink{took: time.Millisecond})
	var passed atomic.Int64
	l := &distributor.Link{Bound: 10 * time.Second, Now: func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }}
	held := func(pause time.Duration) int64 {
		passed.Add(int64(pause))
		p.held.Store(0)
		fetchFrom(t, w, p, l, 5*time.Second)
		return p.held.Load()
	}
	Expect(held(0)).To(BeNumerically("<", 10))
	Expect(held(10 * time.Second)).To(BeNumerically("==", 10))
	Expect(held(2 * time.Minute)).To(BeNumerically("<", 10))
}

// Guards against a wide link that is taken for a narrow one because all its sources are slow.
func TestSlowSourcesOverWideLink(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefghijklmnopqrstuvwx")
	var open, most atomic.Int64
	var peers []distributor.Member
	for i := range 6 {
		p := newSlowPeer(t, w, slowLink{delay: 300 * time.Millisecond, block: chunkPieces})
		s := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
			n := open.Add(1)
			defer open.Add(-1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			p.ServeHTTP(r, q)
		}))
		t.Cleanup(s.Close)
		a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		peers = append(peers, distributor.Member{Instance: recorder.Name("peer-" + strconv.Itoa(i)), FailureDomain: "d", Region: "r", Address: a})
	}
	f := &distributor.Fetcher{
		Self: distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"}, OriginRegion: "r",
		Store: new(distributor.Store), Client: distributor.NewClient(nil), Parallel: 6, Link: &distributor.Link{Bound: 250 * time.Millisecond},
		Origin: w.origin(new(atomic.Int64)), Members: func() []distributor.Member { return peers },
	}
	w.fill(f.Store, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	_, err := f.Fetch(ctx, w.version, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(most.Load()).To(BeNumerically(">=", 3))
}
