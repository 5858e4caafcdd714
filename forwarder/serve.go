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
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// readBody reads the body whole, since an attempt may have to be repeated. The
// route's time-out holds for it as well.
func (c *call) readBody(q *http.Request, limit int64) bool {
	if q.Body == http.NoBody {
		return true
	}
	if limit <= 0 {
		limit = defaultBody
	}
	if err := c.ctl.SetReadDeadline(c.deadline); err != nil {
		c.fail(classifier.Internal, "internal", err)
		return false
	}
	b, err := c.hold(http.MaxBytesReader(c.w, q.Body, limit), limit)
	if errors.Is(err, errHeld) {
		c.refuse("no-room-for-body", startRetry)
		return false
	}
	if err == nil {
		err = c.ctl.SetReadDeadline(time.Time{})
	}
	if err == nil {
		c.body = b
		return true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.answerStatus(http.StatusRequestTimeout, "body-too-late", err)
		return false
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		c.answerStatus(http.StatusRequestEntityTooLarge, "body-too-large", err)
		return false
	}
	// The caller left before its body was whole.
	panic(http.ErrAbortHandler)
}

// prepare takes from the request what the attempts need.
func (c *call) prepare(q *http.Request, m resolver.Match) {
	n := &c.front.Headers
	c.method, c.uri, c.host, c.match = q.Method, q.RequestURI, q.Host, m
	account := ""
	if m.Account != nil {
		account = m.Account.Name
	}
	c.header = n.outgoing(q.Header, account)
	c.lastEvent = q.Header.Get(n.ResumeFrom)
	tokens, _, _ := strings.Cut(q.Header.Get(n.Tokens), ",")
	if k, err := strconv.Atoi(tokens); err == nil {
		c.prompt = max(0, min(k, maxPrompt))
	}
	c.service = m.Route.Pick(rand.IntN(m.Route.Weight()))
	left := m.Route.Timeout
	if ms, err := strconv.ParseInt(q.Header.Get(n.Deadline), 10, 64); err == nil && ms > 0 {
		left = min(left, time.Duration(ms)*time.Millisecond)
		c.patient = c.front.cameBack(m.Route.Name, ms)
	}
	c.deadline = c.start.Add(left)
}

