package burst

import (
	"net/http"
	"sync/atomic"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// origin is a weight store that answers from memory.
type origin struct {
	blobs map[recorder.Digest][]byte
	down  atomic.Bool
	// sent counts the bytes of the bodies.
	sent atomic.Int64
}

func (o *origin) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if o.down.Load() {
		http.Error(w, `{"error":"the origin is down"}`, http.StatusServiceUnavailable)
		return
	}
	d, err := recorder.ParseDigest(q.PathValue("sha256"))
	b, ok := o.blobs[d]
	if err != nil || !ok {
		http.NotFound(w, q)
		return
	}
	n, _ := w.Write(b)
	o.sent.Add(int64(n))
}
