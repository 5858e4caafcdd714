package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

func isEventStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// copyEvents forwards each event when it is complete. An incomplete last event is
// discarded, so that the stream can be resumed after the previous one.
func (a *attempt) copyEvents() attemptResult {
	var event bytes.Buffer
	var fields eventFields
	order := a.call.streamOrder()
	lines := bufio.NewReaderSize(a.response.Body, bufferSize)
	// The next event with data is due at this time. Parts of an event and comments don't
	// extend it, or a stalled endpoint could hold a stream until its deadline.
	due := time.Now().Add(a.call.eventTimeout())
	for {
		if a.conn.r.Buffered() == 0 {
			if err := a.call.flush(); err != nil {
				return a.lostCaller(err)
			}
			if err := a.conn.SetReadDeadline(due); err != nil {
				return unknownOutcome("read event", err)
			}
		}
		line, err := readLine(lines, &event)
		switch {
		case errors.Is(err, io.EOF) && event.Len() == 0:
			return a.finishStream(order)
		case err != nil:
			return unknownOutcome("read event", errors.Wrapf(err, "after event %q", a.call.lastEvent))
		}
		if len(line) > 0 {
			fields.add(line)
			continue
		}
		if err := order.check(fields); err != nil {
			return unknownOutcome("read event", errors.Wrapf(err, "after event %q", a.call.lastEvent))
		}
		if err := a.call.writeEvent(a.response, event.Bytes()); err != nil {
			return a.lostCaller(err)
		}
		if fields.id != "" {
			a.call.lastEvent = fields.id
		}
		if fields.hasData {
			a.heard = time.Now()
			due = a.heard.Add(a.call.eventTimeout())
		}
		fields = eventFields{}
		event.Reset()
	}
}

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readLine appends the next line to the event and returns it without its line end.
// The error is io.EOF if the body ends between events.
func readLine(lines *bufio.Reader, event *bytes.Buffer) ([]byte, error) {
	start := event.Len()
	for {
		b, err := lines.ReadSlice('\n')
		event.Write(b)
		if event.Len() > maxEventBytes {
			return nil, errors.Newf("event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && event.Len() > 0 {
			err = io.ErrUnexpectedEOF
		}
		return bytes.TrimRight(event.Bytes()[start:], "\r\n"), err
	}
}

// finishStream completes the caller's stream after the endpoint has ended its own. A resumed
// stream without events doesn't prove that the caller has all of them.
func (a *attempt) finishStream(order *streamOrder) attemptResult {
	if !order.continues {
		return unknownOutcome("read event", errors.Newf("resumed stream has no event after %q", a.call.lastEvent))
	}
	if err := a.call.endStream(a.response); err != nil {
		return a.lostCaller(err)
	}
	return attemptResult{outcome: retrier.Failed, complete: true}
}
