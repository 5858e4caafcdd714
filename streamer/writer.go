package streamer

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Form is the encoding in which a Writer writes frames.
type Form uint8

// The forms of a stream.
const (
	// Hop is the form between processes of the system, with ids and an end
	// event.
	Hop Form = iota
	// Caller is the form for callers, with data only and "[DONE]" after the end.
	Caller
)

const writeOp = "write stream"

// Writer writes the frames of one streamed response and flushes after each of
// them. The exported fields must be set before the first call. A Writer is not
// safe for concurrent use.
type Writer struct {
	// Out receives the events. The Writer sets the content type in its header
	// before the first event; a status other than 200 must be written before
	// that.
	Out http.ResponseWriter
	// Form is the form of the events.
	Form Form
	// Request is the id of the request; if empty, the first frame sets it.
	Request string
	// From is the sequence of the first frame.
	From uint64

	control *http.ResponseController
	buf     []byte
	next    uint64
	closed  bool
}

// Started reports whether an event was written, after which a status can no
// longer be sent.
func (w *Writer) Started() bool { return w.control != nil }

// Frame writes one frame. Frames must come in order, and an end frame must
// count the frames before it. Errors are of type *Error; the fault is
// Unwritable if the frame could not be written to the next hop.
func (w *Writer) Frame(f Frame) error {
	next := w.From
	if w.control != nil {
		next = w.next
	}
	switch {
	case w.closed:
		return newError(writeOp, Malformed, "frame %d after the stream was closed", f.Sequence)
	case f.Sequence != next:
		return newError(writeOp, Gap, "frame %d in place of frame %d", f.Sequence, next)
	case f.End && f.Count != next:
		return newError(writeOp, Gap, "end frame counts %d frames in place of %d", f.Count, next)
	case !f.End && (len(f.Data) == 0 || bytes.IndexByte(f.Data, '\r') >= 0):
		return newError(writeOp, Malformed, "the data of frame %d cannot be written as an event", f.Sequence)
	case w.Request == "":
		w.Request = f.Request
	case f.Request != w.Request:
		return newError(writeOp, Foreign, "frame of request %q in the stream of request %q", f.Request, w.Request)
	}
	if strings.ContainsAny(w.Request, "\r\n") || w.Request == "" {
		return newError(writeOp, Malformed, "request id %q cannot be written as an id", w.Request)
	}
	w.start()
	w.buf = w.buf[:0]
	w.appendFrame(f)
	w.closed = f.End
	w.next = next + 1
	return w.flush()
}

// Fail ends a stream that cannot be completed with an error event. The problem
// must be a JSON document. Fail returns an error after the end frame or an
// earlier Fail.
func (w *Writer) Fail(problem []byte) error {
	if w.closed {
		return newError(writeOp, Malformed, "error event after the stream was closed")
	}
	var b bytes.Buffer
	if err := json.Compact(&b, problem); err != nil {
		return wrapError(writeOp, Malformed, errors.Wrap(err, "problem document"))
	}
	w.start()
	w.closed = true
	w.buf = append(w.buf[:0], "event: error\n"...)
	w.appendData(b.Bytes())
	w.buf = append(w.buf, '\n')
	return w.flush()
}

func (w *Writer) start() {
	if w.control != nil {
		return
	}
	w.control = http.NewResponseController(w.Out)
	w.next = w.From
	h := w.Out.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Del("Content-Length")
}

func (w *Writer) appendFrame(f Frame) {
	if w.Form == Caller {
		if f.End {
			w.buf = append(w.buf, "data: [DONE]\n\n"...)
			return
		}
		w.appendData(f.Data)
		w.buf = append(w.buf, '\n')
		return
	}
	if f.End {
		w.buf = append(w.buf, "event: end\n"...)
	}
	w.buf = append(append(append(w.buf, "id: "...), w.Request...), '/')
	w.buf = append(strconv.AppendUint(w.buf, f.Sequence, 10), '\n')
	if f.End {
		w.buf = append(w.buf, `data: {"count":`...)
		w.buf = append(strconv.AppendUint(w.buf, f.Count, 10), "}\n"...)
	} else {
		w.appendData(f.Data)
	}
	w.buf = append(w.buf, '\n')
}

// appendData appends one data line to the buffer for each line of b.
func (w *Writer) appendData(b []byte) {
	for more := true; more; {
		var line []byte
		line, b, more = bytes.Cut(b, []byte{'\n'})
		w.buf = append(append(append(w.buf, "data: "...), line...), '\n')
	}
}

func (w *Writer) flush() error {
	if _, err := w.Out.Write(w.buf); err != nil {
		w.closed = true
		return wrapError(writeOp, Unwritable, err)
	}
	if err := w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		w.closed = true
		return wrapError(writeOp, Unwritable, err)
	}
	return nil
}
