package loader

import (
	"net/netip"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// minHolders is the least share of the engines of a failure domain that have to serve
// a version before the others fetch it from them only. With fewer, their links would
// take longer than a spread over all.
const minHolders = 0.5

// Empty returns the addresses of the endpoints of a service that lack a version which
// enough endpoints of their failure domain serve: those that were added or restarted.
// While a new version spreads there are none.
func Empty(list map[string]*observer.Endpoint, service, model string, version int64) map[netip.AddrPort]bool {
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
			holders[e.Domain] > 0 && float64(holders[e.Domain]) >= minHolders*float64(all[e.Domain]) {
			out[e.Address] = true
		}
	}
	return out
}
