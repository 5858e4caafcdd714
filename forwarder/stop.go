package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
)

const (
	// stopping is the reason of a refusal because a request may not end before the gateway does.
	stopping = "stopping"
	// stopRetryAfter is the Retry-After time of such a refusal. Another gateway may serve the
	// request at once.
	stopRetryAfter = 50 * time.Millisecond
)

// errStopping ends an attempt before any byte is sent.
var errStopping = &Error{Op: "send request", Kind: classifier.Unavailable, Err: errors.New("the gateway stops before the request can end")}

// Stop adds "Connection: close" to all further responses, so that callers reconnect
// to another gateway. From now on each request is refused that may not end before cut,
// the time at which Cut is called.
func (f *Handler) Stop(cut time.Time) { f.cutAt.Store(&cut) }

func (f *Handler) setConnectionClose(h http.Header) {
	if f.cutAt.Load() != nil {
		h["Connection"] = []string{"close"}
	}
}

// endsInTime reports whether the request ends before a planned stop cuts it, if it is sent
// now: surely if it may run once only, and otherwise if it takes no longer than usual.
func (c *call) endsInTime() bool {
	cut := c.handler.cutAt.Load()
	if cut == nil || !c.deadline.After(*cut) {
		return true
	}
	if c.isAtMostOnce() {
		return false
	}
	if c.isStarted() {
		// Only the rest of the stream is left.
		return time.Now().Before(*cut) && !c.start.Add(c.usualTime()).After(*cut)
	}
	return !time.Now().Add(c.usualTime()).After(*cut)
}

// usualTime returns how long the requests of the route usually take, or the route's timeout
// while that isn't known.
func (c *call) usualTime() time.Duration {
	if v, ok := c.handler.durations.Load(c.match.Route.Name); ok {
		if d, known := v.(*durations).usual(); known {
			return d
		}
	}
	return c.match.Route.Timeout
}

// noteDuration adds the call to those by which the usual time is known, if it was served or
// took all the time that it had.
func (c *call) noteDuration(outcome string, status int, total time.Duration) {
	served := outcome == "served" && status < http.StatusBadRequest
	if c.match.Route == nil || c.isAtMostOnce() || !served && outcome != "deadline" {
		return
	}
	v, ok := c.handler.durations.Load(c.match.Route.Name)
	if !ok {
		v, _ = c.handler.durations.LoadOrStore(c.match.Route.Name, &durations{})
	}
	v.(*durations).add(total)
}

// startAttemptInTime makes an attempt unless it may not end before a planned stop cuts it.
func (c *call) startAttemptInTime() error {
	if !c.endsInTime() {
		return &dispatcher.Error{Op: "acquire", Kind: classifier.Unavailable, Reason: stopping, RetryAfter: stopRetryAfter, Err: errStopping}
	}
	return c.startAttempt()
}

// callList holds the calls in progress.
type callList struct {
	mu  sync.Mutex
	all map[*call]struct{}
	// cut reports whether the planned stop has ended the calls in progress.
	cut bool
}

func (l *callList) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = make(map[*call]struct{})
	}
	l.all[c] = struct{}{}
}

func (l *callList) remove(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, c)
}

func (l *callList) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Cut ends the calls in progress at the end of a planned stop, and returns their number.
// Each one gets an answer at once: 503 if it was never sent to an endpoint, and 504 if it may
// have run. A stream that has begun is broken off. Connections to endpoints are reset.
func (f *Handler) Cut() int {
	l := &f.calls
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for c := range l.all {
		c.stop()
		if c.readsBody {
			_ = c.ctl.SetReadDeadline(time.Now()) // an error leaves the body's own deadline
		}
	}
	return len(l.all)
}

// limitBodyRead sets the time until which the body is read, unless Cut was called.
func (c *call) limitBodyRead() error {
	l := &c.handler.calls
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readsBody = true
	if l.cut {
		return c.ctl.SetReadDeadline(time.Now())
	}
	return c.ctl.SetReadDeadline(c.deadline)
}

// unlimitBodyRead ends the limit after the body is whole.
func (c *call) unlimitBodyRead() error {
	l := &c.handler.calls
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readsBody = false
	return c.ctl.SetReadDeadline(time.Time{})
}

// isStopped reports whether Cut has ended the call.
func (c *call) isStopped() bool { return c.ctx.Err() != nil && c.handler.calls.isCut() }
