package dispatcher

import (
	"slices"
	"time"
)

// isKept reports whether the free slots of the engines that this gateway prefers are kept for
// more urgent requests. Resumed streams precede all others.
func (d *Dispatcher) isKept(p *pool, r Request, now time.Time) bool {
	if r.Resumed || p.reserve.isMostUrgent(r.Match.Rank()) {
		return false
	}
	free := 0
	for _, n := range p.nodes {
		if p.tier(n, now) == preferredTier && d.isUsable(p, n, r, now) {
			free += max(0, d.slotLimit(n)-n.load(now, d.gateways))
		}
	}
	return !p.reserve.mayTake(r.Match.Rank(), free, now)
}

// leftToOthers returns the number of slots of an endpoint that a request leaves free for more urgent
// ones that wait at other gateways. Resumed streams and requests that are owed a slot leave none.
func (d *Dispatcher) leftToOthers(p *pool, n *node, r Request, now time.Time) int {
	v := &p.reserve
	if r.Resumed || d.owed || v.isMostUrgent(r.Match.Rank()) {
		return 0
	}
	place, _ := slices.BinarySearch(v.ranks, r.Match.Rank())
	sum := 0
	for i := range place {
		sum += n.waitingElsewhere(i, now)
	}
	return min(sum, n.limit())
}

// waitingElsewhere returns how many requests of the rank at a place wait for the endpoint at other
// gateways, by its last report; at most its slots.
func (n *node) waitingElsewhere(place int, now time.Time) int {
	if place >= len(n.report.Waiting) || now.Sub(n.reportedAt) > waitingMaxAge {
		return 0
	}
	return min(max(n.report.Waiting[place], 0), n.limit())
}

// noteWithheld records that a slot was kept from a request that could have used it and found no
// other, if so.
func (d *Dispatcher) noteWithheld(p *pool, r Request, now time.Time) {
	if d.withheld == notWithheld {
		return
	}
	v := &p.reserve
	v.withheldAt = now
	if !v.isWithholding && d.Withheld != nil {
		slots := v.kept(r.Match.Rank(), now)
		for _, n := range p.nodes {
			if p.tier(n, now) == preferredTier {
				slots += float64(d.leftToOthers(p, n, r, now))
			}
		}
		d.Withheld(p.service, slots, true)
	}
	v.isWithholding = true
}

// prefillRoom returns how much more time the prompts of this gateway may take that an engine reads
// before one of the request, and whether there are none. An engine reads urgent prompts first, and
// one of a request that is owed a slot as early as the most urgent ones.
func (d *Dispatcher) prefillRoom(p *pool, n *node, r Request) (room time.Duration, none bool) {
	limit, pending := d.prefillLimit(n), n.prefill
	if p.reserve.isActive() {
		rank := r.Match.Rank()
		limit, pending = time.Duration(float64(limit)*d.prefillPart), 0
		for _, l := range n.begins.pending {
			k := l.request.Match.Rank()
			if !d.owed && (l.Owed || k <= rank) || d.owed && k >= rank {
				pending += l.prefill
			}
		}
	}
	return limit - pending, pending == 0
}

// setLimits sets what the rank of the request gives it at every endpoint. It is called once for all
// endpoints, since both numbers take time for each rank. Urgent requests fill an engine
// beyond its slots, so that one that is owed a slot would find none free by its own rank.
func (d *Dispatcher) setLimits(p *pool, r Request, now time.Time) {
	v, rank := &p.reserve, r.Match.Rank()
	d.extra, d.prefillPart = 0, 1
	if !v.isActive() {
		return
	}
	d.prefillPart = v.prefillShare(rank, now)
	if d.owed {
		rank = v.ranks[0]
	}
	d.extra = v.extra(rank)
}

// slotLimit returns the number of requests that may be at an endpoint when one more is sent.
func (d *Dispatcher) slotLimit(n *node) int { return n.limit() + d.extra }
