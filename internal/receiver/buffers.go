package receiver

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBufferedBytes bounds the total size of the buffers of one process that has no lower limit.
	MaxBufferedBytes = 64 << 20
	// UncountedBytes is the size up to which a buffer isn't counted, so that large bodies
	// never cause small ones to be refused.
	UncountedBytes = 32 << 10
	// bufferSize is the size in bytes with which a buffer begins.
	bufferSize = 2 << 10
)

// ErrTooLarge is the cause of an error about a body that exceeds its own limit.
var ErrTooLarge = errors.New("body too large")

// ErrNoBufferSpace ends the reading of a body whose buffer would exceed the limit of Buffers.
var ErrNoBufferSpace = errors.New("body buffer limit exceeded")

// Buffers counts the bytes of the buffers in which a process collects what others send. The
// zero value is ready to use.
type Buffers struct {
	// Limit replaces MaxBufferedBytes if it is lower and not 0. It is set before the first use.
	Limit int64
	used  atomic.Int64
}

// memoryDivisor sets the part of an instance's memory that buffers may take.
const memoryDivisor = 4

// LimitOf returns the limit of the buffers of a process on an instance with the given memory in
// bytes; 0 if that isn't known.
func LimitOf(memory int64) int64 { return memory / memoryDivisor }

func (b *Buffers) limit() int64 {
	if b.Limit > 0 {
		return min(b.Limit, MaxBufferedBytes)
	}
	return MaxBufferedBytes
}

// Used returns the number of reserved bytes.
func (b *Buffers) Used() int64 { return b.used.Load() }

// Reserve adds n bytes to the count unless that exceeds the limit, and reports
// whether it did.
func (b *Buffers) Reserve(n int64) bool {
	for {
		old := b.used.Load()
		if old+n > b.limit() {
			return false
		}
		if b.used.CompareAndSwap(old, old+n) {
			return true
		}
	}
}

// Release takes n bytes off the count.
func (b *Buffers) Release(n int64) { b.used.Add(-n) }

// Share is what one call holds of the buffers of its process.
type Share struct {
	// Of is set before the first use.
	Of   *Buffers
	held atomic.Int64
}

// Reserve adds n bytes to the share, and reports whether there was room.
func (s *Share) Reserve(n int64) bool {
	if !s.Of.Reserve(n) {
		return false
	}
	s.held.Add(n)
	return true
}

// Release gives back all that the share holds. No Read is under way, and what was read isn't
// used any more.
func (s *Share) Release() { s.Of.Release(s.held.Swap(0)) }

// Read reads a complete body of at most limit bytes. Its buffer stays reserved until Release.
func (s *Share) Read(r io.Reader, limit int64) ([]byte, error) {
	b := make([]byte, 0, bufferSize)
	counted := int64(0)
	for {
		if len(b) == cap(b) {
			n := 2 * int64(cap(b))
			// Both buffers exist during the copy, so the old one is released later.
			if n > UncountedBytes && !s.Reserve(n) {
				return nil, ErrNoBufferSpace
			}
			b = append(make([]byte, 0, n), b...)
			if n > UncountedBytes {
				s.release(counted)
				counted = n
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

func (s *Share) release(n int64) {
	s.held.Add(-n)
	s.Of.Release(n)
}
