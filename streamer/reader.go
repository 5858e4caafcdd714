package streamer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// The bounds of a Reader whose fields are zero.
const (
	// DefaultMaxLine bounds one line in bytes.
	DefaultMaxLine = 64 << 10
	// DefaultMaxEvent bounds the data of one event in bytes.
	DefaultMaxEvent = 256 << 10
	// DefaultWindow is the number of sequences that a frame may be ahead.
	DefaultWindow = 4
)

const (
	readOp = "read stream"
	// maxID is the maximum length of a request id with its sequence, in bytes.
	maxID = 512
	// bufferSize is the size of the read buffer of each open stream. A gateway
	// has hundreds of open streams, and most lines are a few hundred bytes.
	bufferSize = 4 << 10
	// freeBytes is what a Reader keeps without Reserve. Most frames are smaller, so that
	// faulty streams never take the place of sound ones.
	freeBytes = 32 << 10
)

// Reader reads the frames of one streamed response. The exported fields must be
// set before the first call of Next. A Reader is not safe for concurrent use.
type Reader struct {
	// In is the body of the response.
	In io.Reader
	// Request is the id that every frame must carry. If empty, the first frame
	// sets it.
	Request string
	// From is the sequence of the first frame to return; earlier ones are
	// dropped as duplicates. To resume a stream it is set to the Position of the
	// previous Reader.
	From uint64
	// MaxLine and MaxEvent bound a line and the data of an event in bytes; 0
	// means DefaultMaxLine and DefaultMaxEvent.
	MaxLine, MaxEvent int
	// Window is the number of sequences that a frame may be ahead and still be
	// reordered; 0 means DefaultWindow, and with a negative value every frame
	// that is ahead is a gap.
	Window int
	// Reserve asks for n further bytes of memory and reports whether there is room. A Reader
	// asks once it keeps more than freeBytes; nil allows all.
	Reserve func(n int64) bool

	in    *bufio.Reader
	line  []byte
	event event
	early []earlyFrame
	next  uint64
	err   error
	// reserved is the number of bytes that Reserve has granted.
	reserved int64
}

// event is a parsed server-sent event; its buffers are reused.
type event struct {
	id, name, data []byte
	hasData, seen  bool
}

// earlyFrame is a slot for a frame that arrived ahead of its turn.
type earlyFrame struct {
	used  bool
	frame Frame
	data  []byte
}

// Position returns the lowest sequence that Next has not returned yet. A failed
// stream is resumed from there.
func (r *Reader) Position() uint64 {
	if r.in == nil {
		return r.From
	}
	return r.next
}

// Next returns the next frame in order. The last one has End set, and the call
// after it returns io.EOF. Every other failure is an *Error, which all later
// calls return again.
func (r *Reader) Next() (Frame, error) {
	if r.in == nil {
		r.start()
	}
	if r.err != nil {
		return Frame{}, r.err
	}
	f, err := r.readFrame()
	if err != nil {
		r.err = err
		return Frame{}, err
	}
	if f.End {
		r.err = io.EOF
	} else {
		r.next++
	}
	return f, nil
}

func (r *Reader) start() {
	if r.MaxLine <= 0 {
		r.MaxLine = DefaultMaxLine
	}
	if r.MaxEvent <= 0 {
		r.MaxEvent = DefaultMaxEvent
	}
	if r.Window == 0 {
		r.Window = DefaultWindow
	}
	r.next = r.From
	r.early = make([]earlyFrame, max(r.Window, 0))
	r.in = bufio.NewReaderSize(r.In, bufferSize)
}

// readFrame returns the frame with the sequence r.next.
func (r *Reader) readFrame() (Frame, error) {
	for {
		if f, ok := r.takeEarly(); ok {
			return r.checkNoneAfterEnd(f)
		}
		if err := r.readEvent(); err != nil {
			return Frame{}, err
		}
		f, err := r.parseFrame()
		if err != nil {
			return Frame{}, err
		}
		switch {
		case f.Sequence == r.next:
			return r.checkNoneAfterEnd(f)
		case f.Sequence < r.next && f.End:
			return Frame{}, newError(readOp, Malformed, "end frame counts %d frames after %d were passed on", f.Count, r.next)
		case f.Sequence < r.next:
			// A repeat of a frame that was passed on.
		default:
			if err := r.keepEarly(f); err != nil {
				return Frame{}, err
			}
		}
	}
}

// takeEarly returns the stored frame that is next in order and frees its slot.
func (r *Reader) takeEarly() (Frame, bool) {
	if len(r.early) == 0 {
		return Frame{}, false
	}
	h := &r.early[r.next%uint64(len(r.early))]
	if !h.used || h.frame.Sequence != r.next {
		return Frame{}, false
	}
	h.used = false
	return h.frame, true
}

// checkNoneAfterEnd returns f, or an error if f is the end frame while frames
// with higher sequences are stored.
func (r *Reader) checkNoneAfterEnd(f Frame) (Frame, error) {
	if !f.End {
		return f, nil
	}
	for i := range r.early {
		if h := &r.early[i]; h.used {
			return Frame{}, newError(readOp, Malformed, "frame %d follows the end frame, which counts %d", h.frame.Sequence, f.Count)
		}
	}
	return f, nil
}

// keepEarly stores a frame that is ahead until its turn.
func (r *Reader) keepEarly(f Frame) error {
	if f.Sequence-r.next > uint64(len(r.early)) {
		return newError(readOp, Gap, "frame %d is missing; frame %d arrived", r.next, f.Sequence)
	}
	h := &r.early[f.Sequence%uint64(len(r.early))]
	if h.used {
		if h.frame.End != f.End {
			return newError(readOp, Malformed, "frame %d is both a data frame and the end frame", f.Sequence)
		}
		return nil
	}
	var err error
	if h.data, err = r.extend(h.data[:0], f.Data); err != nil {
		return err
	}
	f.Data = h.data
	h.used, h.frame = true, f
	return nil
}

