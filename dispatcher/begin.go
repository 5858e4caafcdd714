package dispatcher

import (
	"slices"
	"time"
)

const (
	// beginWindow is how long a measured delay to the first token is remembered. It
	// covers the bursts and lulls of a loaded engine.
	beginWindow = 2 * time.Second
	// beginFactor is the assumed upper bound of the ratio of the delay of a request to
	// the largest recent one. Under overload the delays grow from request to request.
	beginFactor = 1.5
	// unknownBegin is the least delay that is assumed where none is remembered. A longer one
	// would end the use of older versions earlier, when there may be no other engine.
	unknownBegin = time.Second
	// minStall is the time without a first token after which an engine counts as stalled,
	// and stallFactor the least ratio of that time to the usual one of the service.
	minStall    = time.Second
	stallFactor = 3
)

// beginDelays tracks how long an engine takes to begin the requests of this gateway.
type beginDelays struct {
	// pending holds the leases whose requests haven't begun, in the order of sending.
	pending []*Lease
	// recent holds measured delays; each is larger than all later ones.
	recent []beginDelay
}

// beginDelay is the time from sending a request to its first token.
type beginDelay struct {
	at    time.Time
	delay time.Duration
}

// settle records that the request of the lease began, or that it ended before, and returns
// the time that it took to begin; 0 if it didn't or that is known already.
func (b *beginDelays) settle(l *Lease, begun bool, now time.Time) time.Duration {
	i := slices.Index(b.pending, l)
	if i < 0 {
		return 0
	}
	b.pending = slices.Delete(b.pending, i, i+1)
	if !begun {
		return 0
	}
	d := now.Sub(l.sentAt)
	for len(b.recent) > 0 && b.recent[len(b.recent)-1].delay <= d {
		b.recent = b.recent[:len(b.recent)-1]
	}
	b.recent = append(b.recent, beginDelay{now, d})
	return d
}

// max returns the largest delay within beginWindow. A request that hasn't begun counts
// with the time since it was sent.
func (b *beginDelays) max(now time.Time) time.Duration {
	old := 0
	for old < len(b.recent) && now.Sub(b.recent[old].at) > beginWindow {
		old++
	}
	b.recent = slices.Delete(b.recent, 0, old)
	var d time.Duration
	if len(b.recent) > 0 {
		d = b.recent[0].delay
	}
	if len(b.pending) > 0 {
		d = max(d, now.Sub(b.pending[0].sentAt))
	}
	return d
}

// expected returns the assumed upper bound of the delay of the next request, which waits
// in the link of the engine's instance as well.
func (b *beginDelays) expected(now time.Time, link time.Duration) time.Duration {
	d := time.Duration(beginFactor*float64(b.max(now))) + link
	if len(b.recent) == 0 {
		return max(d, unknownBegin)
	}
	return d
}

// forget drops the measured delays of an engine that loaded another version. Requests
// that waited for the load say nothing about the time after it.
func (b *beginDelays) forget() { b.recent = b.recent[:0] }

// isStalled reports whether the engine hasn't begun a request of this gateway for long, as
// behind a link that has become slow. Further requests would wait as long, and arrive when
// their callers have left.
func (p *pool) isStalled(n *node, now time.Time) bool {
	if len(n.begins.pending) == 0 {
		return false
	}
	return now.Sub(n.begins.pending[0].sentAt) > max(minStall, stallFactor*p.firstToken.above(usualDeviations))
}

// settle records that the request began, or that it ended before. The caller must hold
// the dispatcher's lock.
func (l *Lease) settle(begun bool) {
	delete(l.pool.unbegun, l)
	if d := l.node.begins.settle(l, begun, l.d.now()); d > 0 {
		l.pool.firstToken.observe(d)
	}
}

// mayBegin reports whether a request that is sent to the endpoint now begins before the
// endpoint's version may no longer be used, going by the recent delays there and the delay
// in the link of its instance. The delays of a loaded engine also come from the prompts of
// other gateways that it has accepted and not read, which its report doesn't show.
func (d *Dispatcher) mayBegin(p *pool, n *node, now time.Time) bool {
	due := d.beginDeadline(p, n, now)
	return due.IsZero() || now.Add(n.begins.expected(now, n.linkDelay(now))).Before(due)
}

// namedVersion is a version that operators named.
type namedVersion struct {
	version int64
	// due is when no request may begin at an older version any more, on the clock of the
	// dispatcher; the zero time if it isn't known.
	due time.Time
}

// updateNamed sets the named versions of the pool. Their dates are on a clock that goes on
// while the machine is suspended.
func (d *Dispatcher) updateNamed(p *pool) {
	p.named = p.named[:0]
	now, age := d.now(), d.State.Now()
	for _, v := range d.State.Named(p.model) {
		n := namedVersion{version: v.Version}
		if !v.Since.IsZero() {
			n.due = now.Add(d.MaxVersionDelay - age.Sub(v.Since))
		}
		p.named = append(p.named, n)
	}
}
