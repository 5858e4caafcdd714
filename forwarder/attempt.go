package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

const (
	// maxResponseBodyBytes bounds the body of a response that is buffered until it is complete.
	maxResponseBodyBytes = 8 << 20
	// maxDiscardedBodyBytes bounds the body of a refusal that is read and discarded so
	// that the connection can be reused.
	maxDiscardedBodyBytes = 64 << 10
)

// attempt is one request to an endpoint.
type attempt struct {
	call  *call
	lease *dispatcher.Lease
	ctx   context.Context
	// cancel ends ctx, which resets the connection.
	cancel context.CancelFunc
	// last reports whether no further attempt can follow.
	last bool
	// begun reports whether the caller has a part of the stream, and resumeFrom is the id of
	// the last event that it had when the attempt began.
	begun      bool
	resumeFrom string
	// counted reports whether the attempt is among the call's tries.
	counted bool
	// retry is the decision that took a retry from the budget for the attempt; the zero value
	// if none did.
	retry retrier.Decision
	// silence calls onSilence when the next part of the response is overdue.
	silence *time.Timer
	// state is guarded by the lock of attempts.
	state attemptState

	conn *connection
	// response is set once its headers are read and its request id matches.
	response *http.Response
	// sent reports whether bytes of the request may have reached the endpoint; sentAt is when
	// the first ones were written.
	sent   bool
	sentAt time.Time
	// beganAt is when the endpoint began its answer, as far as is known: the time of the first
	// event, or of the headers of an answer that isn't a stream.
	beganAt time.Time
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome      retrier.Outcome
	leaseOutcome dispatcher.Outcome
	// response is the buffered response, or nil if there is none.
	response *bufferedResponse
	// complete reports whether the caller has received its complete response, and final
	// whether response is to be written to the caller.
	complete, final bool
	err             error
}

// isAnswer reports whether the result ends the call.
func (v *attemptResult) isAnswer() bool { return v.complete || v.final }

// bufferedResponse is a response that is not a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// length is the length of the body that the headers state; -1 if they state none.
	length int64
}

func unknownOutcome(op string, err error) attemptResult {
	return attemptResult{
		outcome: retrier.Unknown, leaseOutcome: dispatcher.Failed,
		err: &Error{Op: op, Kind: classifier.OutcomeUnknown, Err: err},
	}
}

// lostCaller returns the result of an attempt whose events the caller doesn't accept. It
// ends the call, as no other endpoint can help.
func (a *attempt) lostCaller(err error) attemptResult {
	a.call.cancel()
	v := unknownOutcome("write to caller", err)
	v.leaseOutcome = dispatcher.Canceled
	return v
}

// superseded returns the result of an attempt with whose response another one has gone on.
func superseded() attemptResult {
	return attemptResult{outcome: retrier.Unknown, leaseOutcome: dispatcher.Canceled, err: errSuperseded}
}

// errLeaseExpired ends an attempt before any byte is sent.
var errLeaseExpired = &Error{Op: "send request", Kind: classifier.Timeout, Err: errors.New("the lease has expired")}

// errLeaseRevoked does the same if the endpoint has said meanwhile that it leaves or wants
// no requests, or the endpoint list has become too old in a pause of the process.
var errLeaseRevoked = &Error{Op: "send request", Kind: classifier.Unavailable, Err: errors.New("the endpoint leaves or is paused, or the list is old")}

// errOverdue ends an attempt at an endpoint that hasn't begun the request in the time in which
// its version may be used.
var errOverdue = &Error{Op: "read response", Kind: classifier.Timeout, Err: errors.New("the endpoint's version may no longer be used and the request hasn't begun")}

// checkLease returns an error if the request must not be sent on its lease any more.
func (a *attempt) checkLease() error {
	switch {
	case a.lease.IsExpired():
		return errLeaseExpired
	case a.lease.IsRevoked():
		return errLeaseRevoked
	}
	if !a.call.endsInTime() {
		return errStopping
	}
	if a.call.isHeld() {
		return errHeld
	}
	return nil
}

