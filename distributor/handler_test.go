package distributor_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
)

var _ = Describe("Handler", func() {
	var (
		w *weights
		h *distributor.Handler
	)
	BeforeEach(func() {
		w = newWeights("abc")
		s := new(distributor.Store)
		w.fill(s, 2)
		h = &distributor.Handler{Store: s, Self: distributor.Member{Region: "r", FailureDomain: "d"}, SendParallel: 1}
	})
	call := func(h http.Handler, method, path string) *httptest.ResponseRecorder {
		path = strings.NewReplacer("{have}", w.manifest.Chunks[0].String(), "{wanted}", w.manifest.Chunks[2].String(),
			"{manifest}", w.version.Manifest.String(), "{unknown}", strings.Repeat("0", 64)).Replace(path)
		r := httptest.NewRecorder()
		q := httptest.NewRequest(method, path, http.NoBody)
		q.Header.Set("Eelgrass-Region", "r")
		q.Header.Set("Eelgrass-Failure-Domain", "d")
		h.ServeHTTP(r, q)
		return r
	}

	// Peers decide from the status and the header whether to wait or to ask the next
	// source.
	DescribeTable("answers", func(method, path string, status int, state string) {
		r := call(h, method, path)
		Expect(r.Code).To(Equal(status))
		Expect(r.Header().Get("Eelgrass-Chunk")).To(Equal(state))
		if status == http.StatusOK {
			d := w.manifest.Chunks[0]
			if strings.Contains(path, "{manifest}") {
				d = w.version.Manifest
			}
			Expect(r.Body.Bytes()).To(Equal(w.blobs[d]))
			Expect(h.Stats().Sent[distributor.SameDomain]).To(BeNumerically("==", len(w.blobs[d])))
		}
	},
		Entry("a chunk", "GET", "/v1/chunks/{have}?wait-ms=1", 200, ""),
		Entry("a chunk without waiting", "GET", "/v1/chunks/{have}", 200, ""),
		Entry("a manifest", "GET", "/v1/manifests/{manifest}?wait-ms=1", 200, ""),
		Entry("a chunk that is being fetched", "GET", "/v1/chunks/{wanted}?wait-ms=1", 404, "fetching"),
		Entry("a chunk that no version needs", "GET", "/v1/chunks/{unknown}?wait-ms=1", 404, "absent"),
		Entry("a manifest that is not kept", "GET", "/v1/manifests/{unknown}", 404, "absent"),
		Entry("a bad digest", "GET", "/v1/chunks/abc", 400, ""),
		Entry("a bad wait", "GET", "/v1/chunks/{have}?wait-ms=-1", 400, ""),
		Entry("a long wait", "GET", "/v1/chunks/{have}?wait-ms=99999999999", 400, ""),
		Entry("another method", "PUT", "/v1/chunks/{have}", 405, ""),
		Entry("another path", "GET", "/v1/blobs/{have}", 404, ""),
	)

	// Guards against a 404 for a chunk that arrives within wait-ms, after which the peer
	// asks the level above.
	It("waits for a chunk that is being fetched", func() {
		d := w.manifest.Chunks[2]
		time.AfterFunc(20*time.Millisecond, func() { _ = h.Store.Put(d, w.blobs[d]) })
		Expect(call(h, "GET", "/v1/chunks/{wanted}?wait-ms=5000").Code).To(Equal(200))
	})

	// Guards against unlimited parallel bodies, which slow each other down until all
	// peers see stalls.
	It("refuses requests over SendParallel", func() {
		started, release := make(chan struct{}), make(chan struct{})
		go func() {
			defer GinkgoRecover()
			q := httptest.NewRequest(http.MethodGet, "/v1/chunks/"+w.manifest.Chunks[0].String(), http.NoBody)
			q.Header.Set("Eelgrass-Region", "r")
			h.ServeHTTP(&slowWriter{httptest.NewRecorder(), started, release}, q)
		}()
		<-started
		r := call(h, "GET", "/v1/chunks/{have}?wait-ms=1")
		close(release)
		Expect(r.Code).To(Equal(503))
		Expect(r.Header().Get("Eelgrass-Chunk")).To(Equal("busy"))
	})

	// Guards against a cell whose instances all wait for the link of one instance, though
	// others have the chunk by then.
	It("names instances that got the chunk while it is busy", func() {
		ask := func(instance, query string) *httptest.ResponseRecorder {
			r := httptest.NewRecorder()
			q := httptest.NewRequest(http.MethodGet, "/v1/chunks/"+w.manifest.Chunks[0].String()+query, http.NoBody)
			q.Header.Set("Eelgrass-Region", "r")
			q.Header.Set("Eelgrass-Instance", instance)
			h.ServeHTTP(r, q)
			return r
		}
		for _, n := range []string{"a", "b", "not a name"} {
			Expect(ask(n, "").Code).To(Equal(200))
		}
		started, release := make(chan struct{}), make(chan struct{})
		go func() {
			defer GinkgoRecover()
			q := httptest.NewRequest(http.MethodGet, "/v1/chunks/"+w.manifest.Chunks[0].String(), http.NoBody)
			q.Header.Set("Eelgrass-Region", "r")
			h.ServeHTTP(&slowWriter{httptest.NewRecorder(), started, release}, q)
		}()
		<-started
		defer close(release)
		r := ask("c", "?wait-ms=5000&seen-holders=0")
		Expect(r.Code).To(Equal(503))
		Expect(r.Header().Get("Eelgrass-Chunk")).To(Equal("busy"))
		Expect(r.Header().Get("Eelgrass-Holder-Count")).To(Equal("2"))
		Expect(strings.Split(r.Header().Get("Eelgrass-Holders"), ",")).To(ConsistOf("a", "b"))
		// An instance that was sent on waits in turn, and so does one that can't be.
		Expect(ask("c", "?wait-ms=1&seen-holders=2").Header().Get("Eelgrass-Holders")).To(BeEmpty())
		Expect(ask("c", "?wait-ms=1").Header().Get("Eelgrass-Holders")).To(BeEmpty())
		Expect(ask("c", "?seen-holders=x").Code).To(Equal(400))
	})

	// Guards against chunks that take bandwidth from live calls and raise their time to
	// first token.
	It("sends slower under live load", func() {
		took := func(load float64) time.Duration {
			h := &distributor.Handler{
				Store: h.Store, SendRate: 400 << 10, LiveLoad: func() float64 { return load },
			}
			begin := time.Now()
			for range 12 {
				Expect(call(h, "GET", "/v1/chunks/{have}").Code).To(Equal(200))
			}
			return time.Since(begin)
		}
		// 48 KiB less the burst of 32 KiB take 40 ms at the full rate and 200 ms at a fifth of it.
		Expect(took(0.8)).To(BeNumerically(">=", 180*time.Millisecond))
		Expect(took(0)).To(BeNumerically(">=", 36*time.Millisecond))
	})

	// Guards against an engine that loads a part of the weights and gives wrong answers.
	It("serves only complete versions to the engine", func() {
		e := &distributor.Weights{Store: h.Store}
		Expect(call(e, "GET", "/v1/weights/{manifest}").Code).To(Equal(503))
		Expect(call(e, "GET", "/v1/weights/{unknown}").Code).To(Equal(404))
		Expect(call(e, "GET", "/v1/weights/xyz").Code).To(Equal(400))
		w.fill(h.Store, 3)
		r := call(e, "GET", "/v1/weights/{manifest}")
		Expect(r.Code).To(Equal(200))
		Expect(r.Body.Bytes()).To(Equal(w.whole))
		Expect(e.Stats().SentEngine).To(BeNumerically("==", len(w.whole)))
	})
})

// slowWriter blocks in the first write.
type slowWriter struct {
	*httptest.ResponseRecorder
	started, release chan struct{}
}

func (w *slowWriter) Write(b []byte) (int, error) {
	close(w.started)
	<-w.release
	return len(b), nil
}
