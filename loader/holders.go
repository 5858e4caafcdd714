package loader

import (
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// minHolderShare is the share of the endpoints of a failure domain that must serve a
// version before the others fetch it from these only. With fewer, copying over their
// links would take longer than distributing it over the links of all.
const minHolderShare = 0.5

// servedAge is the age of an endpoint from which it counts for isServed. The engines of a
// whole fleet start within less.
const servedAge = 8 * time.Second

// isServed reports whether the endpoints of a service in a failure domain have served a
// version for a while, so that a new instance can fetch it from them. While the whole fleet
// starts, its engines may still have the pieces.
func isServed(list map[string]*observer.Endpoint, service, domain, model string, version int64, now time.Time) bool {
	all, holders := 0, 0
	for _, e := range list {
		if e.Service != service || e.Domain != domain || e.Draining {
			continue
		}
		all++
		if e.Versions[model] >= version && now.Sub(e.Started) > servedAge {
			holders++
		}
	}
	return holders > 0 && float64(holders) >= minHolderShare*float64(all)
}

// EmptyEndpoints returns the addresses of the endpoints of a service that lack a version which
// at least half of the endpoints of their failure domain serve, that is, of endpoints
// that were added or restarted. There are none while a new version is being distributed.
func EmptyEndpoints(list map[string]*observer.Endpoint, service, model string, version int64) map[netip.AddrPort]bool {
	all, holders := make(map[string]int), make(map[string]int)
	for _, e := range list {
		if e.Service != service || e.Draining {
			continue
		}
		all[e.Domain]++
		if e.Versions[model] >= version {
			holders[e.Domain]++
		}
	}
	out := make(map[netip.AddrPort]bool)
	for _, e := range list {
		if e.Service == service && e.Versions[model] < version &&
			holders[e.Domain] > 0 && float64(holders[e.Domain]) >= minHolderShare*float64(all[e.Domain]) {
			out[e.Address] = true
		}
	}
	return out
}
