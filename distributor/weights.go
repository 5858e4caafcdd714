package distributor

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Weights serves whole versions of a Store to the engine on loopback:
// GET /v1/weights/{manifest-digest}. A request for an incomplete version fails
// before the first byte of the body is sent.
type Weights struct {
	Store *Store

	once sync.Once
	mux  *http.ServeMux
	sent atomic.Int64
}

// Stats returns the bytes that were sent to the engine.
func (w *Weights) Stats() Stats { return Stats{SentEngine: w.sent.Load()} }

// ServeHTTP implements http.Handler.
func (w *Weights) ServeHTTP(r http.ResponseWriter, q *http.Request) {
	w.once.Do(func() {
		w.mux = http.NewServeMux()
		w.mux.HandleFunc("GET /v1/weights/{digest}", w.serve)
	})
	w.mux.ServeHTTP(r, q)
}

func (w *Weights) serve(r http.ResponseWriter, q *http.Request) {
	d, err := recorder.ParseDigest(q.PathValue("digest"))
	if err != nil {
		http.Error(r, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := w.Store.Open(d)
	if err != nil {
		http.Error(r, err.Error(), classifier.Of(err).Status())
		return
	}
	r.Header().Set("Content-Type", "application/octet-stream")
	r.Header().Set("Content-Length", strconv.FormatInt(b.Size, 10))
	n, _ := b.WriteTo(r)
	w.sent.Add(n)
}
