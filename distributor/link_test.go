package distributor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// slowPeer answers with chunks one after the other, each after a time.
type slowPeer struct {
	*httptest.Server
	blobs map[recorder.Digest][]byte
	took  time.Duration

	link sync.Mutex
	// open is the number of chunks asked for, most its maximum, and sent the number of
	// chunks that were sent.
	open, most, sent atomic.Int64
}

func newSlowPeer(t *testing.T, w *weights, took time.Duration) *slowPeer {
	p := &slowPeer{blobs: w.blobs, took: took}
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
	n := p.open.Add(1)
	defer p.open.Add(-1)
	for m := p.most.Load(); n > m && !p.most.CompareAndSwap(m, n); m = p.most.Load() {
	}
	p.link.Lock()
	defer p.link.Unlock()
	time.Sleep(p.took)
	p.sent.Add(1)
	r.Header().Set("Content-Length", strconv.Itoa(len(p.blobs[d])))
	_, _ = r.Write(p.blobs[d])
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
	RegisterTestingT(t)
	w := newWeights("abcdefghijkl")
	p := newSlowPeer(t, w, 100*time.Millisecond)
	l := &distributor.Link{Bound: 95 * time.Millisecond}
	fetchFrom(t, w, p, l, 5*time.Second)
	Expect(p.most.Load()).To(BeNumerically("==", 1))
	Expect(l.Delay()).To(BeZero())
}

// Guards against a sound link that isn't used, because one chunk at a time is fetched.
func TestChunksOverFastLink(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefghijklmnopqrstuvwxyz")
	p := newSlowPeer(t, w, 5*time.Millisecond)
	fetchFrom(t, w, p, &distributor.Link{Bound: 10 * time.Second}, 5*time.Second)
	Expect(p.most.Load()).To(BeNumerically("==", 4))
}

// Guards against a second copy of each chunk over a link that is slow for all sources.
func TestNoSecondCopyOverSlowLink(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdef")
	p := newSlowPeer(t, w, 100*time.Millisecond)
	reads := fetchFrom(t, w, p, &distributor.Link{Bound: 95 * time.Millisecond}, 200*time.Millisecond)
	Expect(p.sent.Load() + reads).To(BeNumerically("==", 6))
}
