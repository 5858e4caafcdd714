package forwarder

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/stopper"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

const (
	// stopping is the reason of a refusal because a request may not end before the gateway does.
	stopping = "stopping"
	// otherGatewayRetryAfter is the Retry-After time of a refusal that only this gateway gives.
	// Callers come back on a new connection, by which another one may serve them at once.
	otherGatewayRetryAfter = 50 * time.Millisecond
)

// errStopping ends an attempt before any byte is sent.
var errStopping = &Error{Op: "send request", Kind: classifier.Unavailable, Err: errors.New("the gateway stops before the request can end")}

// Stop adds "Connection: close" to all further responses, so that callers reconnect
// to another gateway. From now on each request is refused that may not end before cut,
// the time at which Cut is called.
func (f *Handler) Stop(cut time.Time) { f.stopper.Begin(cut) }

// Cut ends the calls in progress at the end of a planned stop, and returns their number.
// Each one gets an answer at once: 503 if it was never sent to an endpoint, and 504 if it may
// have run. A stream that has begun is broken off. Connections to endpoints are reset.
func (f *Handler) Cut() int { return f.stopper.Cut() }

func (f *Handler) setConnectionClose(h http.Header) {
	if f.stopper.IsStopping() {
		h["Connection"] = []string{"close"}
	}
}

// endsInTime reports whether the request ends before a planned stop cuts it, if it is sent now.
func (c *call) endsInTime() bool {
	return c.handler.stopper.EndsInTime(stopper.Request{
		Name: c.match.Route.Name, Begun: c.start, Deadline: c.deadline, AtMostOnce: c.isAtMostOnce(), Started: c.isStarted(),
		Stream: c.match.Route.Repeat == resolver.Resumable,
	})
}

// noteDuration adds the call to those by which the usual time is known, if it was served or
// took all the time that it had.
func (c *call) noteDuration(outcome string, status int, total time.Duration) {
	served := outcome == "served" && status < http.StatusBadRequest
	if c.match.Route == nil || c.isAtMostOnce() || !served && outcome != "deadline" {
		return
	}
	c.handler.stopper.NoteDuration(c.match.Route.Name, total)
}

// startAttemptInTime makes an attempt unless it may not end before a planned stop cuts it.
func (c *call) startAttemptInTime() error {
	if !c.endsInTime() {
		return &dispatcher.Error{Op: "acquire", Kind: classifier.Unavailable, Reason: stopping, RetryAfter: otherGatewayRetryAfter, Err: errStopping}
	}
	return c.startAttempt()
}

// isStopped reports whether Cut has ended the call.
func (c *call) isStopped() bool { return c.ctx.Err() != nil && c.handler.stopper.IsCut() }
