package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/isolator"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// Timeouts of an attempt that may be followed by another one.
const (
	// eventGapFactor times the target gap between events is the pause after which another
	// endpoint is asked to resume the stream as well. Callers abandon it after resolver.Route.Patience, so
	// the other endpoint has as long.
	eventGapFactor = 4
	// minEventTimeout exceeds the pause of an engine that preempts a request.
	minEventTimeout = 1200 * time.Millisecond
	// askAgainInterval is the time after which another endpoint is looked for again beside a
	// silent one, if there was none.
	askAgainInterval = time.Second
)

// call is the state of a caller's request from its arrival to the end of its response.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	ctl     *http.ResponseController
	ctx     context.Context
	// cancel ends ctx as a disconnect of the caller does.
	cancel context.CancelFunc

	id, method, uri, host string
	header                http.Header
	body                  []byte
	match                 resolver.Match
	// revision is the revision of the configuration that resolved the request; 0 if there
	// was none.
	revision uint64
	// promptTokens is the length of the prompt, and answerTokens the largest one of the answer.
	promptTokens, answerTokens int
	// lengthHint is the caller's estimate of the length of the answer; 0 if there is none.
	lengthHint int
	service    string
	// ranks holds the ranks that requests to the service may have.
	ranks []int

	start, deadline time.Time

	// lease is the lease of the attempt that began or ended last; a zero Lease before the
	// first.
	lease    *dispatcher.Lease
	attempts attempts
	// started reports whether a part of a stream was sent to the caller. The writer sets it
	// with the lock of attempts.
	started   bool
	unflushed bool
	// lastEvent is the id of the last event that the caller has received, and lastEventAt when
	// the last part of the stream was sent. The writer sets them with the lock of attempts.
	lastEvent   string
	lastEventAt time.Time
	// tries is the number of attempts that have ended, or whose endpoints have been silent, in
	// which the request may have been sent.
	tries int
	// retry is the decision that took a retry from the budget for the next attempt; the zero
	// value if none did.
	retry     retrier.Decision
	queueTime time.Duration
	// reserved reports whether the request waited, or was refused, while slots were kept for more
	// urgent ones.
	reserved bool
	// halfOpen reports whether an attempt was sent to an endpoint that had failed, to try it.
	halfOpen bool
	// reservedHere reports whether any of these were kept for requests of this gateway, and not left to
	// those that wait at others.
	reservedHere bool
	// buffers is what the call holds of the buffers of the handler.
	buffers receiver.Share
	// triedEndpoints holds the ids of the endpoints of the attempts so far.
	triedEndpoints []string
	// unreached holds those of them to which only a dial was made, which timed out, and
	// dialedAgain the one that was dialed again for that; empty if none was.
	unreached   []string
	dialedAgain string
	firstAfter  time.Duration
	// suspects returns what may be at fault if endpoints end under the request, its content first.
	suspects func() []isolator.Suspect
	// trial holds the suspects of which the request is a trial; nil if it is none.
	trial []isolator.Digest
}

// isAtMostOnce reports whether the request must not run more than once.
func (c *call) isAtMostOnce() bool { return c.match.Route.Repeat == resolver.AtMostOnce }

// needsFreshConnection reports whether the request must not use a connection on which a late
// response to an earlier request may arrive. Without an id it would be taken for its own.
func (c *call) needsFreshConnection() bool { return c.isAtMostOnce() || c.id == "" }

// isAnsweredBy reports whether a response with these request ids belongs to the call.
func (c *call) isAnsweredBy(ids []string) bool {
	if len(ids) == 0 {
		return c.id == ""
	}
	return len(ids) == 1 && ids[0] == c.id
}

func (c *call) hasBody() bool {
	return len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch
}

// isLastAttempt reports whether no further attempt can follow the current one.
func (c *call) isLastAttempt() bool {
	return c.isAtMostOnce() || c.trial != nil || c.tries+1 >= c.match.Route.Attempts
}

// eventTimeout returns how long an endpoint may take until its next event before it counts
// as silent.
func (a *attempt) eventTimeout() time.Duration {
	if !a.begun {
		return a.lease.SilentAfter()
	}
	return max(eventGapFactor*a.call.match.Route.Gap, minEventTimeout)
}

// writeEvent writes a complete event to the caller, preceded by the response headers
// if it is the first one.
func (a *attempt) writeEvent(event []byte) error {
	a.writeStreamHeader()
	a.call.unflushed = true
	_, err := a.call.w.Write(event)
	return err
}

// writeStreamHeader writes the response headers of a stream unless an earlier attempt
// has written its own.
func (a *attempt) writeStreamHeader() {
	c := a.call
	if c.started {
		return
	}
	a.setProgress("")
	a.lease.PrefillDone()
	c.firstAfter = time.Since(c.start)
	copyHeader(c.w.Header(), a.response.Header)
	c.handler.setConnectionClose(c.w.Header())
	c.w.WriteHeader(a.response.StatusCode)
}

// endStream completes a stream, which may have no events.
func (a *attempt) endStream() error {
	a.writeStreamHeader()
	return a.call.flush()
}

func (c *call) flush() error {
	if !c.unflushed {
		return nil
	}
	c.unflushed = false
	return c.ctl.Flush()
}

// copyHeader copies the end-to-end headers. It disables the content type detection of
// the server if the endpoint sent no content type.
func copyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	removeHopByHopHeaders(dst)
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
}

// writeResponse writes a complete response to the caller.
func (c *call) writeResponse(a *bufferedResponse) {
	h := c.w.Header()
	copyHeader(h, a.header)
	c.handler.setConnectionClose(h)
	length := int64(len(a.body))
	if c.method == http.MethodHead {
		length = a.length
	}
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}
