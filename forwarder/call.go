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
	// firstByteLatencyFactor is the number of aims after which another endpoint is asked.
	firstByteLatencyFactor = 4
	// minFirstByteTimeout keeps short aims from repeating requests of slow endpoints.
	minFirstByteTimeout = 1200 * time.Millisecond
	// eventGapFactor is the number of pauses after which a stream is resumed elsewhere;
	// callers wait for eight.
	eventGapFactor = 4
	// minEventTimeout is above the stall of an engine that preempts a request.
	minEventTimeout = 1200 * time.Millisecond
)

// call is a request of a caller until it is answered.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	ctl     *http.ResponseController
	ctx     context.Context
	// cancel ends ctx as if the caller had left.
	cancel context.CancelFunc

	id, method, uri, host string
	header                http.Header
	body                  []byte
	match                 resolver.Match
	// revision is that of the configuration which resolved the request; 0 for none.
	revision uint64
	// callerRetry tells that the caller was refused before.
	callerRetry bool
	// promptTokens is the number of tokens of the promptTokens.
	promptTokens    int
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
	tries     int
	queueTime time.Duration
	// bufferedBytes is the number of bytes that the front counts for the call.
	bufferedBytes int64
	// triedEndpoints holds the ids of the endpoints that got the request.
	triedEndpoints []string
	firstAfter     time.Duration
}

// isAtMostOnce reports whether the request may run only once.
func (c *call) isAtMostOnce() bool { return c.match.Route.Repeat == resolver.Once }

func (c *call) hasBody() bool {
	return len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch
}

// isLastAttempt reports whether nothing can take over from the present attempt.
func (c *call) isLastAttempt() bool { return c.isAtMostOnce() || c.tries+1 >= c.match.Route.Attempts }

// firstByteTimeout is how long an endpoint may take to its first byte.
func (c *call) firstByteTimeout() time.Duration {
	left := time.Until(c.deadline)
	if c.isLastAttempt() {
		return left
	}
	return min(left, max(firstByteLatencyFactor*c.match.Route.Aim, minFirstByteTimeout))
}

// eventTimeout is how long an endpoint may take to the next event.
func (c *call) eventTimeout() time.Duration {
	left := time.Until(c.deadline)
	if c.isLastAttempt() {
		return left
	}
	if !c.started {
		return c.firstByteTimeout()
	}
	return min(left, max(eventGapFactor*c.match.Route.Gap, minEventTimeout))
}

// writeEvent passes on a whole event, the first one after the headers.
func (c *call) writeEvent(r *http.Response, event []byte) error {
	c.writeStreamHeader(r)
	c.unflushed = true
	_, err := c.w.Write(event)
	return err
}

// writeStreamHeader writes the headers of the first endpoint of a stream.
func (c *call) writeStreamHeader(r *http.Response) {
	if c.started {
		return
	}
	c.started = true
	c.lease.Read()
	c.firstAfter = time.Since(c.start)
	copyHeader(c.w.Header(), r.Header)
	c.handler.setConnectionClose(c.w.Header())
	c.w.WriteHeader(r.StatusCode)
}

// endStream completes a stream, also one without events.
func (c *call) endStream(r *http.Response) error {
	c.writeStreamHeader(r)
	return c.flush()
}

func (c *call) flush() error {
	if !c.unflushed {
		return nil
	}
	c.unflushed = false
	return c.ctl.Flush()
}

// readBuffered reads a body of at most limit bytes whole; it is held until the call ends.
func (c *call) readBuffered(r io.Reader, limit int64) ([]byte, error) {
	b, n, err := c.handler.buffers.read(r, limit)
	c.bufferedBytes += n
	return b, err
}

// copyHeader copies the headers that don't concern the connection. The server
// must not guess a content type that the endpoint left out.
func copyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	removeHopByHopHeaders(dst)
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
}

// writeResponse passes on a whole answer.
func (c *call) writeResponse(a *bufferedResponse) {
	h := c.w.Header()
	copyHeader(h, a.header)
	c.handler.setConnectionClose(h)
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}
