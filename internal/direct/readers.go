package direct

import (
	"cmp"
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
	// minReaders is the least number of gateways of a failure domain that read the tables from
	// the platform for the others; one of them may be lost. There is one for gatewaysPerReader,
	// whose copies of a large revision share its link. In a failure domain with fewer than
	// minSharingGateways, each gateway reads the tables.
	minReaders         = 2
	gatewaysPerReader  = 32
	minSharingGateways = 8
)

// share makes a gateway's follower read through the readers of its failure domain. The
// first source of the follower is the platform.
func (f *follower) share(o *observer.Follower, r *observer.SharedReader) {
	peers := &observer.PeerReader{Table: o.Name, Client: f.client, Now: time.Now, Peers: f.readers, Epoch: o.Table.Epoch}
	r.Platform, r.Readers = o.Sources[0].Read, peers.Read
	if o.Name == operatorTable {
		// Its records may be large, while the entries of the other tables are small.
		others := &observer.PeerReader{Table: o.Name, Client: f.client, Now: time.Now, Peers: f.otherReaders, Epoch: o.Table.Epoch, MaxAge: r.MaxAge}
		r.Others = others.Read
	}
	r.IsShared = func() bool { return len(f.readers()) > 0 }
	r.IsReader = func() bool { return slices.Contains(f.readers(), f.self) }
	o.Sources[0].ReadWhole = r.ReadWhole
	o.Sources[0].Read, o.WaitFunc, o.PaceFunc = f.returns.interruptible(r.Read), r.MaxWait, r.Pace
}

// readers returns the addresses of the gateways of this failure domain that read the
// shared tables from the platform; none if each gateway does.
func (f *follower) readers() []netip.AddrPort { return f.readersOf(f.domain) }

// otherReaders returns the readers of the other failure domains.
func (f *follower) otherReaders() []netip.AddrPort {
	var l []netip.AddrPort
	for d := range f.regions {
		if d != f.domain {
			l = append(l, f.readersOf(d)...)
		}
	}
	slices.SortFunc(l, func(a, b netip.AddrPort) int {
		return cmp.Compare(rendezvousHash(f.self, a), rendezvousHash(f.self, b))
	})
	return l
}

// readersOf returns the readers of a failure domain. The order of a gateway's own spreads the
// reads over them.
func (f *follower) readersOf(domain string) []netip.AddrPort {
	var near []rankedGateway
	for _, g := range f.state.Gateways(domain) {
		if g.Domain == domain {
			near = append(near, rankedGateway{address: g.Address, rank: xxhash.Sum64String(g.Name)})
		}
	}
	if len(near) < minSharingGateways {
		return nil
	}
	slices.SortFunc(near, rankedGateway.compare)
	near = near[:max(minReaders, (len(near)+gatewaysPerReader-1)/gatewaysPerReader)]
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
