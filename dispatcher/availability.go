package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// An endpoint's process says in its responses that it leaves, or that it wants no requests
// for some time. The endpoint list may not say so for long after, so the dispatcher keeps
// what a process said apart from the list's entries: an entry that is deleted and written
// again doesn't bring a leaving process back. Only a newer process ends it.

const (
	// resumeTime is the time after a pause in which an endpoint gets requests at a limited
	// rate, as those that waited for it would otherwise be sent at once. The number of
	// requests sent since the pause doubles with each resumeStep.
	resumeTime = time.Second
	resumeStep = 100 * time.Millisecond
	// availabilityRetention is how long a process is remembered that the list lacks. It
	// exceeds the time for which the platform may be away.
	availabilityRetention = 10 * time.Minute
	// noticeInterval is the shortest time between two calls of Dispatcher.Noticed for the
	// pauses of one process.
	noticeInterval = time.Second
)

// Notice is what an endpoint says in a response about the requests that it wants.
type Notice struct {
	// Leaving reports whether the endpoint is about to end.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this gateway; 0 for none.
	Pause time.Duration
}

// NoticeSource is the way in which a gateway learned of a notice.
type NoticeSource string

// The sources.
const (
	// FromResponse is a response to a request of this gateway.
	FromResponse NoticeSource = "response"
	// FromReport is a load report of the endpoint's agent.
	FromReport NoticeSource = "report"
)

// process identifies a process of an endpoint.
type process struct {
	id      string
	started int64
}

func processOf(e *observer.Endpoint) process { return process{e.ID, e.Started.UnixMilli()} }

// availability is what one process has said. The dispatcher's lock guards it.
type availability struct {
	leaving bool
	// pausedUntil is the end of the last pause; the zero time if there was none.
	pausedUntil time.Time
	// resumed is the number of requests sent since pausedUntil, up to resumeTime.
	resumed int
	// heardAt is when the process was last heard or listed, and noticedAt when Noticed was
	// last called for a pause.
	heardAt, noticedAt time.Time
}

// isLeaving reports whether the endpoint's process has said that it leaves.
func (n *node) isLeaving() bool { return n.availability != nil && n.availability.leaving }

// isPaused reports whether the endpoint wants no requests from this gateway.
func (n *node) isPaused(now time.Time) bool { return n.pauseEnd(now).After(now) }

// pauseEnd returns the end of the endpoint's pause, or now if it isn't paused.
func (n *node) pauseEnd(now time.Time) time.Time {
	if n.availability == nil || !n.availability.pausedUntil.After(now) {
		return now
	}
	return n.availability.pausedUntil
}

// isResuming reports whether the endpoint's last pause ended within resumeTime.
func (n *node) isResuming(now time.Time) bool {
	return n.availability != nil && !n.isPaused(now) && now.Sub(n.availability.pausedUntil) < resumeTime
}

// isResumeLimited reports whether the endpoint has got as many requests since its pause as
// it may by now.
func (n *node) isResumeLimited(now time.Time) bool {
	if !n.isResuming(now) {
		return false
	}
	steps := int(now.Sub(n.availability.pausedUntil) / resumeStep)
	return n.availability.resumed >= 1<<steps
}

// Notice records what the endpoint of the lease said in a response.
func (d *Dispatcher) Notice(l *Lease, v Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(l.pool, l.node, v, FromResponse)
}

// note records a notice of the node's process and refuses the queued requests that can't
// be served any more. The caller must hold d.mu.
func (d *Dispatcher) note(p *pool, n *node, v Notice, from NoticeSource) {
	now := d.now()
	a := d.availabilityOf(p, n)
	a.heardAt = now
	leaves := v.Leaving && !a.leaving
	pauses := v.Pause > 0 && now.Add(v.Pause).After(a.pausedUntil)
	a.leaving = a.leaving || v.Leaving
	if pauses {
		a.pausedUntil, a.resumed = now.Add(v.Pause), 0
	}
	if !leaves && !pauses {
		return
	}
	if leaves || now.Sub(a.noticedAt) >= noticeInterval {
		a.noticedAt = now
		if d.Noticed != nil {
			d.Noticed(n.Endpoint, v, from)
		}
	}
	d.refuseUnavailable(p, now)
}

