package lender

import "time"

// Endpoint is the endpoint of an agent, as it is when a report is sent.
type Endpoint struct {
	// Started is the start of the process.
	Started time.Time
	// Loaded reports whether the endpoint has weights.
	Loaded bool
	// Bound is the number of requests that it may get in a second while it is cold, and ColdTime how
	// long it stays cold. Without a bound nothing is lent.
	Bound    float64
	ColdTime time.Duration
	// List is the digest of the gateways that the agent knows.
	List uint32
	// Shares is the number of requests per second that each known gateway may send without
	// permits, and Share the same for a gateway that isn't known.
	Shares map[string]int
	Share  int
}

// Change tells that the agent begins to lend, begins again or ends.
type Change struct {
	Kind ChangeKind
	// Started is the start of the endpoint's process, and Rate the permits per second if no gateway
	// uses its fixed share.
	Started time.Time
	Rate    float64
	// Lent is the number of permits that were lent since the beginning.
	Lent int
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds.
const (
	Began   ChangeKind = "began"
	SetBack ChangeKind = "set-back"
	Ended   ChangeKind = "ended"
)

// Reason tells why permits are lent at their present rate.
type Reason string

// The reasons.
const (
	// Warm means that the endpoint isn't cold.
	Warm Reason = "warm"
	// Restarted means that permits of the agent's previous process may still be in use.
	Restarted Reason = "restarted"
	// NoDemand means that no gateway has stated a demand.
	NoDemand Reason = "no-demand"
	// ByDemand means that permits are lent as gateways need them.
	ByDemand Reason = "demand"
	// ListsDiffer means that gateways know others than the agent does, so that no more of them change
	// to permits.
	ListsDiffer Reason = "lists-differ"
	// AtBound means that gateways need more than may be lent.
	AtBound Reason = "bound"
)

// Stats is the state of a lender.
type Stats struct {
	Reason Reason
	// Rate is the number of permits lent per second, over the last 1.4 s.
	Rate float64
	// Lent and Demands count permits and accepted demands; Refused counts other demands.
	Lent, Demands, Refused int64
}

// isRestarted reports whether permits of a previous process of the agent may have been used within
// the last second. There are none if the endpoint started after the agent.
func (l *Lender) isRestarted(now time.Time) bool {
	return !l.endpoint.Started.After(l.Began) && now.Sub(l.firstAt) < window
}

// note records the endpoint and whether it may be cold: a while after its start, after it got
// weights, and while gateways state a demand, which they do only where they count it as cold.
func (l *Lender) note(e Endpoint, now time.Time) {
	if l.firstAt.IsZero() {
		l.firstAt, l.serial = now, now.UnixMicro()
	}
	isNew := !e.Started.Equal(l.endpoint.Started)
	if isNew || e.Loaded && !l.endpoint.Loaded {
		l.coldUntil = now.Add(e.ColdTime + listDelay)
	}
	if isNew {
		l.gateways = nil
	}
	l.endpoint = e
	isCold := e.Bound > 0 && (now.Before(l.coldUntil) || l.isDemanded(now))
	switch {
	case isCold && !l.isActive:
		l.isActive, l.began, l.accruedAt, l.accrued = true, l.stats.Lent, now, l.rate()*maxAccrued.Seconds()
		l.change(Began)
	case isCold && isNew:
		l.change(SetBack)
		l.began = l.stats.Lent
	case !isCold && l.isActive:
		l.isActive = false
		l.change(Ended)
	}
}

func (l *Lender) change(k ChangeKind) {
	if l.Changed != nil {
		l.Changed(Change{Kind: k, Started: l.endpoint.Started, Rate: l.rate(), Lent: int(l.stats.Lent - l.began)})
	}
}
