package forwarder

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventBuffer collects one event. Its size beyond receiver.UncountedBytes is reserved in buffers: the
// unfinished events of some hundred streams could fill the memory of the process.
type eventBuffer struct {
	buffers *receiver.Buffers
	bytes   []byte
	// held is the reserved size.
	held int64
}

// write appends b. It returns an error if the event gets too long or no size can be reserved.
func (e *eventBuffer) write(b []byte) error {
	n := len(e.bytes) + len(b)
	if n > maxEventBytes {
		return errors.Newf("event exceeds %d bytes", maxEventBytes)
	}
	if n > cap(e.bytes) {
		if err := e.grow(int64(max(n, 2*cap(e.bytes)))); err != nil {
			return err
		}
	}
	e.bytes = append(e.bytes, b...)
	return nil
}

// grow makes room for n bytes.
func (e *eventBuffer) grow(n int64) error {
	held := int64(0)
	if n > receiver.UncountedBytes {
		if held = n; !e.buffers.Reserve(held) {
			return receiver.ErrNoBufferSpace
		}
	}
	e.bytes = append(make([]byte, 0, n), e.bytes...)
	e.buffers.Release(e.held)
	e.held = held
	return nil
}

// reset empties the buffer for the next event, and gives back what was reserved.
func (e *eventBuffer) reset() {
	e.bytes = e.bytes[:0]
	if e.held > 0 {
		e.buffers.Release(e.held)
		e.bytes, e.held = nil, 0
	}
}
