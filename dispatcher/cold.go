package dispatcher

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// minGateways is the minimum number of gateways among which the rate limit of a
	// cold endpoint is divided, so that added or restarted gateways don't exceed it.
	minGateways = 8
	// gatewayFactor is the assumed upper bound of the ratio of running gateways to
	// those that this gateway knows.
	gatewayFactor = 2
)

// ColdLimit limits the requests per second that all gateways together send to a cold
// endpoint to Service.ColdRate x Factor + Slack.
type ColdLimit struct {
	Factor float64
	Slack  float64
}

// coldShare is the part of the rate limit of a cold endpoint that one gateway may use.
// The limit is divided among more gateways than are expected to run, so that gateways
// needn't coordinate. If that leaves less than one request to each, only a few senders
// send to an endpoint: those that prefer an engine, and those that rank first for an
// endpoint of a plain service.
type coldShare struct {
	// requests is the number of requests per second.
	requests int
	// senders is the number of gateways that may send to one endpoint; 0 for all.
	senders int
}

// share returns the share of one of the given number of gateways in the limit of an
// endpoint with the given cold rate; a rate of 0 means no limit.
func (c ColdLimit) share(rate float64, gateways int) coldShare {
	if rate <= 0 {
		return coldShare{requests: math.MaxInt}
	}
	limit := rate*c.Factor + c.Slack
	if n := int(limit / float64(max(minGateways, gatewayFactor*gateways))); n > 0 {
		return coldShare{requests: n}
	}
	half := max(1, int(limit/gatewayFactor))
	senders := min(half, maxSharers)
	return coldShare{requests: half / senders, senders: senders}
}

// updateCold sets the number of requests per second that this gateway may send to each
// cold endpoint. Until it knows the gateways, which it reads when it starts, it sends none:
// after a loss of power all gateways start at once, and all endpoints are cold.
func (d *Dispatcher) updateCold(p *pool) {
	now := d.now()
	for _, n := range p.nodes {
		if now.Before(n.coldUntil) {
			n.coldShare = d.coldRequests(p, n)
		}
	}
}

func (d *Dispatcher) coldRequests(p *pool, n *node) int {
	if len(d.gatewayNames) == 0 && p.cold.requests != math.MaxInt {
		return 0
	}
	if p.model != "" && p.cold.senders == maxSharers {
		if n.preferred {
			return p.cold.requests
		}
		return 0
	}
	return p.cold.at(n.ID, d.Name, d.gatewayNames)
}

// at returns the number of requests per second that the gateway with the name self may
// send to the endpoint.
func (c coldShare) at(endpoint, self string, gateways []string) int {
	if c.senders > 0 && !ranksFirst(endpoint, self, gateways, c.senders) {
		return 0
	}
	return c.requests
}

// ranksFirst reports whether fewer than n of the other gateways precede self in the
// rendezvous order for the endpoint.
func ranksFirst(endpoint, self string, gateways []string, n int) bool {
	own := rank(endpoint, self)
	ahead := 0
	for _, g := range gateways {
		if g != self && cmp.Compare(rank(endpoint, g), own) > 0 {
			ahead++
		}
	}
	return ahead < n
}

func rank(endpoint, gateway string) uint64 { return xxhash.Sum64String(endpoint + " " + gateway) }