// availabilityOf returns the availability of the node's process, which may have left the
// list since the node was chosen.
func (d *Dispatcher) availabilityOf(p *pool, n *node) *availability {
	k := processOf(&n.Endpoint)
	a := d.availability[k]
	if a == nil {
		if d.availability == nil {
			d.availability = make(map[process]*availability)
		}
		a = &availability{}
		d.availability[k] = a
	}
	n.availability = a
	if listed := p.nodes[n.ID]; listed != nil && processOf(&listed.Endpoint) == k {
		listed.availability = a
	}
	return a
}

// updateAvailability sets what the processes of the pool's endpoints have said.
func (d *Dispatcher) updateAvailability(p *pool, now time.Time) {
	if len(d.availability) == 0 {
		return
	}
	for _, n := range p.nodes {
		if n.availability = d.availability[processOf(&n.Endpoint)]; n.availability != nil {
			n.availability.heardAt = now
		}
	}
}

// forgetAvailability drops the processes that the list has lacked for long.
func (d *Dispatcher) forgetAvailability(now time.Time) {
	for k, a := range d.availability {
		if now.Sub(a.heardAt) > availabilityRetention {
			delete(d.availability, k)
		}
	}
}

// Available returns the error with which Acquire refuses the request at once because all
// endpoints that may serve it leave or are paused, or nil. The error is of type *Error.
func (d *Dispatcher) Available(r Request) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[r.Service]
	if p == nil {
		return p.refuseUnserved(r, d.now())
	}
	now := d.now()
	return d.prospect(p, r, now).check(p, &waiter{request: r, latest: p.latestStart(r)}, now)
}

// prospect tells when an endpoint may serve requests with the same constraints.
type prospect struct {
	// allowed reports whether any endpoint may serve them, at the latest from back on.
	allowed bool
	back    time.Time
	// loading reports whether an endpoint is about to load its weights.
	loading bool
}

func (d *Dispatcher) prospect(p *pool, r Request, now time.Time) prospect {
	var s prospect
	for _, n := range p.nodes {
		if !d.isAllowed(p, n, r, now) {
			s.loading = s.loading || p.model != "" && n.isLoading(r, now)
			continue
		}
		end := n.pauseEnd(now)
		if !s.allowed || end.Before(s.back) {
			s.allowed, s.back = true, end
		}
		if !end.After(now) {
			break
		}
	}
	return s
}

// check returns the error with which a request is refused because no endpoint may serve it by
// its latest start, and none is about to load its weights; nil if one may.
func (s prospect) check(p *pool, w *waiter, now time.Time) error {
	switch {
	case !s.allowed && !s.loading:
		return p.refuseUnserved(w.request, now)
	case s.allowed && s.back.After(now) && s.back.After(w.latest):
		return refuse(classifier.Unavailable, "paused", s.back.Sub(now))
	}
	return nil
}

// refuseUnavailable refuses the queued requests that can't be served any more.
// It looks for endpoints once for all requests with the same constraints, apart from the few
// that exclude endpoints.
func (d *Dispatcher) refuseUnavailable(p *pool, now time.Time) {
	known := make(map[constraints]prospect)
	kept := p.queue[:0]
	for _, w := range p.queue {
		k := w.request.constraints()
		s, ok := known[k]
		if !ok || len(w.request.Exclude) > 0 {
			s = d.prospect(p, w.request, now)
		}
		if len(w.request.Exclude) == 0 {
			known[k] = s
		}
		if err := s.check(p, w, now); err != nil {
			w.granted <- waitResult{err: err}
			continue
		}
		kept = append(kept, w)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// IsRevoked reports whether the request must not be sent on the lease any more: since it was
// given, the endpoint has left the list, drains, has said that it leaves or wants no requests,
// or the time of its version has come near its end; or a pause of the process has made the list
// too old to tell.
func (l *Lease) IsRevoked() bool {
	d := l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isCurrent() {
		return true
	}
	now := d.now()
	n := l.pool.nodes[l.Endpoint.ID]
	if n == nil || processOf(&n.Endpoint) != processOf(&l.Endpoint) {
		return true
	}
	return n.isPaused(now) || !d.isAllowed(l.pool, n, l.request, now)
}
