package distributor_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// playedFleet is a fleet of instances, regions and an origin whose links are played on a fake
// clock, so that its times don't depend on the machine.
type playedFleet struct {
	instances, regions, pieces int
	pieceSize                  int64
	// link, originLink and cross are the rates in bytes per second of the link of an instance,
	// of the origin and between two regions, in each direction.
	link, originLink, cross float64
	// awayFrom and awayUntil are when the origin refuses connections and breaks its own.
	awayFrom, awayUntil time.Duration
	// cutUntil is until when regions 1 and 2 can't reach each other.
	cutUntil time.Duration
	// spread is the time within which the instances begin, one after the other.
	spread     time.Duration
	began      time.Time
	origin     *playedLink
	regionLink []*[2]playedLink
	hosts      []*playedHost
	blobs      map[recorder.Digest][]byte
	version    recorder.Version
	manifest   []byte
	dials      atomic.Int64
}

// playedHost is an instance with its links out and in.
type playedHost struct {
	member  distributor.Member
	region  int
	out, in playedLink
	fetcher *distributor.Fetcher
	handler *distributor.Handler
	took    time.Duration
}

// playedLink carries bytes in the order of their arrival.
type playedLink struct {
	rate float64
	mu   sync.Mutex
	free time.Time
	sent int64
}

func (l *playedLink) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent += int64(n)
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return time.Until(l.free)
}

// playedResult holds when the first, half and all instances had all pieces, the copies that the
// origin sent, and the sums of takeovers and failed dials.
type playedResult struct {
	first, half, all time.Duration
	copies           float64
	takeovers, dials int64
	// had is the number of pieces that any instance had when the origin ended.
	had int
}

func (r playedResult) String() string {
	return fmt.Sprintf("first %.2f s, half %.2f s, all %.2f s, copies %.2f, takeovers %d, failed dials %d, pieces when the origin ended %d",
		r.first.Seconds(), r.half.Seconds(), r.all.Seconds(), r.copies, r.takeovers, r.dials, r.had)
}

// fleetU returns fleet U of the requirements with the instances added there.
func fleetU() *playedFleet {
	return &playedFleet{
		instances: 88, regions: 3, pieces: 96, pieceSize: 24576, link: 7.3e6 / 8, originLink: 7.3e6 / 8, cross: 27e6 / 8,
		spread: 600 * time.Millisecond,
	}
}