// truncationError returns the error for a stream that stopped before its end
// frame: a gap if a later frame has arrived, otherwise a cut.
func (r *Reader) truncationError(cause error) error {
	for i := range r.early {
		if r.early[i].used {
			return newError(readOp, Gap, "frame %d is missing; frame %d arrived", r.next, r.early[i].frame.Sequence)
		}
	}
	if errors.Is(cause, io.EOF) {
		return newError(readOp, Cut, "stream stopped at frame %d without an end frame", r.next)
	}
	return wrapError(readOp, Cut, errors.Wrapf(cause, "stream stopped at frame %d", r.next))
}

// readEvent reads up to the blank line that terminates an event.
func (r *Reader) readEvent() error {
	e := &r.event
	e.id, e.name, e.data, e.hasData, e.seen = e.id[:0], e.name[:0], e.data[:0], false, false
	for {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if e.seen {
				return nil
			}
			continue
		}
		if err := r.parseField(line); err != nil {
			return err
		}
	}
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if len(r.line)+len(part) > r.MaxLine {
			return nil, newError(readOp, Oversized, "a line is longer than %d bytes", r.MaxLine)
		}
		switch {
		case err == nil && len(r.line) == 0:
			return trimLineEnd(part), nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, r.truncationError(err)
		}
		var full error
		if r.line, full = r.extend(r.line, part); full != nil {
			return nil, full
		}
		if err == nil {
			return trimLineEnd(r.line), nil
		}
	}
}

func trimLineEnd(line []byte) []byte { return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}) }

// extend appends b to to, which the Reader keeps.
func (r *Reader) extend(to, b []byte) ([]byte, error) {
	n := len(to) + len(b)
	if n <= cap(to) {
		return append(to, b...), nil
	}
	size := max(n, 2*cap(to))
	total := int64(size - cap(to) + cap(r.line) + cap(r.event.name) + cap(r.event.data))
	for i := range r.early {
		total += int64(cap(r.early[i].data))
	}
	if more := total - r.reserved; r.Reserve != nil && total > freeBytes && more > 0 {
		if !r.Reserve(more) {
			return to, newError(readOp, Oversized, "there is no room for %d bytes of unfinished events", total)
		}
		r.reserved = total
	}
	return append(append(make([]byte, 0, size), to...), b...), nil
}

// parseField adds the field in the line to the event. Comments and "retry" are
// skipped, as the server-sent events standard requires.
func (r *Reader) parseField(line []byte) error {
	e := &r.event
	var err error
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		if len(value) > maxID {
			return newError(readOp, Oversized, "an id has %d bytes; at most %d are allowed", len(value), maxID)
		}
		e.id, e.seen = append(e.id[:0], value...), true
	case "event":
		e.name, err = r.extend(e.name[:0], value)
		e.seen = true
	case "data":
		if len(e.data)+len(value)+1 > r.MaxEvent {
			return newError(readOp, Oversized, "the data of an event is longer than %d bytes", r.MaxEvent)
		}
		if e.hasData {
			if e.data, err = r.extend(e.data, []byte{'\n'}); err != nil {
				return err
			}
		}
		e.data, err = r.extend(e.data, value)
		e.hasData, e.seen = true, true
	}
	return err
}

// parseFrame converts the event to a frame.
func (r *Reader) parseFrame() (Frame, error) {
	e := &r.event
	if string(e.name) == "error" {
		err := newError(readOp, Reported, "the sender could not complete the stream at frame %d", r.next)
		err.Problem = bytes.Clone(e.data)
		return Frame{}, err
	}
	if len(e.name) != 0 && string(e.name) != "message" && string(e.name) != "end" {
		return Frame{}, newError(readOp, Malformed, "event %q is not known", e.name)
	}
	i := bytes.LastIndexByte(e.id, '/')
	if i < 1 {
		return Frame{}, newError(readOp, Malformed, "id %q is not a request id and a sequence", e.id)
	}
	n, ok := parseSequence(e.id[i+1:])
	if !ok {
		return Frame{}, newError(readOp, Malformed, "id %q has no sequence", e.id)
	}
	if r.Request == "" {
		r.Request = string(e.id[:i])
	}
	if string(e.id[:i]) != r.Request {
		return Frame{}, newError(readOp, Foreign, "frame of request %q in the stream of request %q", e.id[:i], r.Request)
	}
	f := Frame{Request: r.Request, Sequence: n}
	if string(e.name) == "end" {
		f.End, f.Count = true, n
		return f, checkEnd(e.data, n)
	}
	if len(e.data) == 0 || e.data[0] != '{' || bytes.IndexByte(e.data, '\r') >= 0 || !json.Valid(e.data) {
		return Frame{}, newError(readOp, Malformed, "the data of frame %d is not a JSON object", n)
	}
	f.Data = e.data
	return f, nil
}

// checkEnd checks that the data of an end frame counts n frames.
func checkEnd(data []byte, n uint64) error {
	var v struct {
		Count *uint64 `json:"count"`
	}
	if err := recorder.DecodeStrict(data, &v); err != nil {
		return wrapError(readOp, Malformed, errors.Wrap(err, "end frame"))
	}
	if v.Count == nil || *v.Count != n {
		return newError(readOp, Malformed, "end frame %d has the data %s", n, data)
	}
	return nil
}

// parseSequence parses decimal digits without a sign or leading zeros.
func parseSequence(b []byte) (uint64, bool) {
	// 18 digits cannot overflow.
	if len(b) == 0 || len(b) > 18 || (b[0] == '0' && len(b) > 1) {
		return 0, false
	}
	var n uint64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}
