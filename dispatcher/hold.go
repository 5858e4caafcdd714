package dispatcher

import (
	"slices"
	"time"
)

// After a loss of all weights, or if a version is due before its successor has been spread,
// no endpoint may serve for some seconds. Requests that are refused then come back while
// there still is none, or all at the same time. They wait in the queue until the first endpoint
// is ready, as long as they can still be served then.

const (
	// maxHeldOutage is how long after the last usable endpoint requests are held. If an
	// outage takes longer, its end isn't near.
	maxHeldOutage = 5 * time.Second
	// heldRecovery is the time without held requests after which an outage is a new one.
	heldRecovery = 3 * time.Second
)

// isRecovering reports whether requests were held recently.
func (p *pool) isRecovering(now time.Time) bool { return now.Sub(p.heldAt) < heldRecovery }

// mayHold reports whether the request waits for an endpoint that is about to load its
// weights, as none may be used. It records when that state began.
func (d *Dispatcher) mayHold(p *pool, w *waiter, now time.Time) bool {
	r := w.request
	if p.model == "" || r.Resumed {
		return false
	}
	loading := false
	for _, n := range p.nodes {
		if d.isAllowed(p, n, r, now) {
			return false
		}
		loading = loading || n.isLoading(r, now)
	}
	if !loading {
		return false
	}
	if !p.isRecovering(now) {
		p.heldSince = now
	}
	p.heldAt = now
	return now.Sub(p.heldSince) < maxHeldOutage && now.Before(w.latest) && len(p.queue) < maxQueue
}

// isLoading reports whether the endpoint could serve the request if it had the weights, and
// its instance reports, so that it is about to get them.
func (n *node) isLoading(r Request, now time.Time) bool {
	return !n.Draining && !n.isLeaving() && !n.isReplaced() && r.Match.Allows(n.Region) && !slices.Contains(r.Exclude, n.ID) &&
		now.Sub(n.reportedAt) <= silentReportMaxAge
}
