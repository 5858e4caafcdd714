package dispatcher

import (
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// holderTime is the time after the last permit in which a gateway doesn't use its fixed share of
	// a cold endpoint. Permits are used within lender.Validity, so that none of them counts in the
	// same coldRateWindow as the first request of the fixed share.
	holderTime = lender.Validity + coldRateWindow
	// askTime is the time for which waiting and refused requests are a reason to ask for permits.
	askTime = time.Second
	// offerMaxAge is the age up to which an offer is answered.
	offerMaxAge = reportMaxAge
)

// PermitCounts counts permits of cold endpoints.
type PermitCounts struct {
	// Received counts the permits that arrived in time, and Used the requests sent by them. Late
	// counts permits that had expired when they arrived.
	Received, Used, Late int64
}

// permits are those of one process of an endpoint. The dispatcher's lock guards them.
type permits struct {
	// offeredAt is when the last offer came.
	offeredAt time.Time
	// receivedAt is when the last valid permits arrived, and serial their number.
	receivedAt time.Time
	serial     int64
	loans      []loan
	// debts holds the times of the requests sent by the fixed share, the oldest first, that permits
	// received within coldRateWindow have to cover.
	debts []time.Time
	// counts is that of the pool.
	counts *PermitCounts
}

// loan is a number of permits that expire together.
type loan struct {
	permits int
	until   time.Time
}

// isHolder reports whether the gateway uses permits in place of its fixed share.
func (s *permits) isHolder(now time.Time) bool {
	return !s.receivedAt.IsZero() && now.Sub(s.receivedAt) <= holderTime
}

// left returns the number of permits that may be used.
func (s *permits) left(now time.Time) int {
	n := 0
	for _, l := range s.loans {
		if now.Before(l.until) {
			n += l.permits
		}
	}
	return n
}

// use takes the permit that expires first, if there is one.
func (s *permits) use(now time.Time) {
	for i := range s.loans {
		if l := &s.loans[i]; l.permits > 0 && now.Before(l.until) {
			l.permits--
			s.counts.Used++
			return
		}
	}
}

// add adds permits that expire at a time. Those that were sent by the fixed share are deducted
// from the first ones.
func (s *permits) add(n int, until, now time.Time) {
	s.loans = slices.DeleteFunc(s.loans, func(l loan) bool { return l.permits == 0 || !now.Before(l.until) })
	for len(s.debts) > 0 && now.Sub(s.debts[0]) > coldRateWindow {
		s.debts = s.debts[1:]
	}
	paid := min(n, len(s.debts))
	s.debts = s.debts[paid:]
	s.loans, s.receivedAt = append(s.loans, loan{n - paid, until}), now
}

// takeOffer takes the permits of a report. A duplicate, an earlier offer and one whose permits have
// expired on this gateway's clock give none. An offer never gives more than the endpoint's bound.
func (d *Dispatcher) takeOffer(p *pool, n *node, r Report) {
	if r.Lending == nil || !n.Started.Equal(r.Started) {
		return
	}
	now, s := d.now(), &n.permits
	s.offeredAt, s.counts = now, &p.permitCounts
	if r.Lending.Permits <= 0 || r.Lending.Serial <= s.serial {
		return
	}
	s.serial = r.Lending.Serial
	age := d.stamp(now) - r.Lending.Sent
	if age < 0 || age >= lender.Validity.Microseconds() {
		p.permitCounts.Late += int64(r.Lending.Permits)
		return
	}
	if !s.isHolder(now) {
		n.trimColdSent(now)
		s.debts = slices.Clone(n.coldSent)
	}
	k := max(0, min(r.Lending.Permits, p.coldBound-s.left(now)))
	p.permitCounts.Received += int64(k)
	s.add(k, now.Add(lender.Validity-time.Duration(age)*time.Microsecond), now)
}

// stamp returns the time stamp of a demand in microseconds. It goes on with the monotonic
// clock, and begins with the wall clock, so that stamps of an earlier process aren't valid.
func (d *Dispatcher) stamp(now time.Time) int64 {
	if d.stampBase.IsZero() {
		d.stampBase = now
	}
	return d.stampBase.UnixMicro() + now.Sub(d.stampBase).Microseconds()
}

