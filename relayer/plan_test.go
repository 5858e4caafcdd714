package relayer_test

import (
	"fmt"
	"net/netip"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/relayer"
)

var _ = Describe("A plan", func() {
	const size = 23
	var peers []relayer.Peer
	for i := range 28 * size {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
		peers = append(peers, relayer.Peer{Instance: fmt.Sprintf("g-%03d", i), FailureDomain: fmt.Sprintf("d%02d", i/size), Address: a})
	}
	planOf := func(p relayer.Peer, peers []relayer.Peer) relayer.Plan {
		return relayer.NewPlan(&relayv1.Hello{Instance: p.Instance, FailureDomain: p.FailureDomain}, peers)
	}

	// Without a bound on the streams, 640 gateways would keep 200,000 of them. A gateway that
	// no gateway of another failure domain dials would need a second stream to that domain.
	It("has one stream for each pair of the same failure domain and one for each gateway and other failure domain", func() {
		local := 0
		dialled := make(map[netip.AddrPort]int)
		for _, p := range peers {
			plan := planOf(p, peers)
			local += len(plan.Permanent)
			for _, r := range plan.Routes {
				if r.Dials {
					dialled[r.Peers[0]]++
				}
			}
		}
		Expect(local).To(Equal(28 * size * (size - 1) / 2))
		for i, p := range peers {
			Expect(dialled[p.Address]).To(Equal(i/size), "one from each failure domain below that of %s", p.Instance)
		}
	})

	// Replacing a gateway must not break the streams of all the others.
	It("keeps most assignments when a gateway is removed", func() {
		two := peers[:2*size]
		changed, cases := 0, 0
		for i := range two {
			less := slices.Delete(slices.Clone(two), i, i+1)
			for _, p := range less[:size-1] {
				cases++
				if planOf(p, less).Routes["d01"].Peers[0] != planOf(p, two).Routes["d01"].Peers[0] {
					changed++
				}
			}
		}
		Expect(changed).To(BeNumerically("<", cases/5), "%d of %d", changed, cases)
	})
})
