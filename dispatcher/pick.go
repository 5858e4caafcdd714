package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// otherDomainCost and otherRegionCost are added to the relative load of endpoints
	// in another failure domain or region. A request between regions costs less than
	// two of 16 occupied slots.
	otherDomainCost = 0.05
	otherRegionCost = 0.1
	// nearSamples and farSamples are the numbers of endpoints that are sampled in the
	// own region and in the others to take the best; at most 2.
	nearSamples = 2
	farSamples  = 1
	// maxPrefill is the processing time of the prompts that all gateways together may have
	// pending at an engine: the interval of its reports, so that it is busy until the next one
	// tells how far it is. Further prompts would wait there in the order of their arrival; in
	// the queue they go by their callers' time, and to the engine that is free first.
	maxPrefill = 200 * time.Millisecond
	// prefillCost is added to the relative load of an engine with maxPrefill pending, which
	// like a full one takes no more, or with as long a delay in its link.
	prefillCost = 1
	// oldVersionCost is added for an engine that has yet to load a newer version, as
	// loading may interrupt its streams.
	oldVersionCost = 0.2
	// lateGraceShare is the part of the grace period after which a request goes to an
	// older version only where nothing waits, and lateSenders the number of gateways that
	// may then send to one endpoint.
	lateGraceShare = 0.9
	lateSenders    = 3
	// failureCost is added for an endpoint with a failure rate of 1.
	failureCost = 3
)

// isAllowed reports whether the request may go to the endpoint, regardless of load:
// the endpoint is not draining, leaving, replaced or excluded, its region is allowed, and it serves
// a version that may be used when the request begins.
func (d *Dispatcher) isAllowed(p *pool, n *node, r Request, now time.Time) bool {
	if n.Draining || n.isLeaving() || n.isReplaced() || !r.Match.Allows(n.Region) || slices.Contains(r.Exclude, n.ID) {
		return false
	}
	if p.model == "" {
		return true
	}
	v := n.version(p.model, now)
	return v > 0 && v >= p.target.Floor && d.mayBegin(p, n, now)
}

// isUsable reports whether the endpoint may get the request as soon as it has
// capacity.
func (d *Dispatcher) isUsable(p *pool, n *node, r Request, now time.Time) bool {
	return d.isAllowed(p, n, r, now) && !n.isPaused(now) && !n.isClosed(now) && !now.Before(n.avoidUntil) && d.beginsInTime(p, n, now)
}

// beginsInTime reports whether a request that is sent to the endpoint now surely begins
// before the endpoint's version may no longer be used. An engine reads one prompt after
// the other, so a request that waits there for those of several gateways begins late.
func (d *Dispatcher) beginsInTime(p *pool, n *node, now time.Time) bool {
	if p.model == "" || n.version(p.model, now) >= p.lateFloor {
		return true
	}
	return n.prefill == 0 && n.report.Queued == 0 && ranksFirst(n.ID, d.Name, d.gatewayNames, lateSenders)
}

// isCurrent reports whether requests may go by the endpoint list.
func (d *Dispatcher) isCurrent() bool { return d.IsCurrent == nil || d.IsCurrent() }

// noRoom is a room in which no prompt fits.
const noRoom time.Duration = -1

// pick returns an endpoint that has capacity and a low relative load, or nil.
func (d *Dispatcher) pick(p *pool, r Request, now time.Time) *node {
	n := d.pickInOrder(p, r, now)
	d.tried = n != nil && d.isTried(p, n, r, now)
	return n
}

// pickInOrder picks among the tiers, one after the other. Suspect endpoints are picked only if no
// other is usable.
func (d *Dispatcher) pickInOrder(p *pool, r Request, now time.Time) *node {
	d.room, d.kept, d.withheld, d.owed = noRoom, false, notWithheld, false
	if !d.isCurrent() {
		return nil
	}
	d.setLimits(p, r, now)
	d.kept = d.isKept(p, r, now)
	n, preferred := d.pickAmong(p, r, now, preferredTier)
	if n != nil {
		return n
	}
	n, others := d.pickAmong(p, r, now, spillTier)
	if n == nil && !preferred && !others {
		n, _ = d.pickAmong(p, r, now, suspectTier)
	}
	if d.kept {
		// A slot that is kept has no room for a shorter prompt either.
		d.room = noRoom
	}
	if n == nil && preferred && !r.Resumed && p.reserve.isOwed(r.Match.Rank(), now) {
		d.kept, d.owed = false, true
		d.setLimits(p, r, now)
		n, _ = d.pickAmong(p, r, now, preferredTier)
	}
	if n == nil {
		d.noteWithheld(p, r, now)
	}
	return n
}

