package dispatcher

import (
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// After a loss of all weights, or if a version is due before its successor has been spread,
// no endpoint may serve for some seconds. Requests that are refused then come back while
// there still is none, or all at the same time. Held requests wait until the first endpoint
// is ready, and get the slots that first requests leave.

const (
	// maxHeldOutage is how long after the last usable endpoint requests are held. If an
	// outage takes longer, its end isn't near.
	maxHeldOutage = 5 * time.Second
	// heldRecovery is the time after an outage for which held requests leave free slots, as
	// under overload; about the longest time that a request is held.
	heldRecovery = 3 * time.Second
)

// late returns the request as it is queued if it can't be served in time any more.
func (r Request) late() Request {
	r.Until, r.Retried = r.HoldUntil, true
	return r
}

// mayBeLate reports whether a first request for which checkWait returned the error waits
// among the late ones, because these are served before HoldUntil. If it were refused, it
// would come back as one of them, and its caller would have no further attempt.
func (d *Dispatcher) mayBeLate(p *pool, r Request, now time.Time, err error) bool {
	if r.Retried || r.Resumed || classifier.Of(err) != classifier.Exhausted || !now.Before(r.HoldUntil) {
		return false
	}
	return d.checkWait(p, r.late(), now) == nil
}

// isRecovering reports whether requests were held recently.
func (p *pool) isRecovering(now time.Time) bool { return now.Sub(p.heldAt) < heldRecovery }

// mayHold reports whether the request waits for an endpoint that is about to load its
// weights, as none may be used. It records when that state began.
func (d *Dispatcher) mayHold(p *pool, r Request, now time.Time) bool {
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
	return now.Sub(p.heldSince) < maxHeldOutage && now.Before(r.HoldUntil) && len(p.fresh)+len(p.retried) < maxQueue
}

// isLoading reports whether the endpoint could serve the request if it had the weights, and
// its instance reports, so that it is about to get them.
func (n *node) isLoading(r Request, now time.Time) bool {
	return !n.Draining && !n.isLeaving() && !n.isReplaced() && r.Match.Allows(n.Region) && !slices.Contains(r.Exclude, n.ID) &&
		now.Sub(n.reportedAt) <= silentReportMaxAge
}
