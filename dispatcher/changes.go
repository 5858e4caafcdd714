package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// PaceChange tells that an engine has become slow, or is no longer slow.
type PaceChange struct {
	Endpoint observer.Endpoint
	Slow     bool
	// Factor is the ratio of the time between events to the usual one.
	Factor float64
}

// LengthsKnown tells that the lengths of a route's answers are known. They are used in place of the
// stated maximum while those of its service vary widely (UnevenChange).
type LengthsKnown struct {
	Service, Route string
	// Tokens is the number of tokens of an event by the hints, and Events that of the events of an answer.
	Tokens, Events float64
}

// notePaces tells of the engines of a pool whose pace has changed. The caller must hold d.mu.
func (d *Dispatcher) notePaces(p *pool, now time.Time) {
	for _, n := range p.nodes {
		slow := n.pace.isSlow(now)
		if slow == n.pace.isReported {
			continue
		}
		n.pace.isReported = slow
		if d.PaceChanged != nil {
			d.PaceChanged(PaceChange{Endpoint: n.Endpoint, Slow: slow, Factor: n.pace.factor(now)})
		}
	}
}

// noteLengths tells of a route whose lengths have become known. The caller must hold d.mu.
func (d *Dispatcher) noteLengths(p *pool, route string) {
	w := p.work[route]
	if w == nil || w.length.isReported || !w.length.isKnown() {
		return
	}
	w.length.isReported = true
	if d.LengthsKnown != nil {
		d.LengthsKnown(LengthsKnown{Service: p.service, Route: route, Tokens: w.length.tokensPerEvent(), Events: w.length.events.mean})
	}
}

// unwritten returns the number of events that the requests of this gateway have yet to write, as
// far as lengths are known.
func (p *pool) unwritten() float64 {
	if !p.usesWork() {
		return 0
	}
	sum, unit := 0.0, p.workload.residual()
	for _, n := range p.nodes {
		for _, l := range n.leases {
			sum += l.remaining(unit)
		}
	}
	return sum
}
