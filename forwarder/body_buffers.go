package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBufferedBytes bounds the total size of the body buffers of one handler.
	MaxBufferedBytes = 64 << 20
	// uncountedBodyBytes is the size up to which the buffer of a body isn't counted, so
	// that large bodies never cause small ones to be refused.
	uncountedBodyBytes = 32 << 10
)

// errNoBufferSpace ends the reading of a body whose buffer would exceed
// MaxBufferedBytes.
var errNoBufferSpace = errors.New("body buffer limit exceeded")

// bodyBuffers counts the bytes of the buffers in which bodies are collected. The zero
// value is ready to use.
type bodyBuffers struct{ used atomic.Int64 }

// reserve adds n bytes to the count unless that exceeds MaxBufferedBytes, and reports
// whether it did.
func (h *bodyBuffers) reserve(n int64) bool {
	for {
		old := h.used.Load()
		if old+n > MaxBufferedBytes {
			return false
		}
		if h.used.CompareAndSwap(old, old+n) {
			return true
		}
	}
}

// read reads a complete body of at most limit bytes. Also after an error, the caller
// must release held bytes once it no longer uses the body.
func (h *bodyBuffers) read(r io.Reader, limit int64) (b []byte, held int64, err error) {
	b = make([]byte, 0, bufferSize)
	for {
		if len(b) == cap(b) {
			n := 2 * int64(cap(b))
			if n > uncountedBodyBytes {
				// Both buffers exist during the copy, so the old one is released later.
				if !h.reserve(n) {
					return nil, held, errNoBufferSpace
				}
			}
			b = append(make([]byte, 0, n), b...)
			if n > uncountedBodyBytes {
				h.release(held)
				held = n
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, held, errors.Newf("body exceeds %d bytes", limit)
		case errors.Is(err, io.EOF):
			return b, held, nil
		case err != nil:
			return nil, held, err
		}
	}
}

func (h *bodyBuffers) release(n int64) { h.used.Add(-n) }
