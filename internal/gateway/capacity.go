package gateway

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/admitter"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

// capacityInterval is the time between two updates of the admission capacity.
// It is short because the limits grow with every completion.
const capacityInterval = 50 * time.Millisecond

// admission returns the admitter of a model or service, creating it on first use.
func (g *Gateway) admission(serves string) *admitter.Admitter {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.admitters[serves]
	if a == nil {
		a = &admitter.Admitter{}
		g.admitters[serves] = a
		a.SetCapacity(g.capacity(serves, 0))
		a.SetShare(g.shares())
	}
	return a
}

// setCapacity sets the capacity of each admitter to the free capacity that the
// endpoints report plus the requests that this gateway has in flight. Gateways
// with more load thus take more of the capacity.
func (g *Gateway) setCapacity() {
	g.mu.Lock()
	defer g.mu.Unlock()
	share, by := g.shares()
	for s, a := range g.admitters {
		a.SetCapacity(g.capacity(s, a.Status().InFlight))
		a.SetShare(share, by)
	}
}

func (g *Gateway) capacity(serves string, own int) int {
	s := g.replica.Current()
	n := own
	for e := range g.table.Each() {
		if e.Serves == serves && e.State == router.Ready && s.Drains[e.Instance] == nil && !s.IsOut(e.FailureDomain) {
			n += max(0, e.Limit-e.InFlight)
		}
	}
	for _, d := range g.domains.all() {
		if g.SpillOver && !s.IsOut(d.name) {
			n += max(0, d.room(serves, ""))
		}
	}
	return n
}
