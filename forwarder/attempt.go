package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

const (
	// maxAnswer bounds a response that is held until it is whole, in bytes.
	maxAnswer = 8 << 20
	// maxRefusal bounds the body of a refusal that is read to keep the connection.
	maxRefusal = 64 << 10
)

// attempt is one request to the endpoint of the call's lease.
type attempt struct {
	call *call
	conn *connection
	// response is set once its headers are there and belong to the request.
	response *http.Response
	// sent tells that bytes of the request may have reached the endpoint.
	sent bool
}

// verdict is what became of an attempt.
type verdict struct {
	outcome retrier.Outcome
	lease   dispatcher.Outcome
	// answer is the whole response, where there is one.
	answer *answer
	// done tells that the caller has its whole answer.
	done bool
	err  error
}

// answer is a response that is not a stream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func broken(op string, err error) verdict {
	return verdict{
		outcome: retrier.Unknown, lease: dispatcher.Failed,
		err: &Error{Op: op, Kind: classifier.OutcomeUnknown, Err: err},
	}
}

// run makes the attempt. The connection is closed as soon as the context ends.
func (a *attempt) run(ctx context.Context, t *Transport) verdict {
	address := a.call.lease.Endpoint.Address
	conn, err := t.open(ctx, address, a.call.isOnce())
	if err != nil {
		return verdict{outcome: retrier.NotRun, lease: dispatcher.Failed, err: err}
	}
	if isCallerGone(ctx) {
		conn.abort()
		a.call.cancel()
		return verdict{outcome: retrier.NotRun, lease: dispatcher.Canceled, err: errCallerGone}
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, conn.abort)
	v := a.exchange()
	if !stop() || a.response == nil || a.response.Close || v.err != nil || v.lease == dispatcher.Failed {
		conn.abort()
	} else {
		t.put(address, conn, a.response.Header.Get("Keep-Alive"))
	}
	if ctx.Err() != nil && !v.done {
		v.lease = dispatcher.Canceled
	}
	return v
}

func (a *attempt) exchange() verdict {
	a.sent = true
	if err := a.write(); err != nil {
		return broken("send request", err)
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(a.call.firstWait())); err != nil {
		return broken("send request", err)
	}
	r, err := a.readHeaders() //nolint:bodyclose // Close would read on to the end; the connection is closed instead.
	if err != nil {
		return broken("read response", err)
	}
	n := a.call.front.Headers
	if id := r.Header.Get(n.RequestID); id != a.call.id {
		return broken("read response", errors.Newf("the response is to request %q", id))
	}
	a.response = r
	if ms, err := strconv.Atoi(r.Header.Get(n.Cold)); err == nil && ms > 0 {
		a.call.front.Dispatcher.ExtendCold(a.call.lease, time.Duration(ms)*time.Millisecond)
	}
	if v, refused := a.refusal(); refused {
		return v
	}
	if r.StatusCode/100 == 2 && r.Header.Get(n.Signature) == "" {
		return broken("read response", errors.New("a success without a signature"))
	}
	if r.StatusCode == http.StatusOK && isEventStream(r.Header) {
		return a.copyEvents()
	}
	return a.readAnswer()
}

func isEventStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// write sends the request with the pins of the attempt.
func (a *attempt) write() error {
	c := a.call
	n := c.front.Headers
	h := maps.Clone(c.header)
	h[n.Instance] = []string{c.lease.Endpoint.ID}
	h[n.Deadline] = []string{strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10)}
	if c.lastEvent != "" {
		h[n.ResumeFrom] = []string{c.lastEvent}
	}
	if c.hasBody() {
		h["Content-Length"] = []string{strconv.Itoa(len(c.body))}
	}
	b := bufio.NewWriterSize(a.conn, bufferSize+len(c.body))
	_, _ = fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.uri, c.host)
	// A bufio.Writer keeps its first error for Flush.
	_ = h.Write(b)
	_, _ = b.WriteString("\r\n")
	_, _ = b.Write(c.body)
	return b.Flush()
}