// queueUntil is when the call is refused if it still waits for a slot.
func (c *call) queueUntil() time.Time {
	if c.started {
		return earlier(time.Now().Add(resumeWait), c.deadline)
	}
	if c.patient {
		return c.start.Add(min(maxPatience, time.Duration(float64(c.deadline.Sub(c.start))*patientShare)))
	}
	d := max(minQueue, time.Duration(float64(c.match.Route.Aim)*queueShare))
	if c.tries > 0 {
		return earlier(time.Now().Add(d), c.deadline)
	}
	return earlier(c.start.Add(d), c.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serve makes attempts until the call is answered.
func (c *call) serve() {
	dials := 0
	var last verdict
	for {
		l, err := c.front.Dispatcher.Acquire(c.ctx, dispatcher.Request{
			Service: c.service, Match: c.match, Exclude: c.tried, Until: c.queueUntil(), Prompt: c.prompt, Retried: c.patient, Resumed: c.started,
		})
		if err != nil {
			c.unplaced(err, last)
			return
		}
		c.lease = l
		c.waited += l.Waited
		a := &attempt{call: c}
		v := a.run(c.ctx, c.front.Transport)
		l.Done(v.lease)
		if last.err == nil && last.answer == nil || v.outcome != retrier.NotRun {
			// What may have run decides on the answer, also where a later
			// attempt did not run.
			last = v
		}
		if a.sent {
			c.tries++
		} else {
			dials++
		}
		if c.settle(v) {
			return
		}
		c.tried = append(c.tried, l.Endpoint.ID)
		again := retrier.Decision{Retry: true, Reason: "no-connection"}
		if a.sent || dials >= maxDials || c.ctx.Err() != nil {
			again = c.decide(v, a.sent)
		}
		c.reportAttempt(v, again)
		if !again.Retry {
			c.give(last, again.Reason)
			return
		}
	}
}

// settle ends the call where the attempt did, and reports whether it did.
func (c *call) settle(v verdict) bool {
	switch {
	case v.done:
		c.report("served", http.StatusOK, nil)
	case !c.started && v.answer.isFinal():
		c.first = time.Since(c.start)
		c.reply(v.answer)
		c.report("served", v.answer.status, nil)
	default:
		return false
	}
	return true
}

// isFinal reports whether an answer of an endpoint ends the call whatever
// attempts are left.
func (a *answer) isFinal() bool {
	return a != nil && a.header != nil && a.status < http.StatusInternalServerError && !isPromise(a.status)
}

// isPromise reports whether a status tells callers that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// endReason tells why the context of the call ended.
func (c *call) endReason() string {
	if errors.Is(c.ctx.Err(), context.Canceled) {
		return "caller-left"
	}
	return "deadline"
}

func (c *call) decide(v verdict, sent bool) retrier.Decision {
	if c.ctx.Err() != nil {
		return retrier.Decision{Reason: c.endReason()}
	}
	if !sent {
		return retrier.Decision{Reason: "no-connection"}
	}
	return retrier.Decide(c.front.budget(c.service), retrier.Attempt{
		Outcome: v.outcome, Idempotent: !c.isOnce(),
		// A stream that may be resumed goes on behind the last event.
		Started:   c.started && c.match.Route.Repeat != resolver.Resumable,
		Remaining: time.Until(c.deadline), Tries: c.tries, MaxTries: c.match.Route.Attempts,
	})
}

// unplaced answers a call for which there is no endpoint.
func (c *call) unplaced(err error, last verdict) {
	var e *dispatcher.Error
	if !errors.As(err, &e) {
		c.fail(classifier.Internal, "internal", err)
		return
	}
	if c.tries == 0 || last.outcome == retrier.NotRun && !c.started {
		if c.ctx.Err() == nil {
			c.refuse(e.Reason, e.RetryAfter)
			return
		}
	}
	c.give(last, e.Reason)
}

// give ends a call that no attempt answered.
func (c *call) give(v verdict, reason string) {
	switch {
	case c.started:
		c.report("broken-off", http.StatusOK, errors.Wrap(v.err, reason))
		// The end of the connection without the last chunk tells the caller
		// that the stream is not whole.
		panic(http.ErrAbortHandler)
	case v.answer != nil && v.answer.header != nil && !isPromise(v.answer.status):
		c.reply(v.answer)
		c.report("endpoint-failed", v.answer.status, nil)
	case v.answer != nil && v.answer.header == nil:
		c.answerStatus(v.answer.status, "endpoint-refused", v.err)
	case c.ctx.Err() != nil:
		c.answerStatus(http.StatusGatewayTimeout, c.endReason(), c.ctx.Err())
	case v.outcome == retrier.NotRun:
		c.refuse(reason, startRetry)
	default:
		c.answerStatus(http.StatusBadGateway, reason, v.err)
	}
}

// refuse answers that the request has not run and never will.
func (c *call) refuse(reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	c.answerStatus(http.StatusServiceUnavailable, reason, nil)
}

func (c *call) fail(k classifier.Kind, reason string, err error) {
	c.answerStatus(k.Status(), reason, err)
}

func (c *call) answerStatus(status int, reason string, err error) {
	h := c.w.Header()
	h.Set("Content-Type", "text/plain")
	c.front.close(h)
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
	c.report(reason, status, err)
}

// reportAttempt logs an attempt that did not answer the call, and what follows.
func (c *call) reportAttempt(v verdict, again retrier.Decision) {
	l := c.front.Log.Info().Str("request", c.id).Str("endpoint", c.lease.Endpoint.ID).Int("try", c.tries).
		Str("known", v.outcome.String()).Bool("again", again.Retry).Str("reason", again.Reason)
	if v.answer != nil {
		l = l.Int("status", v.answer.status)
	}
	l.Err(v.err).Dur("left-ms", time.Until(c.deadline)).Msg("attempt")
}

// report logs the call in one line.
func (c *call) report(outcome string, status int, err error) {
	total := time.Since(c.start)
	l := c.front.Log.Info()
	if status >= http.StatusInternalServerError || err != nil {
		l = c.front.Log.Warn().Err(err)
	}
	route := ""
	if c.match.Route != nil {
		route = c.match.Route.Name
	}
	l.Str("request", c.id).Uint64("revision", c.revision).Str("route", route).Str("service", c.service).Str("outcome", outcome).Int("status", status).
		Str("endpoint", c.lease.Endpoint.ID).Int64("version", c.lease.Version).Int("load", c.lease.Load).Int("tries", c.tries).
		Dur("waited-ms", c.waited).Dur("first-ms", c.first).Dur("total-ms", total).Msg("request")
	if c.front.Observe != nil {
		c.front.Observe(Result{
			Route: route, Service: c.service, Outcome: outcome, Status: status, Tries: c.tries,
			Waited: c.waited, First: c.first, Total: total,
		})
	}
}
