package dispatcher

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Gateways that share engines reserve slots for their own requests only, and callers are spread
// unevenly over gateways. A gateway whose urgent requests wait therefore states their number to
// the agents of its engines, and less urgent requests of other gateways leave slots to them.

const (
	// maxWaiting is the largest number of waiting requests of one rank that counts for one
	// gateway at one engine.
	maxWaiting = 64
	// maxWaitingRanks is the largest number of ranks that a statement may have.
	maxWaitingRanks = 16
	// waitingMaxAge is the age up to which a statement counts at an agent, and the numbers of a
	// report at a gateway; two of either are due in it.
	waitingMaxAge = 500 * time.Millisecond
)

// Waiting is what a gateway states to the agent of an engine: how many of its requests wait for
// the engine.
type Waiting struct {
	// To is the address of the agent, and Endpoint and Started the address of the engine and the start of
	// its process.
	To, Endpoint netip.AddrPort
	Started      time.Time
	// Ranks holds the numbers by the place of the rank among those of the service, the most urgent
	// first. They are all 0 once after the last request has ceased to wait for the engine.
	Ranks []int
}

// Waiting returns the statements that are due. It is to be called once in an interval of the reports.
// Where all requests of a service have one rank there are none.
func (d *Dispatcher) Waiting() []Waiting {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var l []Waiting
	for _, p := range d.pools {
		l = append(l, d.waitingOf(p, now)...)
	}
	return l
}

// waitingOf divides the waiting requests of a service, for each rank among the engines that this gateway
// prefers and that have no place for the rank. At others they wait for something else than a slot, such as
// the reading of the gateway's prompts, and wouldn't use one that is left to them.
func (d *Dispatcher) waitingOf(p *pool, now time.Time) []Waiting {
	total := p.waitingByRank()
	if total == nil && len(p.statedTo) == 0 {
		return nil
	}
	var nodes []*node
	for _, n := range p.nodes {
		if total != nil && n.agent.IsValid() && p.tier(n, now) == preferredTier && d.isUsable(p, n, anyRequest, now) {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *node) int { return a.Address.Compare(b.Address) })
	p.statements++
	ranks := make([][]int, len(nodes))
	for k := range nodes {
		ranks[k] = make([]int, len(total))
	}
	for i, t := range total {
		extra := p.reserve.extra(p.reserve.ranks[i])
		var full []int
		for k, n := range nodes {
			if n.load(now, d.gateways) >= n.limit()+extra {
				full = append(full, k)
			}
		}
		for j, k := range full {
			// The remainder begins at another engine each time, as a few requests would otherwise
			// always count at the same ones.
			ranks[k][i] = partOf(t, (j+p.statements)%len(full), len(full))
		}
	}
	var l []Waiting
	for k, n := range nodes {
		if isAny(ranks[k]) {
			l = append(l, Waiting{To: n.agent, Endpoint: n.Address, Started: n.Started, Ranks: ranks[k]})
		}
	}
	stated := len(l)
	for _, w := range p.statedTo {
		if !slices.ContainsFunc(l, func(v Waiting) bool { return v.Endpoint == w.Endpoint }) {
			w.Ranks = make([]int, len(w.Ranks))
			l = append(l, w)
		}
	}
	p.statedTo = slices.Clone(l[:stated])
	return l
}

// waitingByRank returns the numbers of waiting requests by the place of their rank; nil if none waits
// or all requests have one rank.
func (p *pool) waitingByRank() []int {
	v := &p.reserve
	if !v.isActive() || len(p.queue) == 0 {
		return nil
	}
	total := make([]int, min(len(v.ranks), maxWaitingRanks))
	for _, w := range p.queue {
		if i, ok := slices.BinarySearch(v.ranks, w.request.Match.Rank()); ok && i < len(total) {
			total[i]++
		}
	}
	return total
}

// partOf returns the k-th of n parts of a number, clamped. The first parts are greater by one if it
// can't be divided evenly.
func partOf(total, k, n int) int { return min((total+n-1-k)/n, maxWaiting) }

// isAny reports whether any of the numbers is above 0.
func isAny(l []int) bool { return slices.ContainsFunc(l, func(n int) bool { return n > 0 }) }

// Statements holds what gateways stated to the agent of one engine. Its methods may be called
// concurrently; the zero value is empty.
type Statements struct {
	// Now returns the current time; nil means time.Now. It must be set before the first call.
	Now func() time.Time

	mu     sync.Mutex
	stated map[string]statement
}

type statement struct {
	ranks []int
	at    time.Time
}

func (s *Statements) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// Hear records the numbers that a listed gateway stated, clamped. They replace the previous ones.
func (s *Statements) Hear(gateway string, ranks []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stated == nil {
		s.stated = make(map[string]statement)
	}
	l := slices.Clone(ranks[:min(len(ranks), maxWaitingRanks)])
	for i, n := range l {
		l[i] = min(max(n, 0), maxWaiting)
	}
	s.stated[gateway] = statement{ranks: l, at: s.now()}
}

// Others returns the sums of what other gateways than the given one stated recently; nil if
// no request waits at them.
func (s *Statements) Others(gateway string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var sums []int
	for g, v := range s.stated {
		if now.Sub(v.at) > waitingMaxAge {
			delete(s.stated, g)
			continue
		}
		if g == gateway {
			continue
		}
		for i, n := range v.ranks {
			if i == len(sums) {
				sums = append(sums, 0)
			}
			sums[i] += n
		}
	}
	if !isAny(sums) {
		return nil
	}
	return sums
}
