package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBufferedBytes bounds the bodies that one front holds in all, in bytes.
	MaxBufferedBytes = 64 << 20
	// uncountedBodyBytes is the part of a body that is held without being counted, so that
	// small bodies are never refused for the sake of large ones.
	uncountedBodyBytes = 32 << 10
)

// errNoBufferSpace ends the reading of a body for which there is no room.
var errNoBufferSpace = errors.New("too many bytes of bodies are held")

// bodyBuffers counts the bytes of bodies that are held until they are whole. The zero
// value is ready.
type bodyBuffers struct{ used atomic.Int64 }

// reserve counts n bytes and reports whether there is room for them.
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

// read reads a body of at most limit bytes whole, and returns how many bytes are to
// be given back with give once it is no longer held, also after an error.
func (h *bodyBuffers) read(r io.Reader, limit int64) (b []byte, held int64, err error) {
	b = make([]byte, 0, bufferSize)
	for {
		if len(b) == cap(b) {
			n := 2 * int64(cap(b))
			if n > uncountedBodyBytes {
				// The old and the new bytes are there together while they are copied.
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
			return nil, held, errors.Newf("more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return b, held, nil
		case err != nil:
			return nil, held, err
		}
	}
}

func (h *bodyBuffers) release(n int64) { h.used.Add(-n) }
