package relayer

import (
	"net/netip"
	"slices"
	"time"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
)

// routeTimeout is the time for which a gateway waits for a stream to another failure
// domain before it tries the next peer there. A peer answers within milliseconds; the
// time leaves room for one retry.
const routeTimeout = 2 * time.Second

// dialler decides which peers to dial. The zero value is ready to use.
type dialler struct {
	peers  []Peer
	plan   Plan
	routes map[string]*routeSearch
}

// want returns the addresses to dial. isConnected reports whether a stream dialled to an
// address is open, hasInbound whether a stream dialled by a gateway of a failure domain
// is open.
func (d *dialler) want(now time.Time, self *relayv1.Hello, peers []Peer,
	isConnected func(netip.AddrPort) bool, hasInbound func(string) bool,
) map[netip.AddrPort]bool {
	// A plan ranks each pair of gateways of two failure domains, so it is recomputed
	// only if the list has changed.
	if d.routes == nil || !slices.Equal(peers, d.peers) {
		d.peers, d.plan = slices.Clone(peers), NewPlan(self, peers)
	}
	out := make(map[netip.AddrPort]bool)
	for _, a := range d.plan.Permanent {
		out[a] = true
	}
	routes := make(map[string]*routeSearch, len(d.plan.Routes))
	for name, r := range d.plan.Routes {
		t := d.routes[name]
		if t == nil {
			t = &routeSearch{since: now}
		}
		routes[name] = t
		for _, a := range t.next(now, r, isConnected, hasInbound(name)) {
			out[a] = true
		}
	}
	d.routes = routes
	return out
}

// routeSearch is the state of the search for a stream to another failure domain.
type routeSearch struct {
	// since is when a stream was last open or the next peer was last tried.
	since time.Time
	// tries counts the peers tried. If Dials is set, the assigned peer is not counted;
	// otherwise an inbound stream resets the count.
	tries int
}

// next returns the peers to dial. A gateway relies only on streams that the other end
// does not close on its own: with Dials set on those it dialled itself, otherwise on
// inbound ones or, without any, on one that it dialled. A gateway with Dials set returns
// to its assigned peer once that answers.
func (t *routeSearch) next(now time.Time, r Route, isConnected func(netip.AddrPort) bool, inbound bool) []netip.AddrPort {
	if !r.Dials && inbound {
		t.since, t.tries = now, 0
		return nil
	}
	if i := slices.IndexFunc(r.Peers, isConnected); i >= 0 {
		t.since = now
		if i == 0 || !r.Dials {
			return r.Peers[i : i+1]
		}
		return []netip.AddrPort{r.Peers[0], r.Peers[i]}
	}
	if now.Sub(t.since) >= routeTimeout {
		t.since = now
		t.tries++
	}
	switch {
	case !r.Dials && t.tries == 0:
		return nil
	case !r.Dials:
		i := (t.tries - 1) % len(r.Peers)
		return r.Peers[i : i+1]
	case t.tries == 0 || len(r.Peers) == 1:
		return r.Peers[:1]
	default:
		i := 1 + (t.tries-1)%(len(r.Peers)-1)
		return []netip.AddrPort{r.Peers[0], r.Peers[i]}
	}
}
