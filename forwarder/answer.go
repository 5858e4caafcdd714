package forwarder

import (
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// giveUp finishes a call for which no attempt produced a final response.
func (c *call) giveUp(v attemptResult, reason string) {
	switch {
	case c.started:
		outcome := "broken-off"
		if reason == stopped {
			outcome = stopped
		}
		c.report(outcome, http.StatusOK, errors.Wrap(v.err, reason))
		// Closing the connection without the last chunk tells the caller that the
		// stream is incomplete.
		panic(http.ErrAbortHandler)
	case v.response != nil && v.response.header != nil && !impliesNotExecuted(v.response.status):
		c.writeResponse(v.response)
		c.report("endpoint-failed", v.response.status, nil)
	case v.response != nil && v.response.header == nil:
		c.answerStatus(v.response.status, "endpoint-refused", v.err)
	case v.outcome == retrier.NotRun && c.isStopped():
		c.refuse(stopping, otherGatewayRetryAfter)
	case c.ctx.Err() != nil:
		c.answerStatus(http.StatusGatewayTimeout, c.endReason(), c.ctx.Err())
	case v.outcome == retrier.NotRun:
		c.refuse(reason, c.handler.Dispatcher.RetryAfter(c.dispatcherRequest()))
	default:
		c.answerStatus(http.StatusBadGateway, reason, v.err)
	}
}

// refuse responds that the request has not run and will not run.
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
	c.handler.setConnectionClose(h)
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
	c.report(reason, status, err)
}

// logFailedAttempt logs an attempt that didn't finish the call, and whether another one
// follows.
func (c *call) logFailedAttempt(a *attempt, v attemptResult, decision retrier.Decision) {
	l := c.handler.Log.Info().Str("request", c.id).Str("endpoint", a.lease.Endpoint.ID).Int("try", c.tries).
		Str("known", v.outcome.String()).Bool("again", decision.Retry).Str("reason", decision.Reason)
	if v.response != nil {
		l = l.Int("status", v.response.status)
	}
	if t := a.heardAt(); !t.IsZero() {
		l = l.Dur("silent-ms", time.Since(t))
	}
	l.Err(v.err).Str("ended-by", c.endedBy(v.err)).Dur("left-ms", time.Until(c.deadline)).Msg("attempt")
}

// endedBy returns who ended a failed attempt: the caller, the gateway by a timeout of its own,
// the network, or the endpoint.
func (c *call) endedBy(err error) string {
	reason := c.endReason()
	switch {
	case c.ctx.Err() != nil && reason == callerLeft:
		return "caller"
	case c.ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errSilent), errors.Is(err, errSuperseded):
		return "gateway"
	case errors.Is(err, unix.ETIMEDOUT), errors.Is(err, unix.EHOSTUNREACH), errors.Is(err, unix.ENETUNREACH):
		return "network"
	}
	return "endpoint"
}

// report logs the finished call and passes its result to Observe.
func (c *call) report(outcome string, status int, err error) {
	total := time.Since(c.start)
	l := c.handler.Log.Info()
	if status >= http.StatusInternalServerError || err != nil {
		l = c.handler.Log.Warn().Err(err)
	}
	route := ""
	if c.match.Route != nil {
		route = c.match.Route.Name
	}
	if c.reserved || dispatcher.IsReserved(outcome) {
		l = l.Bool("reserved", true)
		if !c.reservedHere && outcome != dispatcher.Reserved {
			l = l.Bool("reserved-elsewhere", true)
		}
	}
	if c.halfOpen {
		l = l.Bool("half-open", true)
	}
	l.Str("request", c.id).Uint64("revision", c.revision).Str("route", route).Str("service", c.service).Str("outcome", outcome).Int("status", status).
		Str("endpoint", c.lease.Endpoint.ID).Int64("version", c.lease.Version).Int("load", c.lease.Load).Int("tries", c.tries).
		Int("hint", c.lengthHint).Float64("expected-events", math.Round(c.lease.Expected)).Int("events", c.lease.Events()).
		Dur("waited-ms", c.queueTime).Dur("first-ms", c.firstAfter).Dur("total-ms", total).Msg("request")
	c.noteDuration(outcome, status, total)
	if c.handler.Observe != nil {
		c.handler.Observe(Result{
			Route: route, Service: c.service, Outcome: outcome, Status: status, Tries: c.tries,
			Waited: c.queueTime, First: c.firstAfter, Total: total,
		})
	}
}

// isFinal reports whether the response ends the call even if further attempts are
// possible.
func (a *bufferedResponse) isFinal() bool {
	return a != nil && a.header != nil && a.status < http.StatusInternalServerError && !impliesNotExecuted(a.status)
}

// impliesNotExecuted reports whether callers take the status to mean that the request
// has not run.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
