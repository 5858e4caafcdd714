package dispatcher

import (
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// After a loss of power the list still holds the entries of processes that are gone, until
// they expire some seconds later. A request that is sent to such an entry is refused by the
// process that runs at the address now, and uses up an attempt and the retry budget.

// maxClockDifference is the difference between the clocks of two machines up to which the
// start of a process is taken for true.
const maxClockDifference = time.Minute

// newestStarts returns the latest start of any process at each address of the list. It skips
// what would replace a process that runs: starts in the future, and entries with a service that
// isn't configured, which name no endpoint.
func newestStarts(t *resolver.Table, list map[string]*observer.Endpoint, now time.Time) map[netip.AddrPort]time.Time {
	latest := now.Add(maxClockDifference)
	m := make(map[netip.AddrPort]time.Time, len(list))
	for _, e := range list {
		if e.Started.After(m[e.Address]) && !e.Started.After(latest) && t.Service(e.Service) != nil {
			m[e.Address] = e.Started
		}
	}
	return m
}

// setNewestStart sets the latest start of any process at the address by the list.
func (n *node) setNewestStart(t time.Time) {
	if !t.Equal(n.newestStart) {
		n.newestStart, n.confirmed = t, false
	}
}

// isReplaced reports whether another process runs at the address of the endpoint: a newer
// one is on the list, or has been reported by the instance. The list may hold the entry of
// another writer, so the process of the endpoint runs if it has reported since.
func (n *node) isReplaced() bool {
	return !n.Started.IsZero() && (n.newestStart.After(n.Started) && !n.confirmed || n.reportedStart.After(n.Started))
}

// isListed reports whether the report is from the process of one of the endpoints.
func isListed(l []*node, r Report) bool {
	return !r.Started.IsZero() && slices.ContainsFunc(l, func(n *node) bool { return n.Started.Equal(r.Started) })
}

// isReporter reports whether the report may be from the process of the endpoint. Without
// the start of either it may be, unless it is from a process that is listed.
func (n *node) isReporter(r Report, listed bool) bool {
	return n.Started.Equal(r.Started) || !listed && (r.Started.IsZero() || n.Started.IsZero())
}

// noteConfirmed records that an agent reports the process of the endpoint. An earlier report
// of a later process there was odd; if it was right, it is repeated soon.
func (n *node) noteConfirmed(r Report) {
	n.confirmed = n.Started.Equal(r.Started)
	if n.confirmed {
		n.reportedStart = time.Time{}
	}
}

// noteStart records the start of the process that an agent reports. If the list lacks that
// process, Outdated is called.
func (d *Dispatcher) noteStart(n *node, r Report, listed bool) {
	if n.Started.IsZero() || !r.Started.After(n.Started) {
		return
	}
	n.reportedStart = r.Started
	if d.Outdated != nil && !listed {
		d.Outdated()
	}
}
