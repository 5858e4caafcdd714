package lender

import (
	"maps"
	"slices"
	"time"
)

// borrower is a gateway.
type borrower struct {
	demand Demand
	// heardAt is when the last demand arrived, and holderSince when it first said that it holds
	// permits; the zero time if the last one didn't.
	heardAt, holderSince time.Time
	loans                []loan
	// credit is the state of the weighted round robin.
	credit int
}

type loan struct {
	at      time.Time
	permits int
}

func (b *borrower) lent() int {
	n := 0
	for _, l := range b.loans {
		n += l.permits
	}
	return n
}

// isHolder reports whether the gateway surely uses permits only, and has for a whole window.
func (b *borrower) isHolder(now time.Time) bool {
	return !b.holderSince.IsZero() && now.Sub(b.heardAt) < holderTimeout && now.Sub(b.holderSince) >= window
}

// isOverdue reports whether the gateway says that it holds permits, and has got none for maxWait.
func (b *borrower) isOverdue(now time.Time) bool {
	return !b.holderSince.IsZero() && (len(b.loans) == 0 || now.Sub(b.loans[len(b.loans)-1].at) >= maxWait)
}

// charge is the number of requests that the gateway may send within the window: those that it was
// lent or, unless it uses permits only, its fixed share.
func (l *Lender) charge(name string, b *borrower, now time.Time) int {
	share := l.endpoint.Shares[name]
	switch {
	case b == nil:
		return share
	case b.isHolder(now):
		return b.lent()
	default:
		return max(share, b.lent())
	}
}

// charged is the sum of the charges of all gateways, known or not.
func (l *Lender) charged(now time.Time) int {
	sum := 0
	for name := range l.endpoint.Shares {
		sum += l.charge(name, l.gateways[name], now)
	}
	for name, b := range l.gateways {
		if _, isKnown := l.endpoint.Shares[name]; !isKnown {
			sum += b.lent()
		}
	}
	return sum
}

// divide lends the accrued permits by smooth weighted round robin: each time, every gateway gets its
// weight as credit, and the one with the most credit pays the sum of the weights for one permit.
func (l *Lender) divide(now time.Time) map[string]Offer {
	given := make(map[string]int)
	names := slices.Sorted(maps.Keys(l.gateways))
	names = slices.DeleteFunc(names, func(n string) bool {
		b := l.gateways[n]
		_, isKnown := l.endpoint.Shares[n]
		if isKnown && now.Sub(b.heardAt) < Validity && b.demand.most() > 0 && (b.demand.Holds || !l.differs) {
			return false
		}
		b.credit = 0
		return true
	})
	switch {
	case l.differs:
		l.reason = ListsDiffer
	case len(names) == 0:
		l.reason = NoDemand
	default:
		l.reason = ByDemand
	}
	charged, most := l.charged(now), l.most()
	for len(names) > 0 && l.accrued >= 1 {
		next, cost := l.next(names, given, most-charged, now)
		if next == "" {
			break
		}
		charged += cost
		l.accrued--
		given[next]++
		b := l.gateways[next]
		b.loans = append(b.loans, loan{now, 1})
	}
	offers := make(map[string]Offer)
	for _, name := range names {
		n, b := given[name], l.gateways[name]
		if n < b.demand.most() && !l.differs {
			l.reason = AtBound
		}
		if n == 0 {
			continue
		}
		l.serial++
		l.stats.Lent += int64(n)
		offers[name] = Offer{Permits: n, Serial: l.serial, Sent: b.demand.Sent}
	}
	return offers
}

// next returns the gateway that gets the next permit, and by how much its charge rises; none if
// no gateway needs one or room, the part of the bound that is left, is too small. Overdue holders
// come first and don't pay: beside a gateway with a hundred times the demand they would get one
// permit in several seconds.
func (l *Lender) next(names []string, given map[string]int, room int, now time.Time) (best string, cost int) {
	for _, name := range names {
		b := l.gateways[name]
		if c := l.cost(name, b, now); b.isOverdue(now) && c <= room {
			return name, c
		}
	}
	sum := 0
	for _, name := range names {
		b := l.gateways[name]
		c := l.cost(name, b, now)
		if given[name] >= b.demand.most() || c > room {
			continue
		}
		w := b.demand.weight()
		sum += w
		b.credit += w
		if best == "" || b.credit > l.gateways[best].credit {
			best, cost = name, c
		}
	}
	if best != "" {
		l.gateways[best].credit -= sum
	}
	return best, cost
}

// cost is the number by which one more permit raises the charge of a gateway.
func (l *Lender) cost(name string, b *borrower, now time.Time) int {
	if !b.isHolder(now) && b.lent() < l.endpoint.Shares[name] {
		return 0
	}
	return 1
}