// play fetches the version at all instances.
func (f *playedFleet) play(t *testing.T) playedResult {
	t.Helper()
	w := make([]byte, f.pieceSize*int64(f.pieces))
	rnd := rand.NewChaCha8([32]byte{1})
	_, _ = rnd.Read(w)
	f.blobs = make(map[recorder.Digest][]byte)
	m, err := recorder.NewManifest(bytes.NewReader(w), f.pieceSize, func(d recorder.Digest, _ []byte) error {
		n := int64(len(f.blobs)) * f.pieceSize
		f.blobs[d] = w[n : n+f.pieceSize]
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	encoded, d, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.manifest, f.version = encoded, recorder.Version{Model: "m", Name: "v", Manifest: d, Digest: m.Digest, Size: m.Size}
	var r playedResult
	synctest.Test(t, func(t *testing.T) { r = f.run(t) })
	return r
}

func (f *playedFleet) run(t *testing.T) (r playedResult) {
	f.began = time.Now()
	f.origin = &playedLink{rate: f.originLink}
	for range f.regions {
		f.regionLink = append(f.regionLink, &[2]playedLink{{rate: f.cross}, {rate: f.cross}})
	}
	var members []distributor.Member
	for i := range f.instances {
		h := &playedHost{region: i % f.regions, out: playedLink{rate: f.link}, in: playedLink{rate: f.link}}
		name := recorder.Name(fmt.Sprintf("r%d", h.region))
		h.member = distributor.Member{
			Instance: recorder.Name(fmt.Sprintf("i%d", i)), FailureDomain: name, Region: name,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		}
		f.build(h, uint64(i))
		f.hosts = append(f.hosts, h)
		members = append(members, h.member)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var g sync.WaitGroup
	for i, h := range f.hosts {
		h.fetcher.Members = func() []distributor.Member { return members }
		g.Go(func() {
			time.Sleep(f.spread * time.Duration(i) / time.Duration(f.instances))
			if _, err := h.fetcher.Store.Keep(f.version.Manifest, f.manifest); err != nil {
				t.Error(err)
			}
			if _, err := h.fetcher.Fetch(ctx, f.version, nil); err != nil {
				t.Error(err)
			}
			h.took = time.Since(f.began)
		})
	}
	if f.awayUntil > 0 {
		time.Sleep(f.awayFrom)
		for d := range f.blobs {
			if slices.ContainsFunc(f.hosts, func(h *playedHost) bool { return h.fetcher.Store.Has(d) }) {
				r.had++
			}
		}
	}
	g.Wait()
	// The bubble ends once all responses that nobody waits for any more have ended.
	cancel()
	time.Sleep(time.Minute)
	var took []time.Duration
	for _, h := range f.hosts {
		took = append(took, h.took)
		r.takeovers += h.fetcher.Stats().Takeovers
	}
	slices.Sort(took)
	r.first, r.half, r.all = took[0], took[(len(took)-1)/2], took[len(took)-1]
	r.copies, r.dials = float64(f.origin.sent)/float64(f.version.Size), f.dials.Load()
	return r
}

// build makes the parts of an instance, with the settings of an agent.
func (f *playedFleet) build(h *playedHost, seed uint64) {
	rnd := rand.New(rand.NewPCG(1, seed))
	var mu sync.Mutex
	s := new(distributor.Store)
	h.fetcher = &distributor.Fetcher{
		Self: h.member, OriginRegion: "r0", Store: s, Client: &http.Client{Transport: &playedTransport{f, h}},
		Origin:          &connector.Origin{Fetch: func(ctx context.Context, d recorder.Digest) (io.ReadCloser, int64, error) { return f.read(ctx, h, d) }},
		CrossRegionRate: 0.8 * f.cross, Link: &distributor.Link{Bound: 250 * time.Millisecond},
		Parallel: 3, IdleParallel: 6, IsIdle: func() bool { return false }, LeadParallel: 2, OriginParallel: 2,
		Wait: 1500 * time.Millisecond, Poll: 300 * time.Millisecond, Stall: 700 * time.Millisecond, HedgeDelay: 4 * time.Second,
		LateDelay: time.Second, MaxBackoff: 150 * time.Millisecond,
		Rand: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return rnd.Float64()
		},
	}
	h.handler = &distributor.Handler{Store: s, Self: h.member, SendRate: 0.98 * f.link, SendParallel: 2, WriteTimeout: time.Second}
}

func (f *playedFleet) isAway() bool {
	d := time.Since(f.began)
	return d >= f.awayFrom && d < f.awayUntil
}

// read opens a piece at the origin, which breaks it if it goes away.
func (f *playedFleet) read(ctx context.Context, h *playedHost, d recorder.Digest) (io.ReadCloser, int64, error) {
	time.Sleep(10 * time.Millisecond)
	if f.isAway() {
		return nil, 0, syscall.ECONNREFUSED
	}
	r, w := io.Pipe()
	links := []*playedLink{f.origin, &h.in}
	if h.region > 0 {
		links = append(links, &f.regionLink[0][0], &f.regionLink[h.region][1])
	}
	go func() {
		b := f.blobs[d]
		for len(b) > 0 {
			n := min(len(b), playedBytes)
			pass(links, n)
			if f.isAway() {
				_ = w.CloseWithError(syscall.ECONNRESET)
				return
			}
			if _, err := w.Write(b[:n]); err != nil {
				return
			}
			b = b[n:]
		}
		_ = w.Close()
	}()
	context.AfterFunc(ctx, func() { _ = r.CloseWithError(ctx.Err()) })
	return r, f.pieceSize, nil
}

// playedBytes is the number of bytes that pass a link at a time, so that connections share it.
const playedBytes = 8 << 10

func pass(links []*playedLink, n int) {
	var wait time.Duration
	for _, l := range links {
		wait = max(wait, l.reserve(n))
	}
	time.Sleep(wait)
}

// playedTransport carries the requests of an instance to the handlers of others.
type playedTransport struct {
	*playedFleet
	from *playedHost
}

// RoundTrip implements http.RoundTripper.
func (p *playedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	i := slices.IndexFunc(p.hosts, func(h *playedHost) bool { return h.member.Address.String() == q.URL.Host })
	to := p.hosts[i]
	ctx, cancel := context.WithCancel(q.Context())
	delay := time.Millisecond
	if to.region != p.from.region {
		delay = 15 * time.Millisecond
	}
	if p.isCut(to.region, p.from.region) {
		delay = time.Second
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		cancel()
		return nil, ctx.Err()
	}
	if delay == time.Second {
		cancel()
		p.dials.Add(1)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
	}
	r, b := io.Pipe()
	w := &playedWriter{header: make(http.Header), begun: make(chan struct{}), body: b, links: []*playedLink{&to.out, &p.from.in}}
	if to.region != p.from.region {
		w.links = append(w.links, &p.regionLink[to.region][0], &p.regionLink[p.from.region][1])
	}
	go func() {
		to.handler.ServeHTTP(w, q.Clone(ctx))
		w.WriteHeader(http.StatusOK)
		_ = b.Close()
	}()
	context.AfterFunc(ctx, func() { _ = r.CloseWithError(context.Canceled) })
	select {
	case <-w.begun:
	case <-ctx.Done():
		cancel()
		return nil, ctx.Err()
	}
	size := int64(-1)
	if s := w.sent.Get("Content-Length"); s != "" {
		_, _ = fmt.Sscan(s, &size)
	}
	return &http.Response{StatusCode: w.status, Header: w.sent, ContentLength: size, Body: &playedBody{r, cancel}, Request: q}, nil
}

func (f *playedFleet) isCut(a, b int) bool {
	return time.Since(f.began) < f.cutUntil && a+b == 3 && a != b && a > 0 && b > 0
}

type playedBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *playedBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// playedWriter is the writer of a response that passes links.
type playedWriter struct {
	header, sent http.Header
	status       int
	begun        chan struct{}
	body         *io.PipeWriter
	links        []*playedLink
}

func (w *playedWriter) Header() http.Header { return w.header }

func (w *playedWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status, w.sent = status, w.header.Clone()
		close(w.begun)
	}
}

func (w *playedWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	total := 0
	for len(b) > 0 {
		n := min(len(b), playedBytes)
		pass(w.links, n)
		if _, err := w.body.Write(b[:n]); err != nil {
			return total, err
		}
		total += n
		b = b[n:]
	}
	return total, nil
}

// Guards against instances that notice seconds late that the origin is back. With 86 of 96 pieces
// sent before, it took 0.9 to 1.05 s from its return to the first whole version, as the leaders of the
// missing pieces waited for their share of the link between regions to ask for what nobody has.
func TestOriginReturns(t *testing.T) {
	f := fleetU()
	f.awayFrom, f.awayUntil = 2400*time.Millisecond, 8400*time.Millisecond
	r := f.play(t)
	t.Log(r)
	if r.had < 80 || r.had == f.pieces {
		t.Errorf("%d pieces when the origin ended", r.had)
	}
	if d := r.first - f.awayUntil; d > 750*time.Millisecond {
		t.Errorf("first whole version %s after the origin's return, want at most 0.75 s", d)
	}
	if d := r.all - f.awayUntil; d > 1300*time.Millisecond {
		t.Errorf("last whole version %s after the origin's return, want at most 1.3 s", d)
	}
	if r.copies > 1.1 {
		t.Errorf("the origin sent %.2f copies, want at most 1.1", r.copies)
	}
}

// Guards against a version that takes more than 2, 3 and 4 times the time of one copy until the first,
// half and all instances have it, and against an origin that sends more than 1.1 copies, also while
// two regions can't reach each other.
func TestFleetCompletes(t *testing.T) {
	for name, cut := range map[string]time.Duration{"all reach each other": 0, "two regions cut off": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := fleetU()
			f.instances, f.cutUntil = 45, cut
			r := f.play(t)
			t.Log(r)
			copyTime := float64(f.pieceSize) * float64(f.pieces) / f.originLink
			for i, d := range []time.Duration{r.first, r.half, r.all} {
				if factor := d.Seconds() / copyTime; factor > float64(i+2) {
					t.Errorf("%s, %.2f times a copy, want at most %d", d, factor, i+2)
				}
			}
			if r.copies > 1.1 {
				t.Errorf("the origin sent %.2f copies, want at most 1.1", r.copies)
			}
		})
	}
}
