package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
)

// serveMembers returns a function that sets the list of members that the node serves.
func serveMembers(n *node) func(*relayv1.Members) {
	var list atomic.Pointer[relayv1.Members]
	list.Store(&relayv1.Members{})
	n.server.Members = func(string) *relayv1.Members { return list.Load() }
	return func(m *relayv1.Members) {
		list.Store(m)
		n.server.MembersChanged.Fire()
	}
}

// randomMembers returns a random list sorted by instance, as gateways send it.
func randomMembers(r *rand.Rand) *relayv1.Members {
	m := &relayv1.Members{}
	for i := range 20 {
		if r.IntN(10) < 8 {
			m.Members = append(m.Members, &relayv1.Member{Instance: fmt.Sprintf("i%02d", i), Leaving: r.IntN(6) == 0})
		}
	}
	return m
}

var _ = Describe("the list of members", func() {
	// Guards against an agent whose list diverges from the gateway's: it would send requests
	// to instances that are gone and none to new ones. This happens if a change is applied
	// to the list of another gateway.
	It("equals the gateway's list after any change and after attaching to another gateway", func() {
		r := rand.New(rand.NewPCG(1, 2))
		a, b := newNode("g1", "tanta"), newNode("g2", "tanta")
		setA, setB := serveMembers(a), serveMembers(b)
		var got atomic.Pointer[relayv1.Members]
		attachWith(new(follower.Replica), got.Store, a, b)
		for step := range 40 {
			if step == 20 {
				first := a
				if a.server.Attached() == 0 {
					first = b
				}
				first.grpcServer.Stop()
			}
			m := randomMembers(r)
			setA(m)
			setB(m)
			Eventually(func() bool { return proto.Equal(got.Load(), m) }).WithTimeout(propagationTimeout).Should(BeTrue(), "step %d", step)
		}
	})

	// Full lists of a large model exceed the bandwidth of the control plane. An agent that
	// does not support changes would keep the first list forever if it were sent changes.
	DescribeTable("is sent", func(acceptsChange bool, want string) {
		n := newNode("g1", "tanta")
		set := serveMembers(n)
		old := &relayv1.Members{}
		for i := range 100 {
			old.Members = append(old.Members, &relayv1.Member{Instance: fmt.Sprintf("i%03d", i)})
		}
		set(old)
		c, err := grpc.NewClient("passthrough:///"+n.address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		ctx, stop := context.WithTimeout(context.Background(), propagationTimeout)
		defer stop()
		s, err := relayv1.NewRelayServiceClient(c).Attach(ctx)
		Expect(err).NotTo(HaveOccurred())
		hello := &relayv1.Hello{Instance: "e1", FailureDomain: "tanta", Serves: "model/m", BootId: "e1", MembersChange: acceptsChange}
		Expect(s.Send(&relayv1.AttachRequest{Message: &relayv1.AttachRequest_Hello{Hello: hello}})).To(Succeed())
		next := func() string {
			for {
				m, err := s.Recv()
				Expect(err).NotTo(HaveOccurred())
				if l := m.GetMembers(); l != nil {
					return fmt.Sprintf("list of %d", len(l.Members))
				}
				if d := m.GetMembersChange(); d != nil {
					return fmt.Sprintf("%d changed, %d removed", len(d.Changed), len(d.Removed))
				}
			}
		}
		Expect(next()).To(Equal("list of 100"))
		set(&relayv1.Members{Members: append([]*relayv1.Member{{Instance: "i000", Leaving: true}}, old.Members[2:]...)})
		Expect(next()).To(Equal(want))
	},
		Entry("as a change to an agent that accepts changes", true, "1 changed, 1 removed"),
		Entry("in full to an agent that does not accept changes", false, "list of 99"),
	)
})
