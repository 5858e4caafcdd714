package dispatcher

import (
	"slices"
	"time"
)

// Engines that hold as many requests don't hold as much work: answers of one route differ by
// fifty times. Where lengths are known (answerLength) and vary widely (pool.uneven), the load of an
// engine by which it is chosen is the time in which its requests end, in units of that of an average
// request under way. The load that this addresses is that of answers of uneven length at nine tenths of the
// slots and more. Slots remain the bound of what an engine gets.

// workload is what the requests of a service take on average. It takes effect once answers whose
// lengths were known have ended, and while lengths vary widely.
type workload struct {
	// events and squares are the averages of the number of events and of its square.
	events, squares estimate
	// prompt is the average reading time of a prompt in nanoseconds.
	prompt estimate
}

// isKnown reports whether enough was seen to choose engines by work.
func (w *workload) isKnown() bool { return w.events.count >= minLengthSamples }

// usesWork reports whether engines are chosen by work.
func (p *pool) usesWork() bool { return p.uneven.isActive && p.workload.isKnown() }

func (w *workload) observe(events int, prompt time.Duration) {
	n := float64(events)
	w.events.observe(n)
	w.squares.observe(n * n)
	w.prompt.observe(float64(prompt))
}

// residual returns the number of events that an average request under way has yet to write. Long
// answers are under way for longer, so that it exceeds half of an answer where lengths differ.
func (w *workload) residual() float64 { return max(1, w.squares.mean/(2*w.events.mean)) }

// remaining returns the number of events that the request has yet to write, or mean if its length
// isn't known. One that has written as many as expected is taken to be in the middle of what the
// largest number leaves: a long stream isn't a stuck one, and not one that is about to end either.
func (l *Lease) remaining(mean float64) float64 {
	if l.Expected == 0 {
		return mean
	}
	n := float64(l.events.Load())
	if n < l.Expected {
		return max(1, l.Expected-n)
	}
	return max(1, min(mean, (l.maxEvents-n)/2))
}

// workAt returns the load of an endpoint for the choice among several: the number of requests of
// all gateways there, each weighed by the events that it has yet to write, by the pace of the
// engine. Of requests of other gateways only the number is known.
func (d *Dispatcher) workAt(p *pool, n *node, now time.Time) float64 {
	load := float64(n.load(now, d.gateways))
	if !p.usesWork() {
		return load
	}
	unit := p.workload.residual()
	own := 0.0
	for _, l := range n.leases {
		own += l.remaining(unit)
	}
	return (own/unit + max(0, load-float64(len(n.leases)))) * n.pace.factor(now)
}

// unreadAt returns the time that the engine takes to read the prompts that haven't been read:
// those of this gateway, and those that other gateways had there at the last report, as they
// have been read since.
func (p *pool) unreadAt(n *node, now time.Time) time.Duration {
	age := now.Sub(n.reportedAt)
	if !p.usesWork() || age > reportMaxAge {
		return n.prefill
	}
	others := max(0, n.report.Queued-n.unbegunAtReport)
	return n.prefill + max(0, time.Duration(float64(others)*p.workload.prompt.mean)-age)
}

// hold adds a lease of this gateway to those at the endpoint, and drop removes it.
func (n *node) hold(l *Lease) { n.leases = append(n.leases, l) }

func (n *node) drop(l *Lease) {
	if i := slices.Index(n.leases, l); i >= 0 {
		n.leases = slices.Delete(n.leases, i, i+1)
	}
}

// observeWorkload adds a served request to what is known of the service and of the engine.
func (l *Lease) observeWorkload(length *answerLength, begun, now time.Time) {
	events := int(l.events.Load())
	if !length.isKnown() || events == 0 || l.request.Resumed {
		return
	}
	l.pool.workload.observe(events, l.pool.prefillTime(l.request))
	if events >= minPaceEvents && length.gap.mean > 0 {
		gap := float64(now.Sub(begun)) / float64(events-1)
		l.node.pace.observe(gap/length.gap.mean, begun, now)
	}
}
