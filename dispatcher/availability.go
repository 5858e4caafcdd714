package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// An endpoint's process says in its responses that it leaves, or that it wants no requests
// for some time. The endpoint list may not say so for long after, so the dispatcher keeps
// what a process said apart from the list's entries: an entry that is deleted and written
// again doesn't bring a leaving process back. Only a process that can't have said it ends it.

const (
	// resumeTime is the time after a pause in which an endpoint gets requests at a limited
	// rate, as those that waited for it would otherwise be sent at once. The number of
	// requests sent since the pause doubles with each resumeStep.
	resumeTime = time.Second
	resumeStep = 100 * time.Millisecond
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
	// FromCheck is the answer to the question whether the endpoint leaves.
	FromCheck NoticeSource = "check"
)

// availability is what the processes at one location have said. The dispatcher's lock guards it.
type availability struct {
	// leaving and paused are the evidence for which process said that it leaves, and that it wants no
	// requests until pausedUntil.
	leaving, paused evidence
	// pausedUntil is the end of the last pause; the zero time if there was none.
	pausedUntil time.Time
	// resumed is the number of requests sent since pausedUntil, up to resumeTime.
	resumed int
	// noticedAt is when Noticed was last called for a pause.
	noticedAt time.Time
}

// isLeaving reports whether the endpoint's process has said that it leaves, or may have.
func (n *node) isLeaving() bool {
	return n.incarnations != nil && n.incarnations.availability.leaving.of(n) != saidByOther
}

// pause returns what is known of the pauses of the endpoint's process; nil if it had none. A process
// that may have started after the response isn't asked, as the pause ends by itself.
func (n *node) pause() *availability {
	if n.incarnations == nil {
		return nil
	}
	a := &n.incarnations.availability
	switch a.paused.of(n) {
	case saidByOther:
		return nil
	case maybeSaid:
		if n.Started.After(a.paused.heardAt) && !n.hasFutureStart() {
			return nil
		}
	}
	return a
}

// isPaused reports whether the endpoint wants no requests from this gateway.
func (n *node) isPaused(now time.Time) bool { return n.pauseEnd(now).After(now) }

// pauseEnd returns the end of the endpoint's pause, or now if it isn't paused.
func (n *node) pauseEnd(now time.Time) time.Time {
	if a := n.pause(); a != nil && a.pausedUntil.After(now) {
		return a.pausedUntil
	}
	return now
}

// isResuming reports whether the endpoint's last pause ended within resumeTime.
func (n *node) isResuming(now time.Time) bool {
	a := n.pause()
	return a != nil && !a.pausedUntil.After(now) && now.Sub(a.pausedUntil) < resumeTime
}

// isResumeLimited reports whether the endpoint has got as many requests since its pause as
// it may by now.
func (n *node) isResumeLimited(now time.Time) bool {
	if !n.isResuming(now) {
		return false
	}
	a := n.pause()
	steps := int(now.Sub(a.pausedUntil) / resumeStep)
	return a.resumed >= 1<<steps
}

// Notice records what the endpoint of the lease said in a response.
func (d *Dispatcher) Notice(l *Lease, v Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(l.pool, l.node, v, evidence{newest: l.newestStart, heardAt: d.now()}, FromResponse)
}

// noteReportedLeaving records that a report says that its process leaves. The node is at the address
// of the report, and may be of an earlier process.
func (d *Dispatcher) noteReportedLeaving(p *pool, n *node, r Report) {
	e := evidence{newest: r.Started, isExact: true, heardAt: d.now()}
	if r.Started.IsZero() {
		e.newest, e.isExact = n.Started, false
	}
	d.note(p, n, Notice{Leaving: true}, e, FromReport)
}

// note records a notice of the process that the evidence describes, at the location of the node,
// and refuses the queued requests that can't be served any more. The caller must hold d.mu.
func (d *Dispatcher) note(p *pool, n *node, v Notice, e evidence, from NoticeSource) {
	now := d.now()
	n.incarnations = d.incarnationsAt(&n.Endpoint, now)
	n.incarnations.noteStart(e.newest, now)
	a := &n.incarnations.availability
	leaves := v.Leaving && a.leaving.of(n) != said
	if v.Leaving {
		a.leaving = a.leaving.merge(e)
	}
	pauses := v.Pause > 0 && (n.pause() == nil || now.Add(v.Pause).After(a.pausedUntil))
	if pauses {
		a.paused, a.pausedUntil, a.resumed = a.paused.merge(e), now.Add(v.Pause), 0
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
	if n == nil || locationOf(&n.Endpoint) != locationOf(&l.Endpoint) || !n.Started.Equal(l.Endpoint.Started) {
		return true
	}
	return n.isPaused(now) || !d.isAllowed(l.pool, n, l.request, now)
}
