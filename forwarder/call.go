package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Times of a call whose attempts may be repeated.
const (
	// aimWaits is the number of aims after which another endpoint is asked.
	aimWaits = 4
	// minFirstWait keeps short aims from repeating requests of slow endpoints.
	minFirstWait = 1200 * time.Millisecond
	// gapWaits is the number of pauses after which a stream is resumed elsewhere;
	// callers wait for eight.
	gapWaits = 4
	// minGapWait is above the stall of an engine that preempts a request.
	minGapWait = 1200 * time.Millisecond
)

// call is a request of a caller until it is answered.
type call struct {
	front *Front
	w     http.ResponseWriter
	ctl   *http.ResponseController
	ctx   context.Context
	// cancel ends ctx as if the caller had left.
	cancel context.CancelFunc

	id, method, uri, host string
	header                http.Header
	body                  []byte
	match                 resolver.Match
	// revision is that of the configuration which resolved the request; 0 for none.
	revision uint64
	// patient tells that the caller was refused before.
	patient bool
	// prompt is the number of tokens of the prompt.
	prompt          int
	service         string
	start, deadline time.Time

	// lease is that of the last attempt; its zero value before the first.
	lease *dispatcher.Lease
	// started tells that bytes of a stream went to the caller.
	started   bool
	unflushed bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// tries counts the attempts that ended.
	tries  int
	waited time.Duration
	// held is the number of bytes that the front counts for the call.
	held int64
	// tried holds the ids of the endpoints that got the request.
	tried []string
	first time.Duration
}

// isOnce reports whether the request may run only once.
func (c *call) isOnce() bool { return c.match.Route.Repeat == resolver.AtMostOnce }

func (c *call) hasBody() bool {
	return len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch
}

// isLast reports whether nothing can take over from the present attempt.
func (c *call) isLast() bool { return c.isOnce() || c.tries+1 >= c.match.Route.Attempts }

// firstWait is how long an endpoint may take to its first byte.
func (c *call) firstWait() time.Duration {
	left := time.Until(c.deadline)
	if c.isLast() {
		return left
	}
	return min(left, max(aimWaits*c.match.Route.Aim, minFirstWait))
}

// gapWait is how long an endpoint may take to the next event.
func (c *call) gapWait() time.Duration {
	left := time.Until(c.deadline)
	if c.isLast() {
		return left
	}
	if !c.started {
		return c.firstWait()
	}
	return min(left, max(gapWaits*c.match.Route.Gap, minGapWait))
}

// writeEvent passes on a whole event, the first one after the headers.
func (c *call) writeEvent(r *http.Response, event []byte) error {
	c.begin(r)
	c.unflushed = true
	_, err := c.w.Write(event)
	return err
}

// begin writes the headers of the first endpoint of a stream.
func (c *call) begin(r *http.Response) {
	if c.started {
		return
	}
	c.started = true
	c.lease.PrefillDone()
	c.first = time.Since(c.start)
	copyHeader(c.w.Header(), r.Header)
	c.front.close(c.w.Header())
	c.w.WriteHeader(r.StatusCode)
}

// endStream completes a stream, also one without events.
func (c *call) endStream(r *http.Response) error {
	c.begin(r)
	return c.flush()
}

func (c *call) flush() error {
	if !c.unflushed {
		return nil
	}
	c.unflushed = false
	return c.ctl.Flush()
}

// hold reads a body of at most limit bytes whole; it is held until the call ends.
func (c *call) hold(r io.Reader, limit int64) ([]byte, error) {
	b, n, err := c.front.bodies.read(r, limit)
	c.held += n
	return b, err
}

// copyHeader copies the headers that don't concern the connection. The server
// must not guess a content type that the endpoint left out.
func copyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	removeHop(dst)
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
}

// reply passes on a whole answer.
func (c *call) reply(a *answer) {
	h := c.w.Header()
	copyHeader(h, a.header)
	c.front.close(h)
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}
