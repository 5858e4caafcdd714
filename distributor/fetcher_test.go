package distributor_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// origin returns an origin that serves the weights and counts its reads.
func (w *weights) origin(reads *atomic.Int64) *connector.Origin {
	return &connector.Origin{Fetch: func(_ context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
		reads.Add(1)
		return io.NopCloser(bytes.NewReader(w.blobs[d])), int64(len(w.blobs[d])), nil
	}}
}

var _ = Describe("Fetcher", func() {
	var (
		w     *weights
		reads atomic.Int64
		f     *distributor.Fetcher
	)
	self := distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"}
	BeforeEach(func() {
		w = newWeights("abcdefgh")
		reads.Store(0)
		f = &distributor.Fetcher{
			// Self is not in the list, so it asks the peer for every chunk.
			Self: self, OriginRegion: "r", Store: new(distributor.Store), Origin: w.origin(&reads),
			Client: distributor.NewClient(nil), Wait: 50 * time.Millisecond, Stall: 100 * time.Millisecond,
			Members: func() []distributor.Member { return nil },
		}
	})
	ctx := func() context.Context {
		c, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
		return c
	}

	// Guards against a fault of the first-ranked source that ends the fetch or
	// lets a wrong chunk into the store; the instance then lacks the version.
	DescribeTable("takes over from a peer that", func(h http.HandlerFunc, corrupt int) {
		stop := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
			if h == nil {
				<-stop
				return
			}
			h(r, q)
		}))
		defer s.Close()
		defer close(stop)
		if corrupt < 0 {
			s.Close()
			corrupt = 0
		}
		a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		f.Members = func() []distributor.Member {
			return []distributor.Member{{Instance: "peer", FailureDomain: "d", Region: "r", Address: a}}
		}
		m, err := f.Fetch(ctx(), w.version, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(Equal(w.manifest))
		r, err := f.Store.Open(w.version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(r)).To(Equal(w.whole))
		Expect(reads.Load()).To(BeNumerically("==", len(w.blobs)))
		Expect(f.Stats().Corrupt).To(BeNumerically("==", corrupt))
		Expect(f.Stats().Takeovers).To(BeNumerically(">", 0))
	},
		Entry("lacks the chunk", func(r http.ResponseWriter, _ *http.Request) { r.WriteHeader(http.StatusNotFound) }, 0),
		Entry("fails", func(r http.ResponseWriter, _ *http.Request) { r.WriteHeader(http.StatusInternalServerError) }, 0),
		Entry("sends wrong bytes", func(r http.ResponseWriter, _ *http.Request) {
			_, _ = r.Write(make([]byte, recorder.MinChunkSize))
		}, 9),
		Entry("sends too few bytes", func(r http.ResponseWriter, _ *http.Request) { _, _ = r.Write([]byte("x")) }, 9),
		Entry("closes the connection within the body", func(r http.ResponseWriter, _ *http.Request) {
			r.Header().Set("Content-Length", "4096")
			_, _ = r.Write([]byte("x"))
		}, 0),
		Entry("sends a byte now and then", func(r http.ResponseWriter, _ *http.Request) {
			r.Header().Set("Content-Length", "4096")
			c := http.NewResponseController(r)
			for range recorder.MinChunkSize {
				if _, err := r.Write([]byte("x")); err != nil || c.Flush() != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}, 0),
		Entry("waits for this instance", func(r http.ResponseWriter, _ *http.Request) {
			r.Header().Set("Eelgrass-Chunk", "fetching")
			r.Header().Set("Eelgrass-Source", "self")
			r.WriteHeader(http.StatusNotFound)
		}, 0),
		Entry("never answers", nil, 0),
		Entry("refuses the connection", nil, -1),
	)

	// Guards against instances that wait for a busy source while others have the chunk, and
	// against a reply that names instances which don't exist, are this one or fail.
	It("asks the instances that a busy source names", func() {
		address := func(s *httptest.Server) netip.AddrPort {
			return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		}
		failing := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, _ *http.Request) { r.WriteHeader(http.StatusInternalServerError) }))
		defer failing.Close()
		var sent atomic.Int64
		holder := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
			for d, b := range w.blobs {
				if strings.HasSuffix(q.URL.Path, d.String()) {
					sent.Add(1)
					_, _ = r.Write(b)
				}
			}
		}))
		defer holder.Close()
		names := []string{"failing,holder", "nobody,holder", "self,holder", "holder,failing"}
		busy := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
			r.Header().Set("Eelgrass-Chunk", "busy")
			if q.URL.Query().Get("seen-holders") == "0" {
				r.Header().Set("Eelgrass-Holder-Count", "5")
				r.Header().Set("Eelgrass-Holders", names[len(q.URL.Path)%len(names)])
			}
			r.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer busy.Close()
		f.Members = func() []distributor.Member {
			return []distributor.Member{
				{Instance: "busy", FailureDomain: "d", Region: "r", Address: address(busy)},
				{Instance: "failing", FailureDomain: "d", Region: "r", Address: address(failing), Empty: true},
				{Instance: "holder", FailureDomain: "d", Region: "r", Address: address(holder), Empty: true},
			}
		}
		_, err := f.Fetch(ctx(), w.version, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(sent.Load()).To(BeNumerically("==", len(w.blobs)))
		Expect(reads.Load()).To(BeZero())
	})

	// Guards against links that are left unused while an engine serves nothing, and against
	// chunks that delay the events of one that does.
	DescribeTable("fetches more chunks at once while the instance is idle", func(idle bool, most int) {
		var running, highest atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
			n := running.Add(1)
			defer running.Add(-1)
			for old := highest.Load(); n > old && !highest.CompareAndSwap(old, n); old = highest.Load() {
			}
			time.Sleep(20 * time.Millisecond)
			for d, b := range w.blobs {
				if strings.HasSuffix(q.URL.Path, d.String()) {
					_, _ = r.Write(b)
				}
			}
		}))
		defer s.Close()
		a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		f.Members = func() []distributor.Member {
			return []distributor.Member{{Instance: "peer", FailureDomain: "d", Region: "r", Address: a}}
		}
		f.Parallel, f.IdleParallel, f.IsIdle = 2, 4, func() bool { return idle }
		_, err := f.Fetch(ctx(), w.version, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(highest.Load()).To(BeNumerically("==", most))
	},
		Entry("idle", true, 4),
		Entry("serving", false, 2),
	)

	// Guards against a restarted fetch that repeats all bytes and so doubles the load
	// on the peers.
	It("resumes with the missing chunks", func() {
		w.fill(f.Store, 5)
		var last, all int
		_, err := f.Fetch(ctx(), w.version, func(v, n int) { last, all = v, n })
		Expect(err).NotTo(HaveOccurred())
		Expect(reads.Load()).To(BeNumerically("==", 3))
		Expect([]int{last, all}).To(Equal([]int{8, 8}))
	})

	// Guards against the fetch of a superseded version that goes on and takes
	// bandwidth from the next one.
	It("ends when the version is superseded", func() {
		c, cancel := context.WithCancelCause(ctx())
		superseded := errors.New("superseded")
		f.Origin = &connector.Origin{Fetch: func(context.Context, recorder.Digest) (io.ReadCloser, int64, error) {
			cancel(superseded)
			return nil, 0, errors.New("no answer")
		}}
		_, err := f.Fetch(c, w.version, nil)
		Expect(err).To(MatchError(superseded))
		Expect(classifier.Of(err)).To(Equal(classifier.Unavailable))
	})

	// Guards against weights that are stored and served as a different version.
	It("rejects a manifest that contradicts the version", func() {
		w.version.Size++
		_, err := f.Fetch(ctx(), w.version, nil)
		Expect(classifier.Of(err)).To(Equal(classifier.Invalid))
		Expect(f.Store.Usage().Manifests).To(BeZero())
	})

	// Guards against a wrong declaration that takes the weights of another version, which has the
	// same manifest, out of the store.
	It("keeps the manifest that another version has", func() {
		_, err := f.Fetch(ctx(), w.version, nil)
		Expect(err).NotTo(HaveOccurred())
		w.version.Size++
		_, err = f.Fetch(ctx(), w.version, nil)
		Expect(classifier.Of(err)).To(Equal(classifier.Invalid))
		Expect(f.Store.Usage().Manifests).To(Equal(1))
	})

	// Guards against endless retries of a version that exceeds the store's limit.
	It("ends when the store is too small", func() {
		f.Store.Limit = 4096
		_, err := f.Fetch(ctx(), w.version, nil)
		Expect(classifier.Of(err)).To(Equal(classifier.Exhausted))
	})
})