// readHeaders reads the headers of the final response.
func (a *attempt) readHeaders() (*http.Response, error) {
	a.conn.limit(maxHead)
	defer a.conn.unlimit()
	for {
		r, err := http.ReadResponse(a.conn.r, &http.Request{Method: a.call.method})
		if err != nil || r.StatusCode >= http.StatusOK || r.StatusCode == http.StatusSwitchingProtocols {
			return r, err
		}
	}
}

// refusal recognizes an endpoint that ran nothing.
func (a *attempt) refusal() (verdict, bool) {
	r := a.response
	v := verdict{outcome: retrier.NotRun, lease: dispatcher.Full}
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		v.lease = dispatcher.Misdirected
	case r.StatusCode < http.StatusBadRequest || r.Header.Get(a.call.front.Headers.NotRun) == "":
		return v, false
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRefusal)); err != nil || n == maxRefusal {
		r.Close = true
	}
	v.err = &Error{Op: "attempt", Kind: classifier.Refused, Err: errors.Newf("the endpoint refused with status %d", r.StatusCode)}
	if r.StatusCode == http.StatusBadRequest {
		v.answer = &answer{status: http.StatusBadRequest}
	}
	return v, true
}

// readAnswer reads a response whole, so that one that ends early never looks
// complete to the caller.
func (a *attempt) readAnswer() verdict {
	r := a.response
	if err := a.conn.SetReadDeadline(a.call.deadline); err != nil {
		return broken("read response", err)
	}
	// Chunks of one byte take several bytes each.
	a.conn.limit(2 * maxAnswer)
	defer a.conn.unlimit()
	b, err := a.call.hold(r.Body, maxAnswer)
	if err != nil {
		return broken("read response", err)
	}
	v := verdict{outcome: retrier.Failed, answer: &answer{status: r.StatusCode, header: r.Header, body: b}}
	if r.StatusCode >= http.StatusInternalServerError {
		v.lease = dispatcher.Failed
	}
	return v
}

// copyEvents passes on whole events as they come. A last event that is not whole
// is dropped, so that the stream can be resumed behind the one before.
func (a *attempt) copyEvents() verdict {
	var event bytes.Buffer
	lines := bufio.NewReaderSize(a.response.Body, bufferSize)
	id := ""
	for {
		if a.conn.r.Buffered() == 0 {
			if err := a.call.flush(); err != nil {
				return broken("write to caller", err)
			}
			if err := a.conn.SetReadDeadline(time.Now().Add(a.call.gapWait())); err != nil {
				return broken("read event", err)
			}
		}
		line, err := readLine(lines, &event)
		switch {
		case errors.Is(err, io.EOF) && event.Len() == 0:
			return a.finish()
		case err != nil:
			return broken("read event", errors.Wrapf(err, "after event %q", a.call.lastEvent))
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
		if len(line) > 0 {
			continue
		}
		if err := a.call.writeEvent(a.response, event.Bytes()); err != nil {
			return broken("write to caller", err)
		}
		if id != "" {
			a.call.lastEvent = id
		}
		event.Reset()
	}
}

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// readLine appends the next line to the event and returns it without its end. The
// error is io.EOF at the end of the body.
func readLine(lines *bufio.Reader, event *bytes.Buffer) ([]byte, error) {
	start := event.Len()
	for {
		b, err := lines.ReadSlice('\n')
		event.Write(b)
		if event.Len() > maxEvent {
			return nil, errors.Newf("an event of more than %d bytes", maxEvent)
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

// finish ends a stream that the endpoint ended.
func (a *attempt) finish() verdict {
	if err := a.call.endStream(a.response); err != nil {
		return broken("write to caller", err)
	}
	return verdict{outcome: retrier.Failed, done: true}
}