// run makes the attempt. The connection is reset when the context ends.
func (a *attempt) run(ctx context.Context, t *Transport) attemptResult {
	address := a.lease.Endpoint.Address
	conn, err := t.open(ctx, address, a.call.needsFreshConnection())
	if err != nil {
		return attemptResult{outcome: retrier.NotRun, leaseOutcome: dispatcher.Failed, err: err}
	}
	if isCallerDisconnected(ctx) {
		conn.abort()
		if ctx.Err() == nil {
			// Otherwise the call has ended, or only this attempt has.
			a.call.cancel()
		}
		return attemptResult{outcome: retrier.NotRun, leaseOutcome: dispatcher.Canceled, err: errCallerDisconnected}
	}
	if err := a.checkLease(); err != nil {
		conn.abort()
		return attemptResult{outcome: retrier.NotRun, leaseOutcome: dispatcher.Canceled, err: err}
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, conn.abort)
	v := a.exchange()
	if !stop() || a.response == nil || a.response.Close || v.err != nil || v.leaseOutcome == dispatcher.Failed {
		conn.abort()
	} else {
		t.putIdle(address, conn, a.response.Header.Get("Keep-Alive"))
	}
	if ctx.Err() != nil && !v.complete && !v.final {
		v.leaseOutcome = dispatcher.Canceled
	}
	return v
}

func (a *attempt) exchange() attemptResult {
	a.sent, a.sentAt = true, time.Now()
	a.lease.OnOverdue(a.endOverdue)
	if err := a.write(); err != nil {
		return unknownOutcome("send request", err)
	}
	if err := a.conn.SetReadDeadline(a.call.deadline); err != nil {
		return unknownOutcome("send request", err)
	}
	a.expect(a.hear().Add(a.lease.SilentAfter()))
	r, err := a.readHeaders() //nolint:bodyclose // Close would read the rest of the body; the connection is closed instead.
	if err != nil {
		a.call.handler.noteInvalid(err)
		return unknownOutcome("read response", err)
	}
	names := a.call.handler.Headers
	if !a.call.isAnsweredBy(r.Header.Values(names.RequestID)) {
		return unknownOutcome("read response", errors.Newf("response has request ids %q", r.Header.Values(names.RequestID)))
	}
	a.response = r
	a.hearResponse()
	a.notice()
	if ms, err := strconv.ParseInt(r.Header.Get(names.Cold), 10, 64); err == nil && ms > 0 {
		a.call.handler.Dispatcher.ExtendCold(a.lease, milliseconds(ms, maxColdTime))
	}
	if v, refused := a.readRefusal(); refused {
		return v
	}
	if err := a.checkResponse(); err != nil {
		return unknownOutcome("read response", err)
	}
	if r.StatusCode == http.StatusOK && isEventStream(r.Header) {
		return a.copyEvents()
	}
	return a.readResponse()
}

// write sends the request with the headers of the attempt, such as the id of the
// instance that may run it.
func (a *attempt) write() error {
	c := a.call
	n := c.handler.Headers
	h := maps.Clone(c.header)
	h[n.Instance] = []string{a.lease.Endpoint.ID}
	h[n.Deadline] = []string{strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10)}
	if u := urgency(c.ranks, c.match.Rank(), a.lease.Owed, a.begun); u != "" {
		h[n.Urgency] = []string{u}
	}
	if a.resumeFrom != "" {
		h[n.ResumeFrom] = []string{a.resumeFrom}
	}
	if c.hasBody() {
		h["Content-Length"] = []string{strconv.Itoa(len(c.body))}
	}
	// A large body isn't copied: attempts at slow endpoints would hold it twice.
	b := bufio.NewWriterSize(requestWriter{a}, bufferSize+min(len(c.body), requestPartBytes))
	_, _ = fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.uri, c.host)
	// A bufio.Writer returns its first error from Flush.
	_ = h.Write(b)
	_, _ = b.WriteString("\r\n")
	_, _ = b.Write(c.body)
	return b.Flush()
}

// requestPartBytes is the size of the parts of a request that an endpoint has to read one
// after the other, or it counts as silent.
const requestPartBytes = 64 << 10

