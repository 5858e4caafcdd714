package dispatcher

import "time"

const (
	// beginWindow is how long a measured delay to the first token is remembered. It
	// covers the bursts and lulls of a loaded engine.
	beginWindow = 2 * time.Second
	// beginFactor is the assumed upper bound of the ratio of the delay of a request to
	// the largest recent one. Under overload the delays grow from request to request.
	beginFactor = 1.5
)

// beginDelays tracks how long engines with an older version take to begin requests.
type beginDelays struct {
	// pending holds the leases in the order of sending. Those that were settled since
	// are removed when they come first.
	pending []*Lease
	// recent holds measured delays; each is larger than all later ones.
	recent []beginDelay
}

// beginDelay is the time from sending a request to its first token.
type beginDelay struct {
	at    time.Time
	delay time.Duration
}

// settle records that the request of the lease began, or removes it if it didn't.
func (b *beginDelays) settle(l *Lease, begun bool, now time.Time) {
	if l.settled {
		return
	}
	l.settled = true
	if !begun {
		return
	}
	d := now.Sub(l.sentAt)
	for len(b.recent) > 0 && b.recent[len(b.recent)-1].delay <= d {
		b.recent = b.recent[:len(b.recent)-1]
	}
	b.recent = append(b.recent, beginDelay{now, d})
}

// max returns the largest delay within beginWindow at engines with a version below
// target. A request that hasn't begun counts with the time since it was sent, unless its
// endpoint is suspected to be lost.
func (b *beginDelays) max(target int64, now time.Time) time.Duration {
	for len(b.recent) > 0 && now.Sub(b.recent[0].at) > beginWindow {
		b.recent = b.recent[1:]
	}
	var d time.Duration
	if len(b.recent) > 0 {
		d = b.recent[0].delay
	}
	for len(b.pending) > 0 && b.pending[0].settled {
		b.pending[0] = nil
		b.pending = b.pending[1:]
	}
	for _, l := range b.pending {
		if !l.settled && l.Version < target && !l.node.isSuspect(now) {
			return max(d, now.Sub(l.sentAt))
		}
	}
	return d
}

// grace returns how long an older version may be used after a newer one was named. It is
// shorter than Grace if engines are so loaded that a request would begin later than
// MaxVersionDelay.
func (d *Dispatcher) grace(p *pool, now time.Time) time.Duration {
	if d.MaxVersionDelay == 0 {
		return d.Grace
	}
	wait := time.Duration(beginFactor * float64(p.begins.max(p.target.Version, now)))
	return min(d.Grace, d.MaxVersionDelay-wait)
}

// updateTarget sets the versions that requests may go to.
func (d *Dispatcher) updateTarget(p *pool) {
	p.target.Version = d.State.Target(p.model, d.Grace).Version
	g := d.grace(p, d.now())
	p.target = d.State.Target(p.model, g)
	p.lateFloor = d.State.Target(p.model, time.Duration(float64(g)*lateGraceShare)).Floor
}
