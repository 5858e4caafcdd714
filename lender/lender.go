package lender

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the time in which no more than the bound is lent: whatever is used in one second
	// was lent in the window that ends with it.
	window = time.Second + Validity
	// uncountedShares is the number of fixed shares that are left to gateways which the agent
	// doesn't count: unlisted ones, and those that restarted while they held permits.
	uncountedShares = 2
	// differingShares is the same while gateways know others than the agent does. Each of the five
	// sharers may then be another one by their lists, and use its fixed share.
	differingShares = 5
	// holderTimeout is the time without a demand after which a gateway no longer counts as one that
	// holds permits. A gateway returns to its fixed share 1.5 s after its last permit, so that
	// a demand may be delayed by half a second.
	holderTimeout = time.Second
	// maxWait is the time without permits after which a holder with demand precedes the others. With
	// two reports and the link it is less than the 1.5 s after which a gateway returns to its fixed share.
	maxWait = time.Second
	// maxAccrued is the time for which permits accrue: two reports, so that a lost one is made
	// up for.
	maxAccrued = 400 * time.Millisecond
	// listDelay is the time in which all gateways learn of the start of an endpoint from the list;
	// they count its cold time from then.
	listDelay = 2500 * time.Millisecond
)

// Lender lends the request rate of the endpoint beside an agent. Its exported fields are set before
// the first call; its methods may be called concurrently.
type Lender struct {
	// Began is when the agent's process started, on the clock of Endpoint.Started.
	Began time.Time
	// Changed is called with a lock held; it may be nil and must not block.
	Changed func(Change)
	// Now returns the current time; nil stands for time.Now.
	Now func() time.Time

	mu sync.Mutex
	// firstAt is the time of the first report, from which the end of the permits of a previous
	// process of the agent is counted.
	firstAt  time.Time
	endpoint Endpoint
	// coldUntil is the time up to which the endpoint may be cold, and isActive whether the agent lends.
	coldUntil time.Time
	isActive  bool
	// gateways holds the gateways that were lent permits or stated a demand.
	gateways map[string]*borrower
	// accruedAt is when permits last accrued, and accrued their number.
	accruedAt time.Time
	accrued   float64
	// differs is the value of listsDiffer in the last call of Lend.
	differs bool
	serial  int64
	reason  Reason
	// began is the value of stats.Lent when lending began.
	began int64
	stats Stats
}

func (l *Lender) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

// Hear takes a demand and reports whether it was accepted: it has to be from a known gateway and
// for the present process of the endpoint.
func (l *Lender) Hear(d Demand) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isKnown := l.endpoint.Shares[d.Gateway]
	if !isKnown || !d.Started.Equal(l.endpoint.Started) || d.Waiting < 0 || d.Arrivals < 0 {
		l.stats.Refused++
		return false
	}
	l.stats.Demands++
	now := l.now()
	d.Waiting, d.Arrivals = min(d.Waiting, maxStated), min(d.Arrivals, maxStated)
	b := l.borrower(d.Gateway)
	if d.Sent <= b.demand.Sent && now.Sub(b.heardAt) < holderTimeout {
		// A late or duplicate datagram would keep a gateway as a holder that no longer is one.
		return true
	}
	if !d.Holds {
		b.holderSince = time.Time{}
	} else if b.holderSince.IsZero() || now.Sub(b.heardAt) >= holderTimeout {
		b.holderSince = now
	}
	b.demand, b.heardAt = d, now
	return true
}

func (l *Lender) borrower(name string) *borrower {
	b := l.gateways[name]
	if b == nil {
		if l.gateways == nil {
			l.gateways = make(map[string]*borrower)
		}
		b = &borrower{}
		l.gateways[name] = b
	}
	return b
}

// Lend returns the offers with permits of the next report, by gateway. It reports whether the agent
// lends; if it does, all other gateways get empty offers.
func (l *Lender) Lend(e Endpoint) (offers map[string]Offer, isActive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.note(e, now)
	if !l.isActive {
		l.reason = Warm
		return nil, false
	}
	l.trim(now)
	if l.isRestarted(now) {
		l.reason = Restarted
		return nil, true
	}
	l.differs = l.listsDiffer(now)
	l.accrue(now)
	return l.divide(now), true
}

func (l *Lender) isDemanded(now time.Time) bool {
	for _, b := range l.gateways {
		if !b.heardAt.IsZero() && now.Sub(b.heardAt) < holderTimeout {
			return true
		}
	}
	return false
}

// most is the number of requests that known gateways may be allowed in a window.
func (l *Lender) most() int {
	n := uncountedShares
	if l.differs {
		n = differingShares
	}
	return max(0, int(l.endpoint.Bound)-n*l.endpoint.Share)
}

// listsDiffer reports whether a gateway with a recent demand knows others than the agent does.
func (l *Lender) listsDiffer(now time.Time) bool {
	for _, b := range l.gateways {
		if !b.heardAt.IsZero() && now.Sub(b.heardAt) < window && b.demand.List != l.endpoint.List {
			return true
		}
	}
	return false
}

// rate is the number of permits per second that most allows.
func (l *Lender) rate() float64 { return float64(l.most()) / window.Seconds() }

// trim drops loans that are older than the window, and gateways of which nothing is left.
func (l *Lender) trim(now time.Time) {
	for name, b := range l.gateways {
		b.loans = slices.DeleteFunc(b.loans, func(x loan) bool { return now.Sub(x.at) >= window })
		if len(b.loans) == 0 && now.Sub(b.heardAt) >= window {
			delete(l.gateways, name)
		}
	}
}

// accrue adds the permits of the time since the last call, so that they are spread over time.
func (l *Lender) accrue(now time.Time) {
	l.accrued += now.Sub(l.accruedAt).Seconds() * l.rate()
	l.accrued, l.accruedAt = min(l.accrued, max(1, l.rate()*maxAccrued.Seconds())), now
}

// Stats returns the state.
func (l *Lender) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(l.now())
	s := l.stats
	s.Reason = l.reason
	n := 0
	for _, b := range l.gateways {
		n += b.lent()
	}
	s.Rate = float64(n) / window.Seconds()
	return s
}
