package loader

import (
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// firstTurn and lastTurn are the parts of the time to the deadline of a version
	// between which the engines that serve an older one begin to load. What is left
	// after the last is for the requests that run and for the load itself.
	firstTurn = 0.38
	lastTurn  = 0.66
)

// place returns the place of an endpoint among those of its service and failure
// domain, from 0 to below 1. Endpoints of all domains are thus mixed evenly.
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

// turnStart returns when an engine may load a version that is due within the given
// time after it was learned of. Where that isn't known, the turns begin now.
func turnStart(place float64, learned, now time.Time, within time.Duration) time.Time {
	span := time.Duration(float64(within) * (lastTurn - firstTurn) * place)
	if learned.IsZero() {
		return now.Add(span)
	}
	return learned.Add(time.Duration(float64(within)*firstTurn) + span)
}
