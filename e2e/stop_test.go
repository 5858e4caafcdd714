package e2e_test

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

var _ = Describe("Planned stops together", func() {
	start := func() *cluster {
		return settled(layout{
			gateways: []place{tanta, tanta}, engines: []place{tanta, tanta, tanta, tanta}, weights: 2 << 20,
			flags: map[string][]string{"engine": {"--load-time", "300ms"}},
		})
	}
	// leaving sends callers to the second gateway once the first is not ready, as
	// the balancer does.
	leaving := func(stopped *atomic.Bool) func(int) int {
		return func(i int) int {
			if stopped.Load() {
				return 1
			}
			return i % 2
		}
	}

	// Instances are replaced at any time, so also while versions change.
	It("lose no request during a rollout", func() {
		c := start()
		t := c.load(6, alternate)
		c.roll("second", "v2")
		time.Sleep(500 * time.Millisecond)
		c.engines[0].agent.terminate(30 * time.Second)
		c.engines[0].agent.restart()
		c.ready(assistant, "v2", 4, 60*time.Second)
		Eventually(c.phase("second")).WithTimeout(15 * time.Second).Should(Equal("done"))
		t.expectNoneLost()
	})

	// The loss of the gateway takes the agents' streams with it.
	It("lose no request when a gateway and an agent stop at once", func() {
		c := start()
		var stopped atomic.Bool
		t := c.load(6, leaving(&stopped))
		time.Sleep(500 * time.Millisecond)
		c.gateways[0].signal(15)
		c.engines[0].agent.signal(15)
		time.AfterFunc(100*time.Millisecond, func() { stopped.Store(true) })
		Eventually(c.gateways[0].done).WithTimeout(30 * time.Second).Should(BeClosed())
		Eventually(c.engines[0].agent.done).WithTimeout(30 * time.Second).Should(BeClosed())
		time.Sleep(time.Second)
		t.expectNoneLost()
	})
})

// An operator or a platform that repeats the order to stop must not end the process at once:
// requests in progress would be cut off.
var _ = DescribeTable("A second order to stop cuts off no request", func(pick func(*cluster) *process) {
	c := settled(layout{gateways: []place{tanta, tanta}, engines: []place{tanta, tanta}, weights: 1 << 20})
	const streams, tokens = 4, 1000
	var whole errgroup.Group
	for i := range streams {
		body := chat(fmt.Sprintf("stream %d", i), tokens, true)
		r, err := c.openStream(0, body)
		Expect(err).NotTo(HaveOccurred())
		whole.Go(func() error {
			defer GinkgoRecover()
			expectWhole(readAnswer(r), body)
			return nil
		})
	}
	p := pick(c)
	for range 3 {
		p.signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
	}
	Expect(whole.Wait()).To(Succeed())
	Eventually(p.done).WithTimeout(30 * time.Second).Should(BeClosed())
	for _, g := range c.gateways {
		Expect(g.lines("retry decision", "outcome=failed")).To(BeEmpty())
		Expect(g.lines("retry decision", "outcome=unknown")).To(BeEmpty())
	}
},
	Entry("of a gateway", func(c *cluster) *process { return c.gateways[0].process }),
	Entry("of an agent", func(c *cluster) *process { return c.engines[0].agent }),
)
