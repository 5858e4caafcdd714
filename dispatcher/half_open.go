package dispatcher

import "time"

// HalfOpen says at which services an endpoint that failed gets single requests before its time as
// suspect is over.
type HalfOpen string

// The values of HalfOpen. HalfOpenMixed stands for services whose requests differ in rank or whose
// responses vary widely in length.
const (
	NeverHalfOpen  HalfOpen = "false"
	AlwaysHalfOpen HalfOpen = "true"
	HalfOpenMixed  HalfOpen = "mixed"
)

const (
	// reportInterval is the interval of the reports of an agent to the sharers of its engine.
	reportInterval = 200 * time.Millisecond
	// sharerDelay is the time after which the next sharer tries an endpoint, if reports don't show a
	// request of one before it by then.
	sharerDelay = reportInterval
	// quickFailurePause is the least time from a failure that no report can have shown to the
	// other gateways to the next request of this one.
	quickFailurePause = time.Second
)

// HalfOpenCounts counts the requests to endpoints that had failed and were due to be tried.
type HalfOpenCounts struct {
	Sent, Served int64
}

// Recovery describes an endpoint that served a request again before its time as suspect was over.
type Recovery struct {
	Service, Endpoint string
	// Failures is the number of failures in a row before.
	Failures int
	// Early is the time for which it would still have been suspect.
	Early time.Duration
}

// setHalfOpen determines whether endpoints of the pool that failed are tried. Only engines
// are, as reports show whether another gateway is trying one.
func (d *Dispatcher) setHalfOpen(p *pool) {
	isMixed := p.reserve.isActive() || p.uneven.isActive
	p.halfOpen = p.model != "" && (d.HalfOpen == AlwaysHalfOpen || d.HalfOpen == HalfOpenMixed && isMixed)
}

// isHalfOpen reports whether an endpoint that failed is due to be tried by this gateway: requests
// wait, and no request of any gateway is at the endpoint. Sharers come one after the other, so that
// one gateway tries it at a time.
func (d *Dispatcher) isHalfOpen(p *pool, n *node, now time.Time) bool {
	if !p.halfOpen || !n.preferred || n.failures == 0 || n.inFlight > 0 || !now.Before(n.suspectUntil) {
		return false
	}
	if len(p.queue) == 0 && !p.isOverloaded(now) || now.Sub(n.reportedAt) > reportTimeout || n.report.Load > 0 {
		return false
	}
	due := n.idleSince
	if n.tryAt.After(due) {
		due = n.tryAt
	}
	return !now.Before(due.Add(time.Duration(n.place) * sharerDelay))
}

// leavesToSharers reports whether an endpoint that this gateway doesn't prefer is left to its sharers:
// one that failed here, or is idle beside an overload and may have failed. Otherwise dozens of
// gateways would send to it at once when it seems idle, and while it reads the first prompts after that.
// It isn't left to them for longer than all of them need to try it.
func (p *pool) leavesToSharers(n *node, now time.Time) bool {
	hasFailed := n.failures > 0
	if !p.halfOpen || !hasFailed && !p.isOverloaded(now) {
		return false
	}
	if n.report.Load == 0 {
		return now.Sub(n.idleSince) < maxSharers*sharerDelay
	}
	alone := 2 * reportInterval
	if hasFailed {
		alone = maxSharers * sharerDelay
	}
	return now.Sub(n.busySince) < alone
}

// mayTry reports whether a request may go to an endpoint that is due to be tried: one that has
// another attempt if this one fails, and whose caller isn't reading a stream.
func mayTry(r Request) bool { return !r.Resumed && !r.Last }

// noteLoad records whether a report shows requests.
func (n *node) noteLoad(r Report, now time.Time) {
	if r.Load > 0 || n.report.Load > 0 || n.reportedAt.IsZero() {
		n.idleSince = now
	}
	if r.Load == 0 || n.report.Load == 0 {
		n.busySince = now
	}
}

// noteBegun records that a request to an endpoint that was tried has begun. The endpoint gets others
// from then on, not only when the response has ended.
func (n *node) noteBegun(l *Lease) {
	if l.HalfOpen {
		n.suspectUntil = time.Time{}
	}
}

// noteServed records that a request of the lease was served.
func (d *Dispatcher) noteServed(l *Lease, now time.Time) {
	n := l.node
	if l.HalfOpen {
		l.pool.halfOpenCounts.Served++
		if d.Recovered != nil {
			d.Recovered(Recovery{Service: l.pool.service, Endpoint: n.ID, Failures: n.failures, Early: max(0, l.suspectUntil.Sub(now))})
		}
	}
	n.recordSuccess()
}

// noteFailure records that a request of the lease failed.
func (d *Dispatcher) noteFailure(l *Lease, now time.Time) {
	n := l.node
	n.recordFailure(now)
	if now.Sub(l.sentAt) < reportInterval {
		n.tryAt = now.Add(quickFailurePause)
	}
}
