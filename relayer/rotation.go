package relayer

import "net/netip"

// rotation selects the next address to try from a list that may change between
// attempts. The zero value has tried none.
type rotation struct {
	tries int
	// tried holds the number of the last attempt at each address.
	tried map[netip.AddrPort]int
}

// next returns the first address that has not been tried, or else the one whose last
// attempt is the oldest. It returns false if the list is empty.
func (r *rotation) next(l []netip.AddrPort) (netip.AddrPort, bool) {
	if len(l) == 0 {
		return netip.AddrPort{}, false
	}
	best := l[0]
	for _, a := range l {
		if r.tried[a] < r.tried[best] {
			best = a
		}
	}
	if r.tried == nil {
		r.tried = make(map[netip.AddrPort]int)
	}
	r.tries++
	r.tried[best] = r.tries
	return best, true
}
