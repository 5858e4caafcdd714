package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// otherDomain and otherRegion are added to the relative load of endpoints that
	// are not near: a hop between regions is worth less than two of 16 slots.
	otherDomain = 0.05
	otherRegion = 0.1
	// nearDraws and farDraws are the numbers of endpoints of the own region and of
	// the others of which the best is taken; at most 2.
	nearDraws = 2
	farDraws  = 1
	// readShare is the part of a request's aim that engines may spend on reading
	// the prompts before it, summed over all gateways.
	readShare = 0.6
	// readCost is the relative load that prompts which take the whole aim to read
	// stand for.
	readCost = 2
	// olderCost is added for an engine that is about to load a newer version, as
	// its streams may be cut then.
	olderCost = 0.2
	// faultCost is the relative load that a share of failures of 1 stands for.
	faultCost = 3
)

// isAllowed reports whether the rules let the request go to the endpoint,
// whatever its load.
func (d *Dispatcher) isAllowed(p *pool, n *node, r Request, now time.Time) bool {
	if n.Draining || !r.Match.Allows(n.Region) || slices.Contains(r.Exclude, n.ID) {
		return false
	}
	if p.model == "" {
		return true
	}
	v := n.version(p.model, now)
	return v > 0 && v >= p.named.Floor
}

// isUsable reports whether the endpoint may get the request once it has room.
func (d *Dispatcher) isUsable(p *pool, n *node, r Request, now time.Time) bool {
	return d.isAllowed(p, n, r, now) && !n.closed(now) && !now.Before(n.avoidUntil)
}

// pick returns an endpoint with a low relative load that has room, or nil.
// Endpoints that failed lately are taken only where no other may be used.
func (d *Dispatcher) pick(p *pool, r Request, now time.Time) *node {
	n, others := d.pickAmong(p, r, now, false)
	if n == nil && !others {
		n, _ = d.pickAmong(p, r, now, true)
	}
	return n
}

// pickAmong picks among the endpoints that failed lately or among the others, and
// reports whether there are any that may be used, with room or without. It takes
// the best of a few drawn at random: gateways that all took the best of all would
// meet at the same endpoint, as none sees yet what the others just sent.
func (d *Dispatcher) pickAmong(p *pool, r Request, now time.Time, suspect bool) (*node, bool) {
	near, far := d.near[:0], d.far[:0]
	found := false
	for _, n := range p.nodes {
		if n.isSuspect(now) != suspect || !d.isUsable(p, n, r, now) {
			continue
		}
		found = true
		switch {
		case !d.hasRoom(p, n, r, now):
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
			if s := d.score(p, l[i], r, now); best == nil || s < low {
				best, low = l[i], s
			}
		}
	}
	try(near, nearDraws)
	try(far, farDraws)
	return best, found
}

// sample returns up to two different random numbers below n and their count.
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

// hasRoom reports whether the endpoint may get the request now.
func (d *Dispatcher) hasRoom(p *pool, n *node, r Request, now time.Time) bool {
	if n.load(now, d.gateways) >= p.limit(n, r, now) || n.coldFull(now, p.coldShare) {
		return false
	}
	return r.Resumed || n.reading == 0 || n.reading+p.readTime(r) <= d.readBound(r)
}

// score is the relative load of an endpoint and what else speaks against it.
func (d *Dispatcher) score(p *pool, n *node, r Request, now time.Time) float64 {
	s := float64(n.load(now, d.gateways))/float64(n.limit()) + d.distance(n) + faultCost*n.faults
	if p.model != "" && n.version(p.model, now) < p.named.Version {
		s += olderCost
	}
	if aim := r.Match.Route.Aim; aim > 0 {
		s += readCost * float64(n.reading) / float64(aim)
	}
	return s
}

// readTime is the time that an engine takes to read the prompt.
func (p *pool) readTime(r Request) time.Duration {
	if p.readRate <= 0 {
		return 0
	}
	return time.Duration(float64(r.Prompt) / p.readRate * float64(time.Second))
}

// readBound is the time of reading that this gateway gives an engine ahead. An
// engine reads one prompt after the other, and all gateways may choose the same
// one before they see each other's requests in its reports.
func (d *Dispatcher) readBound(r Request) time.Duration {
	return time.Duration(readShare * float64(r.Match.Route.Aim) / float64(d.gateways))
}

func (d *Dispatcher) distance(n *node) float64 {
	switch {
	case n.Region != d.Region:
		return otherRegion
	case n.Domain != d.Domain:
		return otherDomain
	default:
		return 0
	}
}
