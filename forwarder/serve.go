package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// readBody buffers the complete body, since further attempts may need it, and reports
// whether the call can proceed. The timeout of the route includes the time to read the
// body.
func (c *call) readBody(q *http.Request, limit int64) bool {
	if q.Body == http.NoBody {
		return true
	}
	if err := c.ctl.SetReadDeadline(c.deadline); err != nil {
		c.fail(classifier.Internal, "internal", err)
		return false
	}
	var body io.Reader = http.MaxBytesReader(c.w, q.Body, limit)
	if p := c.handler.capacity; p != nil {
		body = &linkReader{Reader: body, capacity: p}
	}
	b, err := c.buffers.Read(body, limit)
	if errors.Is(err, receiver.ErrNoBufferSpace) {
		c.refuse(noRoomForBody, otherGatewayRetryAfter)
		return false
	}
	if err == nil {
		err = c.ctl.SetReadDeadline(time.Time{})
	}
	if err == nil {
		c.body = b
		return true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.handler.stopper.IsCut() {
		c.refuse(stopping, otherGatewayRetryAfter)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.answerStatus(http.StatusRequestTimeout, "body-too-late", err)
		return false
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		c.answerTooLarge(err)
		return false
	}
	// The caller disconnected before the body was complete.
	panic(http.ErrAbortHandler)
}

// bodyLimit returns the number of bytes that a body may have.
func bodyLimit(t *resolver.Table) int64 {
	if n := t.Configuration.Limits.BodyBytes; n > 0 {
		return n
	}
	return defaultMaxBodyBytes
}

func (c *call) answerTooLarge(err error) {
	c.answerStatus(http.StatusRequestEntityTooLarge, "body-too-large", err)
}

// prepare sets the fields that the attempts need from the request and its route.
func (c *call) prepare(q *http.Request, m resolver.Match) {
	n := &c.handler.Headers
	c.method, c.uri, c.host, c.match = q.Method, q.RequestURI, q.Host, m
	account := ""
	if m.Account != nil {
		account = m.Account.Name
	}
	c.header = n.outgoing(q.Header, account)
	c.lastEvent = q.Header.Get(n.ResumeFrom)
	prompt, answer, _ := strings.Cut(q.Header.Get(n.Tokens), ",")
	c.promptTokens, c.answerTokens = tokens(prompt), tokens(answer)
	c.lengthHint = n.lengthHint(q.Header)
	c.service = m.Route.Pick(rand.IntN(m.Route.Weight()))
	left := m.Route.Timeout
	if ms, err := strconv.ParseInt(q.Header.Get(n.Deadline), 10, 64); err == nil && ms > 0 {
		left = milliseconds(ms, left)
	}
	c.deadline = c.start.Add(left)
}

// tokens returns a number of tokens that a caller states; 0 if it states none.
func tokens(s string) int {
	k, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return max(0, min(k, maxTokens))
}

// firstBy returns when the caller abandons the stream unless its next part arrives; the zero
// value if the response isn't a stream.
func (c *call) firstBy() time.Time {
	r := c.match.Route
	if !r.Streaming {
		return time.Time{}
	}
	c.attempts.mu.Lock()
	defer c.attempts.mu.Unlock()
	since := c.start
	if c.started {
		since = c.lastEventAt
	}
	return since.Add(r.Patience())
}

// serve makes attempts until the call is finished. It waits only while an attempt that isn't
// superseded is under way, or next would never return.
func (c *call) serve() {
	defer c.join()
	var h history
	for another := true; ; {
		if another {
			if err := c.startAttemptInTime(); err != nil {
				c.refundRetry()
				if c.isEndedBy(err, h.last) {
					return
				}
			}
		}
		a, ended := c.next()
		if !ended {
			another = c.handleSilence(a)
			continue
		}
		var done bool
		if another, done = c.handleEnd(a, &h); done {
			return
		}
	}
}

// isEndedBy reports whether the call has ended because no attempt could be made. Silent ones
// go on.
func (c *call) isEndedBy(err error, last attemptResult) bool {
	if n, _ := c.attempts.counts(); n == 0 {
		c.handleAcquireError(err, last)
		return true
	}
	c.attempts.askAgain(time.Now().Add(askAgainInterval))
	return false
}

// history is what the ended attempts mean for the next one and for the answer.
type history struct {
	// last is the result of the last attempt that may have run, or of the first one.
	last        attemptResult
	failedDials int
}

// handleSilence reports whether another attempt is to be made beside a silent one.
func (c *call) handleSilence(a *attempt) bool {
	if !a.counted {
		a.lease.Silent()
		c.tries++
		a.counted = true
		c.triedEndpoints = append(c.triedEndpoints, a.lease.Endpoint.ID)
	}
	if _, active := c.attempts.counts(); active > 0 || c.trial != nil {
		return false
	}
	v := attemptResult{outcome: retrier.Unknown, err: errSilent}
	c.readmitUnreached()
	decision := c.retryDecision(v, true, c.handler.Dispatcher.Available(c.dispatcherRequest()) == nil)
	c.logFailedAttempt(a, v, decision)
	if !decision.Retry {
		c.attempts.askAgain(time.Now().Add(askAgainInterval))
	}
	return decision.Retry
}

// handleEnd reports whether another attempt is to be made after one has ended, and whether
// the call is finished.
func (c *call) handleEnd(a *attempt, h *history) (another, done bool) {
	v := a.state.result
	c.lease = a.lease
	if a.sent && !a.counted {
		c.tries++
		a.counted = true
	}
	if errors.Is(v.err, errSuperseded) || a.state.superseded {
		v.err = errSuperseded
		c.logFailedAttempt(a, v, retrier.Decision{Reason: "superseded"})
		return false, false
	}
	if !a.sent {
		h.failedDials++
	}
	if h.last.err == nil && h.last.response == nil || v.outcome != retrier.NotRun {
		// The response depends on the last attempt that may have run, even if a
		// later attempt did not run.
		h.last = v
	}
	if a.sent {
		c.endTrial(v.outcome != retrier.NotRun)
	}
	if c.completeIfAnswered(v) {
		c.noteServed(a, v)
		return false, true
	}
	c.noteEnding(a, v)
	if c.isHeld() {
		c.logFailedAttempt(a, v, retrier.Decision{Reason: endsEndpoints})
		c.endHeld(h.last)
		return false, true
	}
	running, active := c.attempts.counts()
	if active > 0 {
		c.logFailedAttempt(a, v, retrier.Decision{Reason: "other-attempt"})
		return false, false
	}
	if !errors.Is(v.err, errLeaseExpired) && !errors.Is(v.err, errLeaseRevoked) && !errors.Is(v.err, errStopping) {
		c.triedEndpoints = append(c.triedEndpoints, a.lease.Endpoint.ID)
		c.noteDial(a, v)
	}
	c.readmitUnreached()
	decision := retrier.Decision{Retry: true, Reason: "no-connection"}
	var unavailable error
	if a.sent || h.failedDials >= maxFailedDials || c.ctx.Err() != nil {
		unavailable = c.handler.Dispatcher.Available(c.dispatcherRequest())
		decision = c.retryDecision(v, a.sent, unavailable == nil)
	}
	c.logFailedAttempt(a, v, decision)
	switch {
	case decision.Retry:
		return true, false
	case running > 0:
		c.attempts.askAgain(time.Now().Add(askAgainInterval))
		return false, false
	case decision.Reason == retrier.NoEndpoint:
		c.handleAcquireError(unavailable, h.last)
	default:
		c.giveUp(h.last, decision.Reason)
	}
	return false, true
}

// endHeld finishes the call because its request is held, given the result of the last attempt that
// may have run.
func (c *call) endHeld(last attemptResult) {
	if last.outcome == retrier.NotRun && !c.started {
		c.refuseHeld(c.verdict())
		return
	}
	last.err = errHeld
	c.giveUp(last, endsEndpoints)
}

// dispatcherRequest returns the request for the next lease.
func (c *call) dispatcherRequest() dispatcher.Request {
	return dispatcher.Request{
		Service: c.service, Match: c.match, Exclude: c.triedEndpoints, Deadline: c.deadline, FirstBy: c.firstBy(),
		Prompt: c.promptTokens, Answer: c.answerTokens, Hint: c.lengthHint, Resumed: c.isStarted(), Last: c.isLastAttempt(),
	}
}

// completeIfAnswered finishes the call if the attempt produced its final response, and
// reports whether it did.
func (c *call) completeIfAnswered(v attemptResult) bool {
	switch {
	case v.complete:
		c.report("served", http.StatusOK, nil)
	case v.final:
		c.firstAfter = time.Since(c.start)
		c.writeResponse(v.response)
		c.report("served", v.response.status, nil)
	default:
		return false
	}
	return true
}

// Reasons why the context of a call is canceled.
const (
	callerLeft = "caller-left"
	// stopped means that a planned stop of the gateway has ended the call.
	stopped = "stopped"
)

// endReason returns the reason why the context of the call ended.
func (c *call) endReason() string {
	switch {
	case !errors.Is(c.ctx.Err(), context.Canceled):
		return "deadline"
	case c.handler.stopper.IsCut():
		return stopped
	}
	return callerLeft
}

func (c *call) retryDecision(v attemptResult, sent, available bool) retrier.Decision {
	if c.ctx.Err() != nil {
		return retrier.Decision{Reason: c.endReason()}
	}
	if !sent {
		return retrier.Decision{Reason: "no-connection"}
	}
	c.refundRetry()
	c.retry = retrier.Decide(c.handler.budget(c.service), retrier.Attempt{
		Outcome: v.outcome, Idempotent: !c.isAtMostOnce(),
		// A resumable stream continues after the last event, so it may be retried
		// though the caller has a part of it.
		Started:   c.isStarted() && c.match.Route.Repeat != resolver.Resumable,
		Remaining: time.Until(c.deadline), Tries: c.tries, MaxTries: c.match.Route.Attempts,
		Unavailable: !available,
	})
	return c.retry
}

// handleAcquireError finishes a call for which the dispatcher gave no lease.
func (c *call) handleAcquireError(err error, last attemptResult) {
	var e *dispatcher.Error
	if !errors.As(err, &e) {
		c.fail(classifier.Internal, "internal", err)
		return
	}
	if c.isHeld() && c.ctx.Err() == nil {
		if c.tries == 0 {
			last.outcome = retrier.NotRun
		}
		c.endHeld(last)
		return
	}
	if c.tries == 0 || last.outcome == retrier.NotRun && !c.started {
		if c.isStopped() {
			c.refuse(stopping, otherGatewayRetryAfter)
			return
		}
		if c.ctx.Err() == nil {
			c.refuse(e.Reason, e.RetryAfter)
			return
		}
	}
	c.giveUp(last, e.Reason)
}