// pickAmong picks among the endpoints of one tier, and reports whether any of them is
// usable, with capacity or without. It takes the best of a
// small random sample: if all gateways took the best of all endpoints, they would
// overload the same one, as none knows yet what the others have just sent.
func (d *Dispatcher) pickAmong(p *pool, r Request, now time.Time, t tier) (*node, bool) {
	near, far := d.near[:0], d.far[:0]
	found := false
	for _, n := range p.nodes {
		if d.tierFor(p, n, r, now) != t || !d.isUsable(p, n, r, now) {
			continue
		}
		found = true
		switch {
		case t == spillTier && !d.hasSpareCapacity(p, n, r, now), !d.hasCapacity(p, n, r, now):
		case t == preferredTier && d.kept:
			d.withheld = keptHere
		case n.Region == d.Region:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	d.near, d.far = near, far
	var best *node
	var low float64
	try := func(l []*node, draws int) {
		drawn, k := sample(len(l), draws)
		for _, i := range drawn[:k] {
			if s := d.score(p, l[i], now); best == nil || s < low {
				best, low = l[i], s
			}
		}
	}
	try(near, nearSamples)
	try(far, farSamples)
	return best, found
}

// sample returns up to two distinct random numbers below n and their count.
func sample(n, draws int) (drawn [2]int, k int) {
	if n <= draws {
		return [2]int{0, 1}, n
	}
	i := rand.IntN(n)
	if draws == 1 {
		return [2]int{i}, 1
	}
	return [2]int{i, (i + 1 + rand.IntN(n-1)) % n}, 2
}

// hasCapacity reports whether the endpoint has a free slot for the request and,
// unless the request resumes a stream, few enough prompts pending and no more urgent requests
// of other gateways that wait for the slot.
func (d *Dispatcher) hasCapacity(p *pool, n *node, r Request, now time.Time) bool {
	if n.load(now, d.gateways) >= d.slotLimit(n) || n.isColdLimited(now) || n.isResumeLimited(now) {
		return false
	}
	room, none := d.prefillRoom(p, n, r)
	fits := r.Resumed || none || p.prefillTime(r) <= room
	if left := d.leftToOthers(p, n, r, now); left > 0 && n.load(now, d.gateways)+left >= d.slotLimit(n) {
		if fits {
			d.withheld = max(d.withheld, leftElsewhere)
		}
		return false
	}
	if !r.Resumed && !none {
		d.room = max(d.room, room)
	}
	return fits
}

// score returns the relative load of an endpoint plus the costs of distance,
// failures, an old version, pending prompts and the delay in its link; the lowest is best.
func (d *Dispatcher) score(p *pool, n *node, now time.Time) float64 {
	s := d.workAt(p, n, now)/float64(n.limit()) + d.distanceCost(n) + failureCost*n.failureRate
	if p.model != "" && n.version(p.model, now) < p.target.Version {
		s += oldVersionCost
	}
	return s + prefillCost*float64(p.unreadAt(n, now)+n.linkDelay(now))/float64(maxPrefill)
}

// prefillTime returns the estimated time that an engine takes to process the prompt.
func (p *pool) prefillTime(r Request) time.Duration {
	if p.readRate <= 0 {
		return 0
	}
	return time.Duration(float64(r.Prompt) / p.readRate * float64(time.Second))
}

// prefillLimit returns the prompt processing time that this gateway may have pending
// at an engine. An engine processes prompts one after the other, and all gateways that
// send to it may choose it before its reports show them each other's requests.
func (d *Dispatcher) prefillLimit(n *node) time.Duration {
	return maxPrefill / time.Duration(d.sharers(n))
}

func (d *Dispatcher) distanceCost(n *node) float64 {
	switch {
	case n.Region != d.Region:
		return otherRegionCost
	case n.Domain != d.Domain:
		return otherDomainCost
	default:
		return 0
	}
}
