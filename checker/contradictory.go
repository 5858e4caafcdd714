package checker

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// contradictions adds the findings of class Contradictory.
func (c *check) contradictions(active *resolver.Configuration) {
	c.revision(active)
	allowsRetries := c.checker.Retries == nil || c.checker.Retries.allowsRetries()
	for i := range c.configuration.Routes {
		c.times(i)
		if r := &c.configuration.Routes[i]; r.Attempts > 1 && !allowsRetries {
			c.add(Contradictory, NoRetries, resolver.Place{Kind: resolver.RouteEntry, Index: i, Field: "attempts"},
				"the route allows %d attempts, but the retry budget of a busy gateway allows no retries (%.3g for each request, %.3g saved at most)",
				r.Attempts, c.checker.Retries.Share, c.checker.Retries.Burst)
		}
	}
	for i := range c.configuration.Services {
		c.connections(i)
	}
}

func (c *check) revision(active *resolver.Configuration) {
	p := resolver.Place{Field: "revision"}
	switch {
	case active == nil || active.Revision < c.configuration.Revision:
	case active.Revision > c.configuration.Revision:
		c.add(Contradictory, LowRevision, p, "the active configuration has revision %d, and gateways ignore the lower revision %d", active.Revision, c.configuration.Revision)
	case len(Compare(active, c.document)) > 0:
		c.add(Contradictory, LowRevision, p, "the active configuration is another one of the same revision %d, so gateways can't tell which is later", active.Revision)
	}
}

// times checks the times of a route.
func (c *check) times(i int) {
	r := &c.configuration.Routes[i]
	at := func(field string) resolver.Place {
		return resolver.Place{Kind: resolver.RouteEntry, Index: i, Field: field}
	}
	if w := c.checker.CallersWait; w > 0 && r.Timeout > w {
		c.add(Contradictory, TimeoutBeyondCallers, at("timeout"), "the timeout %s is longer than callers wait, %s", r.Timeout, w)
	}
	for _, g := range []struct {
		field, name string
		target      time.Duration
	}{{"aim", "target latency", r.Aim}, {"gap", "target gap", r.Gap}} {
		if g.target > r.Timeout {
			c.add(Contradictory, TargetAboveTimeout, at(g.field), "the %s %s is above the timeout %s", g.name, g.target, r.Timeout)
		}
	}
	// Without a target latency nothing says how long an attempt takes, and with one above the
	// timeout not even one attempt fits.
	if r.Attempts < 2 || r.Aim <= 0 || r.Aim > r.Timeout {
		return
	}
	last := timesInt(r.Aim, r.Attempts-1)
	if r.Timeout-r.Aim < last {
		c.add(Contradictory, AttemptsBeyondTimeout, at("attempts"), "%d attempts of the target latency %s don't fit into the timeout %s", r.Attempts, r.Aim, r.Timeout)
		return
	}
	if w := r.Patience(); r.Streaming && last >= w {
		c.add(Contradictory, AttemptsBeyondCallers, at("attempts"), "callers leave a stream without an event after %s, before attempt %d can begin if each takes the target latency %s", w, r.Attempts, r.Aim)
	}
}

// timesInt returns n times d, or the longest time if it is longer.
func timesInt(d time.Duration, n int) time.Duration {
	const most = time.Duration(1<<63 - 1)
	if n > 0 && d > most/time.Duration(n) {
		return most
	}
	return d * time.Duration(n)
}

// connections compares the connections to an engine with the requests that it can serve before the
// longest timeout of its routes: each slot serves a usual request after the other until then. The
// last request in the queue just meets its timeout.
func (c *check) connections(i int) {
	s := &c.configuration.Services[i]
	if s.Engine == nil || s.Connections <= 0 || c.table.Service(s.Name) != s {
		return
	}
	var longest time.Duration
	for j := range c.configuration.Routes {
		for _, t := range c.configuration.Routes[j].Targets {
			if t.Service == s.Name && t.Weight > 0 {
				longest = max(longest, c.configuration.Routes[j].Timeout)
			}
		}
	}
	usual := usualTime(s.Engine)
	if longest == 0 || usual <= 0 {
		return
	}
	most := float64(s.Engine.Slots) * max(1, longest.Seconds()/usual)
	if float64(s.Connections) > most {
		c.add(Contradictory, ConnectionsAboveCapacity, resolver.Place{Kind: resolver.ServiceEntry, Index: i, Field: "connections"},
			"%d connections to one engine are above the %.0f requests that its %d slots can serve within the longest timeout %s, at %.3g s for a usual request",
			s.Connections, most, s.Engine.Slots, longest, usual)
	}
}

// usualTime returns the seconds that a usual request takes on an engine alone; 0 if it isn't known.
func usualTime(e *resolver.Engine) float64 {
	t := e.Answer * e.Step.Seconds()
	if e.ReadRate > 0 {
		t += e.Prompt / e.ReadRate
	}
	return t
}

// offeredRequests is the number of requests of a busy gateway in one window of the retry budget. It
// is above the number up to which retrier.Budget allows retries beside the share.
const offeredRequests = 10_000

// allowsRetries reports whether a gateway with many requests may retry one of them.
func (l *RetryLimit) allowsRetries() bool {
	b := retrier.Budget{Share: l.Share, BurstFunc: func() float64 { return l.Burst }, Now: func() time.Time { return time.Unix(0, 0) }}
	for range offeredRequests {
		b.Offer()
	}
	return b.Spend()
}
