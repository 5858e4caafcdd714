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
	// The type is known also if a parameter can't be read.
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && t == "text/event-stream"
}

// copyEvents forwards each event when it is complete. An incomplete last event is
// discarded, so that the stream can be resumed after the previous one.
func (a *attempt) copyEvents() attemptResult {
	e := eventCopier{
		attempt: a, order: a.streamOrder(), event: eventBuffer{buffers: &a.call.handler.buffers}, lines: bufio.NewReaderSize(a.response.Body, bufferSize),
		due: time.Now().Add(a.eventTimeout()),
	}
	a.conn.beforeRead = e.beforeRead
	defer func() { a.conn.beforeRead = nil }()
	defer e.event.reset()
	for {
		if v, ended := e.copyLine(); ended {
			return v
		}
	}
}

// eventCopier copies the events of one attempt to the caller.
type eventCopier struct {
	attempt *attempt
	order   *streamOrder
	lines   *bufio.Reader
	event   eventBuffer
	fields  eventFields
	// due is the time at which the next event with data is due. Parts of an event and
	// comments don't extend it, or a stalled endpoint could hold a stream until its deadline.
	// The time in which the caller accepts what it is sent does, as nothing is read then.
	due time.Time
	// flushErr is the error of a write to the caller.
	flushErr error
}

// beforeRead sends the caller what it has not yet got, before more is waited for.
func (e *eventCopier) beforeRead() error {
	if e.attempt.isWriter() {
		e.flushErr = e.waitForCaller(e.attempt.call.flush)
	}
	e.attempt.expect(e.due)
	return e.flushErr
}

// waitForCaller calls write, whose time isn't the endpoint's.
func (e *eventCopier) waitForCaller(write func() error) error {
	begun := time.Now()
	err := write()
	e.due = e.due.Add(time.Since(begun))
	return err
}

// copyLine reads a line and writes the event if this is its end.
func (e *eventCopier) copyLine() (v attemptResult, ended bool) {
	a := e.attempt
	line, err := readLine(e.lines, &e.event)
	switch {
	case e.flushErr != nil:
		return a.lostCaller(e.flushErr), true
	case errors.Is(err, io.EOF) && len(e.event.bytes) == 0:
		return a.finishStream(e.order), true
	case err != nil:
		return e.fail(err)
	}
	if len(line) > 0 {
		e.fields.add(line)
		return v, false
	}
	if err := e.order.check(e.fields); err != nil {
		return e.fail(err)
	}
	if v, ended = e.writeEvent(); ended {
		return v, true
	}
	e.fields = eventFields{}
	e.event.reset()
	return v, false
}

// fail sends the caller the events that it hasn't got, since no other attempt may follow that
// sends them.
func (e *eventCopier) fail(err error) (attemptResult, bool) {
	if e.attempt.isWriter() {
		if err := e.attempt.call.flush(); err != nil {
			return e.attempt.lostCaller(err), true
		}
	}
	return unknownOutcome("read event", errors.Wrapf(err, "after event %q", e.order.last)), true
}

// writeEvent writes the event to the caller. One without data is no reason to go on with a
// silent endpoint, and is discarded there.
func (e *eventCopier) writeEvent() (v attemptResult, ended bool) {
	a := e.attempt
	switch {
	case e.fields.hasData && !a.claim():
		return superseded(), true
	case !e.fields.hasData && !a.claimAlone():
		return v, false
	}
	if e.fields.hasData {
		a.setBegun()
		a.lease.CountEvent()
	}
	if err := e.waitForCaller(func() error { return a.writeEvent(e.event.bytes) }); err != nil {
		return a.lostCaller(err), true
	}
	a.setProgress(e.fields.id)
	e.order.add(e.fields)
	if e.fields.hasData {
		e.due = a.hear().Add(a.eventTimeout())
	}
	return v, false
}

// readLine appends the next line to the event and returns it without its line end.
// The error is io.EOF if the body ends between events.
func readLine(lines *bufio.Reader, event *eventBuffer) ([]byte, error) {
	start := len(event.bytes)
	for {
		b, err := lines.ReadSlice('\n')
		if err := event.write(b); err != nil {
			return nil, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(event.bytes) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return bytes.TrimRight(event.bytes[start:], "\r\n"), err
	}
}

// finishStream completes the caller's stream after the endpoint has ended its own. A resumed
// stream without events doesn't prove that the caller has all of them.
func (a *attempt) finishStream(order *streamOrder) attemptResult {
	if !order.continues {
		return unknownOutcome("read event", errors.Newf("resumed stream has no event after %q", order.last))
	}
	if a.isCutByEnd() {
		return unknownOutcome("read event", errProcessEnded)
	}
	if !a.claim() {
		return superseded()
	}
	if err := a.endStream(); err != nil {
		return a.lostCaller(err)
	}
	return attemptResult{outcome: retrier.Failed, complete: true}
}
