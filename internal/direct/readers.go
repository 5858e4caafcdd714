package direct

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Limits of tables that the gateways of a failure domain share.
const (
	// maxListAgeFactor times the interval is the age of a reader's list from which a
	// gateway reads the platform itself.
	maxListAgeFactor = 1.25
	// sharedDecisionWait is the long-poll time of a read of the operator table at the
	// platform by a reader, and maxDecisionAge the age of a reader's table from which a
	// gateway reads the platform itself. Together with the wait at a reader they stay
	// within the time in which a configuration has to be in force, 4 s in a fleet that is
	// large enough for readers.
	sharedDecisionWait = time.Second
	maxDecisionAge     = 1600 * time.Millisecond
	// maxGatewayAge is the same for the gateway table.
	maxGatewayAge = 10 * time.Second
	// readersPerDomain is the number of gateways of a failure domain that read the tables
	// from the platform for the others; one of them may be lost. In a failure domain with
	// fewer than minSharingGateways, each gateway reads them.
	readersPerDomain   = 2
	minSharingGateways = 8
)

// share makes a gateway's follower read through the readers of its failure domain. The
// first source of the follower is the platform.
func (f *follower) share(o *observer.Follower, r *observer.SharedReader) {
	peers := &observer.PeerReader{Table: o.Name, Client: f.client, Now: time.Now, Peers: f.readers}
	r.Platform, r.Readers = o.Sources[0].Read, peers.Read
	r.IsShared = func() bool { return len(f.readers()) > 0 }
	r.IsReader = func() bool { return slices.Contains(f.readers(), f.self) }
	o.Sources[0].Read, o.WaitFunc, o.PaceFunc = r.Read, r.MaxWait, r.Pace
}

// readers returns the addresses of the gateways of this failure domain that read the
// shared tables from the platform; none if each gateway does. The order of a gateway's
// own spreads the reads over them.
func (f *follower) readers() []netip.AddrPort {
	var near []rankedGateway
	for _, g := range f.state.Gateways(f.domain) {
		if g.Domain == f.domain {
			near = append(near, rankedGateway{address: g.Address, rank: xxhash.Sum64String(g.Name)})
		}
	}
	if len(near) < minSharingGateways {
		return nil
	}
	slices.SortFunc(near, rankedGateway.compare)
	near = near[:readersPerDomain]
	for i := range near {
		near[i].rank = rendezvousHash(f.self, near[i].address)
	}
	slices.SortFunc(near, rankedGateway.compare)
	var l []netip.AddrPort
	for _, r := range near {
		l = append(l, r.address)
	}
	return l
}
