package dispatcher

import (
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// nearSharers and farSharers are the numbers of gateways in the endpoint's failure
	// domain and in others that prefer an endpoint. With few sharers each of them knows
	// most of what the endpoint has to do, and connections are reused; those in other
	// failure domains use it if all gateways of its own are lost.
	nearSharers = 3
	farSharers  = 2
	// maxSharers is the number of gateways that prefer an endpoint in a fleet that has
	// so many.
	maxSharers = nearSharers + farSharers
	// spillLoad is the part of the slots below which an endpoint gets requests from a
	// gateway that doesn't prefer it, and overloadSpillLoad the same under overload. Near
	// full load many gateways would take its last slots at once.
	spillLoad         = 0.75
	overloadSpillLoad = 0.5
)

// tier orders the endpoints that a request may go to.
type tier uint8

const (
	// preferredTier holds the endpoints of which this gateway is a sharer.
	preferredTier tier = iota
	// spillTier holds all others; they get requests only while they have little to do.
	spillTier
	// suspectTier holds endpoints that may be lost, don't begin what they have or are behind
	// a slow link. They are used if there are no others.
	suspectTier
)

// Sharers returns the names of the gateways that prefer an endpoint, or nil if all do. The
// gateways of the endpoint's failure domain come first; further ones fill up the number.
// All processes that know the same gateways agree.
func Sharers(e *observer.Endpoint, gateways []*observer.Gateway) []string {
	if len(gateways) <= maxSharers {
		return nil
	}
	var near, far []string
	for _, g := range gateways {
		if g.Domain == e.Domain {
			near = append(near, g.Name)
		} else {
			far = append(far, g.Name)
		}
	}
	near = firstRanked(e.ID, near, nearSharers)
	return append(near, firstRanked(e.ID, far, maxSharers-len(near))...)
}

// sharerPlace returns the place of the gateway among those that prefer an endpoint; -1 if it is none
// of them.
func sharerPlace(e *observer.Endpoint, self string, gateways []*observer.Gateway) int {
	if l := Sharers(e, gateways); l != nil {
		return slices.Index(l, self)
	}
	return slices.IndexFunc(gateways, func(g *observer.Gateway) bool { return g.Name == self })
}

// firstRanked returns up to n names that come first in the rendezvous order for the
// endpoint.
func firstRanked(endpoint string, names []string, n int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	l := make([]ranked, len(names))
	for i, g := range names {
		l[i] = ranked{g, rank(endpoint, g)}
	}
	slices.SortFunc(l, func(a, b ranked) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	var out []string
	for _, r := range l[:min(n, len(l))] {
		out = append(out, r.name)
	}
	return out
}

// updateSharers determines which endpoints of the pool this gateway prefers: of all
// endpoints if the gateways changed, else of new ones. A plain service has few endpoints,
// and each gateway uses all of them.
func (d *Dispatcher) updateSharers(p *pool, all bool) {
	gateways := d.withSelf()
	for _, n := range p.nodes {
		if all || !n.ranked {
			n.preferred, n.ranked = true, true
			if p.model != "" {
				n.place = sharerPlace(&n.Endpoint, d.Name, gateways)
				n.preferred = n.place >= 0
			}
		}
	}
}

// withSelf returns the known gateways and this one. A gateway that can't reach the platform
// when it starts isn't listed, and would prefer no endpoint.
func (d *Dispatcher) withSelf() []*observer.Gateway {
	if slices.ContainsFunc(d.gatewayList, func(g *observer.Gateway) bool { return g.Name == d.Name }) {
		return d.gatewayList
	}
	return append(slices.Clip(d.gatewayList), &observer.Gateway{Name: d.Name, Domain: d.Domain})
}

// tier returns the tier of an endpoint.
func (p *pool) tier(n *node, now time.Time) tier {
	switch {
	case n.isSuspect(now) || p.isDelayed(n, now):
		return suspectTier
	case n.preferred:
		return preferredTier
	default:
		return spillTier
	}
}

// isDelayed reports whether an endpoint doesn't report or begin what it has, or is behind a slow link.
func (p *pool) isDelayed(n *node, now time.Time) bool {
	return p.isUnreported(n, now) || p.isStalled(n, now) || n.linkDelay(now) >= slowLink
}

// tierFor returns the tier of an endpoint for a request. One that failed and is due to be tried is
// like the others for a request that may try it.
func (d *Dispatcher) tierFor(p *pool, n *node, r Request, now time.Time) tier {
	if d.isTried(p, n, r, now) {
		return preferredTier
	}
	t := p.tier(n, now)
	if t == spillTier && p.leavesToSharers(n, now) {
		return suspectTier
	}
	return t
}

// hasSpareCapacity reports whether an endpoint may get a request from a gateway that
// doesn't prefer it. One of the most urgent requests of a service with several ranks may use any
// free slot, as the endpoint admits it first if another gateway has taken it.
func (d *Dispatcher) hasSpareCapacity(p *pool, n *node, r Request, now time.Time) bool {
	share := spillLoad
	if p.reserve.isActive() && p.reserve.isMostUrgent(r.Match.Rank()) {
		share = 1
	} else if p.isOverloaded(now) {
		share = overloadSpillLoad
	}
	return n.prefill == 0 && n.report.Queued == 0 && float64(n.load(now, d.gateways)) < share*float64(n.limit())
}

// sharers returns the number of gateways that send to the endpoint, as far as this one
// knows: those that prefer it, or all if this one isn't among these.
func (d *Dispatcher) sharers(n *node) int {
	if n.preferred {
		return min(d.gateways, maxSharers)
	}
	return d.gateways
}
