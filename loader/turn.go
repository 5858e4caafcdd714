package loader

import (
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// Engines that serve an older version begin to load between firstLoadShare and
	// lastLoadShare of the time to the deadline of the version. The rest is for running
	// requests and for the load itself.
	firstLoadShare = 0.38
	lastLoadShare  = 0.66
)

// turnMargin is the time by which the last turn begins before the latest load.
const turnMargin = 200 * time.Millisecond

// place returns the relative position, in [0, 1), of an endpoint among those of its
// service and failure domain, sorted by address. It is 0 for an unknown endpoint. As it
// is relative to the failure domain, the loads of each domain are spread over the whole
// time.
func place(list map[string]*observer.Endpoint, service string, a netip.AddrPort) float64 {
	domain := ""
	for _, e := range list {
		if e.Service == service && e.Address == a {
			domain = e.Domain
		}
	}
	var same []netip.AddrPort
	for _, e := range list {
		if e.Service == service && e.Domain == domain {
			same = append(same, e.Address)
		}
	}
	slices.SortFunc(same, netip.AddrPort.Compare)
	i, found := slices.BinarySearchFunc(same, a, netip.AddrPort.Compare)
	if !found {
		return 0
	}
	return float64(i) / float64(len(same))
}

// loadStart returns when the engine at the place may load a version that must be served
// everywhere within the given time after it was learned of. If learned is zero, the first
// engine may load now, and the last one by latest, unless that is zero too: an engine that
// loads later would have nothing to serve when the older version may not be used any more.
func loadStart(place float64, learned, now, latest time.Time, within time.Duration) time.Time {
	span := time.Duration(float64(within) * (lastLoadShare - firstLoadShare))
	if learned.IsZero() {
		if !latest.IsZero() {
			span = max(0, min(span, latest.Sub(now)-turnMargin))
		}
		return now.Add(time.Duration(float64(span) * place))
	}
	return learned.Add(time.Duration(float64(within)*firstLoadShare + float64(span)*place))
}