// AgentDemand is a demand and the address of the agent that it is for.
type AgentDemand struct {
	To     netip.AddrPort
	Demand lender.Demand
}

// Demands returns the demands for permits of cold endpoints whose agents lend them: while requests
// wait, or waited or were refused recently.
func (d *Dispatcher) Demands() []AgentDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var l []AgentDemand
	for _, p := range d.pools {
		if len(p.queue) == 0 && now.Sub(p.pressure.waitedAt) >= askTime && p.pressure.refused.sum(now) == 0 {
			continue
		}
		var cold []*node
		for _, n := range p.nodes {
			if d.isLending(p, n, now) {
				cold = append(cold, n)
			}
		}
		if len(cold) == 0 {
			continue
		}
		part := func(k int) int { return (k + len(cold) - 1) / len(cold) }
		v := lender.Demand{
			Gateway: d.Name, Sent: d.stamp(now), List: lender.ListDigest(d.gatewayNames),
			Waiting: part(len(p.queue) + p.pressure.refused.sum(now)), Arrivals: part(p.pressure.arrived.sum(now)),
		}
		for _, n := range cold {
			v.Started, v.Holds = n.Started, n.permits.isHolder(now)
			l = append(l, AgentDemand{n.agent, v})
		}
	}
	return l
}

// isLending reports whether the gateway may ask the agent of the endpoint for permits.
func (d *Dispatcher) isLending(p *pool, n *node, now time.Time) bool {
	s := &n.permits
	if !n.agent.IsValid() || now.Sub(s.offeredAt) > offerMaxAge || !now.Before(n.coldUntil) {
		return false
	}
	if !n.preferred || n.Draining || n.isLeaving() || n.isReplaced() || n.isClosed(now) {
		return false
	}
	return p.model == "" || n.version(p.model, now) >= max(1, p.target.Floor)
}

// pressure tells how many requests of a service need endpoints.
type pressure struct {
	// waitedAt is when a request last began to wait.
	waitedAt time.Time
	// arrived and refused count the requests of the last second.
	arrived, refused recentCount
}

const (
	countStep  = 100 * time.Millisecond
	countSteps = int64(time.Second / countStep)
)

// recentCount counts what happened in the last second, in steps of 0.1 s.
type recentCount struct {
	counts [countSteps]int
	last   int64
}

func (c *recentCount) add(now time.Time) {
	c.advance(now)
	c.counts[c.last%countSteps]++
}

func (c *recentCount) sum(now time.Time) int {
	c.advance(now)
	n := 0
	for _, k := range c.counts {
		n += k
	}
	return n
}

// advance clears the steps that have begun since the last call. If the wall clock was set back it
// begins again, as no step would be cleared until the clock is where it was.
func (c *recentCount) advance(now time.Time) {
	step := now.UnixNano() / int64(countStep)
	if step <= c.last-countSteps {
		*c = recentCount{}
	}
	for i := max(c.last+1, step-countSteps+1); i <= step; i++ {
		c.counts[i%countSteps] = 0
	}
	c.last = max(c.last, step)
}

// FixedShares returns the number of requests per second that each of the known gateways may send to
// a cold endpoint without permits, and the same for a gateway that isn't known.
func (c ColdLimit) FixedShares(rate float64, e *observer.Endpoint, gateways []*observer.Gateway) (shares map[string]int, other int) {
	s := c.share(rate, len(gateways))
	names := make([]string, len(gateways))
	for i, g := range gateways {
		names[i] = g.Name
	}
	sharers := Sharers(e, gateways)
	shares = make(map[string]int, len(gateways))
	for _, name := range names {
		switch {
		case s.senders == maxSharers && sharers != nil:
			shares[name] = 0
		case s.senders == maxSharers:
			shares[name] = s.requests
		default:
			shares[name] = s.at(e.ID, name, names)
		}
	}
	if s.senders == maxSharers {
		for _, name := range sharers {
			shares[name] = s.requests
		}
	}
	return shares, s.requests
}

// Bound returns the number of requests per second that all gateways together may send to a cold
// endpoint with the given cold rate.
func (c ColdLimit) Bound(rate float64) float64 { return rate*c.Factor + c.Slack }
