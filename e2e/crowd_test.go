package e2e_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/crowd"
)

const (
	// crowdDescriptors and crowdMegabytes are the limits of the processes under test. 136 MB is
	// the memory of the smallest gateways.
	crowdDescriptors = 300
	crowdMegabytes   = 136
	// crowdClients is more than there are descriptors.
	crowdClients = 600
	// crowdTime is how long a crowd calls.
	crowdTime = 4 * time.Second
	// crowdPatience bounds the wait for one ordinary response after a crowd.
	crowdPatience = 30 * time.Second
)

// meet lets clients of all kinds call one port of the process, and checks its bounds.
func (p *process) meet(t crowd.Target, kinds ...string) {
	GinkgoHelper()
	end := crowd.Watch(p.cmd.Process.Pid)
	stop := crowd.Start(t, crowdClients, kinds...)
	time.Sleep(crowdTime)
	u, err := end()
	stop()
	Consistently(p.done).WithTimeout(100*time.Millisecond).ShouldNot(BeClosed(), "the process has ended")
	Expect(err).NotTo(HaveOccurred())
	AddReportEntry("usage", fmt.Sprintf("%d MB, %d descriptors", u.Bytes>>20, u.Descriptors))
	Expect(u.Bytes>>20).To(BeNumerically("<=", crowdMegabytes), "megabytes of the process")
	Expect(u.Descriptors).To(BeNumerically("<=", crowdDescriptors), "open descriptors of the process")
}

// Guards against clients without limits that end a process with agents on its path, or take its
// memory or descriptors, at each of its ports.
var _ = Describe("Clients that keep no limit", Serial, func() {
	DescribeTable("leave the process within its memory and descriptors",
		func(target func(c *cluster) (*process, crowd.Target), kinds ...string) {
			GinkgoT().Setenv("EELGRASS_DESCRIPTORS", fmt.Sprint(crowdDescriptors))
			GinkgoT().Setenv("EELGRASS_MEMORY_MB", fmt.Sprint(crowdMegabytes))
			c := newCluster(layout{gateways: []place{tanta}, services: []place{tanta}})
			c.declareServices()
			c.ready("service/booking", "", 1, platformSettle)
			p, t := target(c)
			t.Host, t.Key = "h", callerKey
			if len(kinds) == 0 {
				kinds = crowd.Kinds()
			}
			p.meet(t, kinds...)
			Eventually(func() int {
				return c.call(0, http.MethodGet, "/booking/bookings", "", "").status
			}).WithTimeout(crowdPatience).Should(BeNumerically("<", http.StatusInternalServerError))
			Eventually(func() error { return get(url(c.services[0].local) + "/healthz") }).WithTimeout(crowdPatience).Should(Succeed())
			o, ctx := c.operator(0)
			Eventually(func() error {
				_, err := o.Get(ctx, &operatorv1.GetRequest{})
				return err
			}).WithTimeout(crowdPatience).Should(Succeed())
		},
		Entry("callers", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].callers, Path: "/booking/bookings"}
		}),
		Entry("callers, bodies that don't arrive", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].callers, Path: "/booking/bookings"}
		}, "missing-body", "unfinished-body"),
		Entry("callers, slow heads", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].callers, Path: "/booking/bookings"}
		}, "slow-lines"),
		Entry("peers", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].remote, Path: "/booking/bookings"}
		}),
		Entry("operators", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].operators, Path: "/eelgrassdrift.operator.v1.OperatorService/Get"}
		}),
		Entry("operators, HTTP/2", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].operators, Path: "/eelgrassdrift.operator.v1.OperatorService/Get"}
		}, "http2-idle", "http2-headers", "http2-streams"),
		Entry("operators, unfinished messages", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].operators, Path: "/eelgrassdrift.operator.v1.OperatorService/Get"}
		}, "http2-message"),
		Entry("relay, unfinished messages", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].relay, Path: "/eelgrassdrift.relay.v1.RelayService/Attach"}
		}, "http2-message"),
		Entry("relay", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].relay, Path: "/eelgrassdrift.relay.v1.RelayService/Attach"}
		}),
		Entry("relay, HTTP/2", func(c *cluster) (*process, crowd.Target) {
			return c.gateways[0].process, crowd.Target{Address: c.gateways[0].relay, Path: "/eelgrassdrift.relay.v1.RelayService/Attach"}
		}, "http2-idle", "http2-headers", "http2-streams"),
		Entry("gateways at an agent", func(c *cluster) (*process, crowd.Target) {
			return c.services[0].agent, crowd.Target{Address: c.services[0].address, Path: "/booking/bookings"}
		}),
		Entry("local port of an agent", func(c *cluster) (*process, crowd.Target) {
			return c.services[0].agent, crowd.Target{Address: c.services[0].local, Path: "/metrics"}
		}),
	)
})
