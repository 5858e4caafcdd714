package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/problem"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sender"
	"github.com/eelgrassdrift/eelgrassdrift/internal/stopper"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

const (
	// stopping is the reason of a refusal because a call may not end before the gateway does.
	stopping = "stopping"
	// stopRetryAfter is the Retry-After time of such a refusal.
	stopRetryAfter = time.Second
)

// errStopping is the error of pickOnce for a call that may not end before the gateway does.
var errStopping = &router.Error{Op: "pick endpoint", Kind: classifier.Unavailable, Err: errors.New("this gateway stops before the call can end")}

// stopProblem is the answer to a call that was not run because the gateway stops.
func stopProblem() problem.Problem {
	p := problem.New(http.StatusServiceUnavailable, header.NotRun, "this gateway stops before the call can end; another one takes it")
	p.RetryAfter = stopRetryAfter
	return p
}

// track adds a request to those that the end of a planned stop cuts, until done is called.
func (g *Gateway) track(w http.ResponseWriter, q *http.Request) (_ http.ResponseWriter, _ *http.Request, done func()) {
	ctx, cancel := context.WithCancel(q.Context())
	w, remove := g.stopper.Add(w, cancel)
	return &sender.Writer{ResponseWriter: w}, q.WithContext(ctx), func() {
		remove()
		cancel()
	}
}

// endsInTime reports whether the call ends before a planned stop cuts it, if it is sent now.
func (c *call) endsInTime() bool {
	return c.gateway.stopper.EndsInTime(stopper.Request{
		Name: c.serves, Begun: c.begun, Deadline: c.deadline, AtMostOnce: c.isAtMostOnce(), Started: c.hasStarted(),
	})
}

// isAtMostOnce reports whether the call must not be repeated.
func (c *call) isAtMostOnce() bool { return !c.idempotent && c.key == "" }

// noteDuration adds the call to those by which a planned stop knows how long they usually take.
// It was served or took all the time that it had.
func (c *call) noteDuration() {
	if !c.isAtMostOnce() {
		c.gateway.stopper.NoteDuration(c.serves, time.Since(c.begun))
	}
}

// isStopped reports whether the end of a planned stop has cut the call.
func (c *call) isStopped() bool { return c.q.Context().Err() != nil && c.gateway.stopper.IsCut() }

// endReason returns why the time of an attempt has ended, as a kebab-case word and the beginning
// of a sentence.
func (c *call) endReason() (reason, detail string) {
	if c.isStopped() {
		return "stopped", "this gateway stopped"
	}
	return "deadline", "the deadline passed"
}
