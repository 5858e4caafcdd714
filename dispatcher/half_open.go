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
	// failureMemory is how long a gateway that doesn't prefer an endpoint takes account of its last
	// failure there: twice the longest time for which its sharers avoid it.
	failureMemory = 2 * maxSuspect
)

// HalfOpenCounts counts the requests to endpoints that had failed and were due to be tried, and
// those that began.
type HalfOpenCounts struct {
	Sent, Begun int64
}

// Recovery describes an endpoint that began a request again before its time as suspect was over.
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
	if !p.isWaiting(now) || now.Sub(n.reportedAt) > reportTimeout || n.report.Load > 0 {
		return false
	}
	due := n.idleSince
	for _, t := range []time.Time{n.tryAt, p.pressedSince} {
		if t.After(due) {
			due = t
		}
	}
	return !now.Before(due.Add(time.Duration(n.place) * sharerDelay))
}

// isWaiting reports whether requests wait for slots, or were refused for lack of one recently.
func (p *pool) isWaiting(now time.Time) bool { return len(p.queue) > 0 || p.isOverloaded(now) }

// notePressure records when requests began to wait.
func (p *pool) notePressure(now time.Time) {
	if !p.isWaiting(now) {
		p.pressedSince = now
	}
}

// leavesToSharers reports whether an endpoint that failed here, and that this gateway doesn't prefer,
// is left to its sharers: until all of them have had the time to try it, and while it reads the first
// prompts after that. Otherwise dozens of gateways send to it at once when it seems idle. The time is
// bounded by that of the failure, as an endpoint with short requests changes between idle and busy.
func (p *pool) leavesToSharers(n *node, now time.Time) bool {
	if !p.halfOpen || n.failures == 0 || now.Sub(n.failedAt) >= failureMemory {
		return false
	}
	since := n.busySince
	if n.report.Load == 0 {
		since = n.idleSince
	}
	return now.Sub(since) < maxSharers*sharerDelay
}

// isTried reports whether the endpoint is tried with the request. One that is avoided for another
// reason as well isn't.
func (d *Dispatcher) isTried(p *pool, n *node, r Request, now time.Time) bool {
	return mayTry(r) && d.isHalfOpen(p, n, now) && !p.isDelayed(n, now)
}

// mayTry reports whether a request may go to an endpoint that is due to be tried: one that has
// another attempt if this one fails, and whose caller isn't reading a stream.
func mayTry(r Request) bool { return !r.Resumed && !r.Last }

// noteLoad records since when reports show requests, or none. What happened between two reports that
// are far apart isn't known.
func (n *node) noteLoad(r Report, now time.Time) {
	isGap := now.Sub(n.reportedAt) > reportTimeout
	if r.Load > 0 || n.report.Load > 0 || isGap {
		n.idleSince = now
	}
	if r.Load == 0 || n.report.Load == 0 || isGap {
		n.busySince = now
	}
}

// noteRecovery records that the response to a request of the lease has begun. An endpoint that was
// tried gets others from then on, not only when the response has ended.
func (d *Dispatcher) noteRecovery(l *Lease, now time.Time) {
	n := l.node
	if !l.HalfOpen || n.failures == 0 {
		return
	}
	l.pool.halfOpenCounts.Begun++
	if d.Recovered != nil {
		d.Recovered(Recovery{Service: l.pool.service, Endpoint: n.ID, Failures: n.failures, Early: max(0, n.suspectUntil.Sub(now))})
	}
	n.suspectUntil = time.Time{}
}

// noteFailure records that a request of the lease failed.
func (d *Dispatcher) noteFailure(l *Lease, now time.Time) {
	n := l.node
	n.recordFailure(now)
	n.failedAt = now
	if now.Sub(l.sentAt) < reportInterval {
		n.tryAt = now.Add(quickFailurePause)
	}
}
