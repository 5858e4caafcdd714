package burst

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
)

// corrupter changes one byte in a share of the chunks that a handler sends.
type corrupter struct {
	http.Handler
	share float64

	mu   sync.Mutex
	rand *rand.Rand
}

func (c *corrupter) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	c.mu.Lock()
	hit := c.rand.Float64() < c.share
	c.mu.Unlock()
	if hit {
		w = &corruptWriter{ResponseWriter: w}
	}
	c.Handler.ServeHTTP(w, q)
}

type corruptWriter struct {
	http.ResponseWriter
	done bool
}

func (w *corruptWriter) Write(b []byte) (int, error) {
	if !w.done && len(b) > 0 {
		w.done = true
		b = slices.Clone(b)
		b[0] ^= 1
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *corruptWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
