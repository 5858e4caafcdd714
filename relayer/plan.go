package relayer

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
)

// Plan lists the peers that a gateway may dial.
type Plan struct {
	// Permanent holds the peers dialled at all times: the gateways of the same failure
	// domain whose names sort after this gateway's, so that each pair has one stream,
	// and all peers known only by address.
	Permanent []netip.AddrPort
	// Routes holds the route to each other failure domain, by its name.
	Routes map[string]Route
}

// Route lists the gateways through which another failure domain is reached.
type Route struct {
	// Dials is set if this failure domain's name sorts first. Its gateways dial; a
	// gateway of the other failure domain dials only while it has no inbound stream
	// from this one.
	Dials bool
	// Peers holds the gateways in the order in which they are tried. If Dials is set,
	// the first one is the peer assigned to this gateway.
	Peers []netip.AddrPort
}

// NewPlan returns the plan of a gateway. Gateways that know the same peers compute
// consistent plans; with different lists of peers they need more streams than necessary.
func NewPlan(self *relayv1.Hello, peers []Peer) Plan {
	p := Plan{Routes: make(map[string]Route)}
	own := []Peer{{Instance: self.Instance, FailureDomain: self.FailureDomain}}
	others := make(map[string][]Peer)
	for _, v := range peers {
		switch {
		case v.Instance == self.Instance:
		case v.Instance == "":
			p.Permanent = append(p.Permanent, v.Address)
		case v.FailureDomain == self.FailureDomain:
			own = append(own, v)
			if v.Instance > self.Instance {
				p.Permanent = append(p.Permanent, v.Address)
			}
		default:
			others[v.FailureDomain] = append(others[v.FailureDomain], v)
		}
	}
	slices.SortFunc(own, func(a, b Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	me, names := hash(Peer{Instance: self.Instance}), hashes(own)
	for d, l := range others {
		slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(rank(me, hash(b)), rank(me, hash(a))) })
		r := Route{Dials: self.FailureDomain < d}
		if r.Dials {
			i := assignedPeer(me, names, hashes(l))
			first := l[i]
			l = slices.Insert(slices.Delete(l, i, i+1), 0, first)
		}
		for _, v := range l {
			r.Peers = append(r.Peers, v.Address)
		}
		p.Routes[d] = r
	}
	return p
}

func hash(p Peer) uint64 { return xxhash.Sum64String(p.Instance) }

func hashes(l []Peer) []uint64 {
	out := make([]uint64, len(l))
	for i, p := range l {
		out[i] = hash(p)
	}
	return out
}

// rank returns a peer's position in an order that is specific to the gateway, from the
// hashes of their names. A plan ranks some 15,000 pairs; hashing both names for each
// pair takes more than twice as long.
func rank(gateway, peer uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], gateway)
	binary.LittleEndian.PutUint64(b[8:], peer)
	return xxhash.Sum64(b[:])
}

// assignedPeer returns the index of the peer that a gateway dials first. The gateways
// of the failure domain choose in the order of their names: each takes, of the peers
// with the fewest gateways assigned so far, the one that ranks highest for it. Every
// peer is thus assigned if there are no more peers than gateways, and adding or
// removing a gateway changes few of the other assignments.
func assignedPeer(gateway uint64, own, peers []uint64) int {
	taken := make([]int, len(peers))
	for _, g := range own {
		best := 0
		for i, p := range peers {
			if c := cmp.Compare(taken[i], taken[best]); c < 0 || c == 0 && rank(g, p) > rank(g, peers[best]) {
				best = i
			}
		}
		if g == gateway {
			return best
		}
		taken[best]++
	}
	return 0
}