// Guards against fetchers that retry a refused origin read before the origin's
// Retry-After has passed, or that exceed OriginParallel or OriginRate.
func TestOriginLimits(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefgh")
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		var reads, open, most, refused atomic.Int64
		good := w.origin(&reads)
		begin := time.Now()
		f := &distributor.Fetcher{
			Store: new(distributor.Store), Members: func() []distributor.Member { return nil },
			OriginParallel: 2, OriginRate: 1, Rand: func() float64 { return 0 },
			Origin: &connector.Origin{Fetch: func(ctx context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
				if time.Since(begin) < 7*time.Second {
					refused.Add(1)
					return nil, 0, &connector.Error{Kind: classifier.Exhausted, RetryAfter: 7 * time.Second, Err: errors.New("busy")}
				}
				most.Store(max(most.Load(), open.Add(1)))
				defer open.Add(-1)
				time.Sleep(100 * time.Millisecond)
				return good.Fetch(ctx, d)
			}},
		}
		_, err := f.Fetch(t.Context(), w.version, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Load()).To(BeNumerically("==", 1))
		Expect(most.Load()).To(BeNumerically("<=", 2))
		// 9 reads at 1 per second, of which 2 may come at once.
		Expect(time.Since(begin)).To(BeNumerically(">=", 13*time.Second))
		Expect(time.Since(begin)).To(BeNumerically("<", 20*time.Second))
	})
}
