package dispatcher

import "time"

// RankStatus counts slots of the requests of one rank, of this gateway.
type RankStatus struct {
	// Rank is that of resolver.Match: the priority of the account, or else of the
	// route, x 1000 + that of the route.
	Rank int
	// Demand is the number of slots that recent arrivals indicate, and Used that in use.
	Demand float64
	Used   int
	// Reserved is the number of slots that have to stay free for this rank and more urgent ones, and
	// Lent the part of Demand that is neither used nor reserved.
	Reserved, Lent float64
	// Elsewhere is the number of slots that less urgent requests of this gateway leave to those of this
	// rank that wait at other gateways, at the endpoints that this gateway prefers.
	Elsewhere int
}

// rankStatus returns the counts of all ranks; nil if all requests have one.
func (p *pool) rankStatus(now time.Time) []RankStatus {
	l := p.reserve.status(now)
	for i := range l {
		for _, n := range p.nodes {
			if p.tier(n, now) == preferredTier && i+1 < len(l) {
				l[i].Elsewhere += n.waitingElsewhere(i, now)
			}
		}
	}
	return l
}

// status returns the counts of all ranks that don't depend on an endpoint; nil if the reserve is
// inactive.
func (v *reserve) status(now time.Time) []RankStatus {
	if !v.isActive() {
		return nil
	}
	var l []RankStatus
	for i, k := range v.ranks {
		s := RankStatus{Rank: k, Used: v.load(k).inFlight}
		s.Demand, _ = v.load(k).demand.get(now)
		if i+1 < len(v.ranks) {
			s.Reserved = v.kept(v.ranks[i+1], now)
		}
		s.Lent = max(0, s.Demand-float64(s.Used)-s.Reserved)
		l = append(l, s)
	}
	return l
}
