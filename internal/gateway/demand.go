package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// demands holds the demand that other gateways reported. The zero value is ready
// to use.
type demands struct {
	mu sync.Mutex
	// byStream holds the last demand of each stream.
	byStream map[uint64]peerDemand
}

// peerDemand is the reported demand of a gateway, or of a failure domain.
type peerDemand struct {
	instance, domain string
	demand           divider.Demand
}

// update stores the demand reported on a stream; nil means that the stream ended. A value
// that is no rate is left out: with one, the share of an account would be none as well.
func (d *demands) update(stream uint64, peer *relayv1.Hello, m *relayv1.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m == nil {
		delete(d.byStream, stream)
		return
	}
	if d.byStream == nil {
		d.byStream = make(map[uint64]peerDemand)
	}
	h := peerDemand{instance: peer.Instance, domain: peer.FailureDomain, demand: make(divider.Demand)}
	for a, r := range m.RequestsPerSecond {
		if r >= 0 && r <= math.MaxFloat32 {
			h.demand[recorder.Name(a)] = float64(r)
		}
	}
	d.byStream[stream] = h
}

// split returns the demand of each other gateway of the failure domain as local,
// and that of each other failure domain as remote. Two streams to one peer count
// once.
func (d *demands) split(domain string) (local, remote map[string]divider.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	local, remote = make(map[string]divider.Demand), make(map[string]divider.Demand)
	for _, h := range d.byStream {
		if h.domain == domain {
			local[h.instance] = h.demand
		} else {
			remote[h.domain] = h.demand
		}
	}
	return local, remote
}

// ownDemand returns the demand to report to a peer: that of this gateway if local
// is set, else that of its failure domain.
func (g *Gateway) ownDemand(local bool) divider.Demand {
	own := g.meter.Demand()
	if local {
		return own
	}
	near, _ := g.demands.split(string(g.FailureDomain))
	for _, d := range near {
		for a, r := range d {
			own[a] += r
		}
	}
	return own
}

// shares returns the fraction of the account limits that this gateway enforces,
// in general and by account. It is an equal fraction for all accounts while any
// listed gateway of its failure domain, or any other failure domain, does not report.
func (g *Gateway) shares() (float64, map[recorder.Name]float64) {
	listed, gateways, own, domains := g.listedGateways()
	if !listed {
		return g.AccountShare, nil
	}
	near, far := g.demands.split(string(g.FailureDomain))
	equal := divider.EqualShare(gateways)
	if len(near)+1 < own || len(far)+1 < domains {
		return equal, nil
	}
	var others []divider.Demand
	for _, m := range []map[string]divider.Demand{near, far} {
		for _, d := range m {
			others = append(others, d)
		}
	}
	return equal, divider.Shares(g.meter.Demand(), others, gateways)
}

// listedGateways reports whether the platform's list was read, and returns the
// number of live gateways, of those of this failure domain, and of failure domains
// with live gateways. This gateway always counts.
func (g *Gateway) listedGateways() (listed bool, gateways, own, domains int) {
	l := g.list.list()
	for _, n := range l.live {
		gateways += n
	}
	own, domains = l.live[g.FailureDomain], len(l.live)
	self, ok := slices.BinarySearchFunc(l.gateways, g.Instance, func(i *connector.Instance, n recorder.Name) int {
		return cmp.Compare(i.Name, n)
	})
	if !ok || l.gateways[self].State != connector.InstanceLive {
		gateways++
		if own++; own == 1 {
			domains++
		}
	}
	return len(l.all) > 0, gateways, own, domains
}