// requestWriter writes a request in parts.
type requestWriter struct{ attempt *attempt }

// Write implements io.Writer.
func (w requestWriter) Write(b []byte) (int, error) {
	a, n := w.attempt, 0
	for n < len(b) {
		a.expect(a.hear().Add(a.lease.SilentAfter()))
		k, err := a.conn.Write(b[n:min(n+requestPartBytes, len(b))])
		if n += k; err != nil {
			return n, err
		}
	}
	return n, nil
}

// readHeaders reads the headers of the final response and skips interim responses.
func (a *attempt) readHeaders() (*http.Response, error) {
	a.conn.limitReads(maxResponseHeaderBytes)
	defer a.conn.unlimitReads()
	for {
		r, err := http.ReadResponse(a.conn.r, &http.Request{Method: a.call.method})
		if err != nil {
			return nil, err
		}
		if header.CheckInterim(r) == nil {
			continue
		}
		if err := header.CheckResponse(r); err != nil {
			return nil, err
		}
		if hasForbiddenBody(r.StatusCode) && a.conn.r.Buffered() > 0 {
			return nil, header.BodyForbidden(r)
		}
		return r, nil
	}
}

// hasForbiddenBody reports whether a response with the status ends with its headers.
func hasForbiddenBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// readRefusal reports whether the endpoint refused the request without running it.
func (a *attempt) readRefusal() (attemptResult, bool) {
	r := a.response
	v := attemptResult{outcome: retrier.NotRun, leaseOutcome: dispatcher.Full}
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		v.leaseOutcome = dispatcher.Misdirected
	case r.StatusCode < http.StatusBadRequest || r.Header.Get(a.call.handler.Headers.NotRun) == "":
		return v, false
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBodyBytes)); err != nil || n == maxDiscardedBodyBytes {
		r.Close = true
	}
	v.err = &Error{Op: "attempt", Kind: classifier.Refused, Err: errors.Newf("endpoint refused the request with status %d", r.StatusCode)}
	if r.StatusCode == http.StatusBadRequest {
		v.response = &bufferedResponse{status: http.StatusBadRequest}
	}
	return v, true
}

// checkResponse returns an error if the response can't be the endpoint's whole answer.
func (a *attempt) checkResponse() error {
	r := a.response
	switch {
	case r.ProtoMajor != 1:
		return errors.Newf("response has protocol version %q", r.Proto)
	case r.ProtoMinor == 0 && r.ContentLength < 0 && a.call.method != http.MethodHead:
		// http.ReadResponse ignores and removes the transfer encoding of this version, so
		// that the marks of the chunks would be part of the body.
		return errors.Newf("%s response has no length", r.Proto)
	case r.StatusCode/100 == 2 && r.Header.Get(a.call.handler.Headers.Signature) == "":
		return errors.New("successful response has no signature header")
	case r.StatusCode/100 == 2 && a.refusedEncoding() != "":
		return errors.Newf("successful response has the encoding %q, which the caller doesn't accept", a.refusedEncoding())
	}
	return nil
}

// readResponse buffers the complete response, so that a truncated one never looks
// complete to the caller.
func (a *attempt) readResponse() attemptResult {
	r := a.response
	a.beganAt = time.Now()
	a.expect(a.call.deadline)
	// The limit is twice the body, as the chunked encoding of a one-byte chunk takes
	// several bytes.
	a.conn.limitReads(2 * maxResponseBodyBytes)
	defer a.conn.unlimitReads()
	b, err := a.call.buffers.Read(r.Body, maxResponseBodyBytes)
	if err == nil && a.isCutByEnd() {
		err = errProcessEnded
	}
	if err != nil {
		return unknownOutcome("read response", err)
	}
	v := attemptResult{outcome: retrier.Failed, response: &bufferedResponse{status: r.StatusCode, header: r.Header, body: b, length: r.ContentLength}}
	if r.StatusCode >= http.StatusInternalServerError {
		v.leaseOutcome = dispatcher.Failed
	}
	if v.final = !a.begun && v.response.isFinal(); v.final && !a.claim() {
		return superseded()
	}
	return v
}
