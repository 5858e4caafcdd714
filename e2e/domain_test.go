package e2e_test

import (
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// quiet is the time after which what was taken out receives no new work.
const quiet = 3 * time.Second

var _ = Describe("A failure domain that is taken out", func() {
	two := layout{
		gateways: []place{tanta, mansoura}, engines: []place{tanta, tanta, mansoura, mansoura}, weights: 1 << 20,
		flags: map[string][]string{"instances": {"--lag", "60s"}},
	}

	out := func(c *cluster, gateway int, domain string) {
		GinkgoHelper()
		o, ctx := c.operator(gateway)
		r, err := o.DomainOut(ctx, &operatorv1.DomainOutRequest{Operation: operation(), Name: domain})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Outcome.Kind).To(Equal(operatorv1.OutcomeKind_OUTCOME_KIND_ACCEPTED))
	}
	in := func(c *cluster, gateway int, domain string) {
		GinkgoHelper()
		o, ctx := c.operator(gateway)
		r, err := o.DomainIn(ctx, &operatorv1.DomainInRequest{Operation: operation(), Name: domain})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Outcome.Kind).To(Equal(operatorv1.OutcomeKind_OUTCOME_KIND_ACCEPTED))
	}

	start := func(gateways ...place) (*cluster, *traffic) {
		l := two
		l.gateways = append(append([]place{}, two.gateways...), gateways...)
		c := newCluster(l)
		c.declare(c.publish("v1"))
		c.ready("model/assistant", "v1", 4, 30*time.Second)
		return c, c.load(4, func(i int) int { return i % 2 })
	}

	// Work that reaches a failure domain under repair is lost with it.
	It("receives no new work after 3 s, while service goes on, and then returns", func() {
		c, t := start()
		time.Sleep(time.Second)
		out(c, 0, "tanta")
		time.Sleep(quiet)
		before := c.served("tanta")
		elsewhere := c.served("mansoura")
		time.Sleep(2 * time.Second)
		Expect(c.served("tanta")).To(Equal(before))
		Expect(c.served("mansoura")).To(BeNumerically(">", elsewhere))
		in(c, 1, "tanta")
		Eventually(func() float64 { return c.served("tanta") }).WithTimeout(inForce).Should(BeNumerically(">", before))
		t.expectNoneLost()
	})

	// A decision must not die with the process that took it.
	It("stays out when the gateway of the decision is killed", func() {
		c, t := start(mansoura)
		time.Sleep(time.Second)
		out(c, 1, "tanta")
		t.stop()
		c.gateways[1].kill()
		t = c.load(2, func(int) int { return 0 })
		time.Sleep(quiet)
		before := c.served("tanta")
		time.Sleep(time.Second)
		Expect(c.served("tanta")).To(Equal(before))
		t.expectNoneLost()
	})

	// The last of several quick decisions must win everywhere.
	It("follows the last of several quick decisions", func() {
		c, t := start()
		for range 3 {
			out(c, 0, "mansoura")
			in(c, 1, "mansoura")
		}
		out(c, 0, "mansoura")
		time.Sleep(quiet)
		before := c.served("mansoura")
		time.Sleep(time.Second)
		Expect(c.served("mansoura")).To(Equal(before))
		t.expectNoneLost()
	})
})

var _ = Describe("A planned stop", func() {
	four := layout{gateways: []place{tanta, tanta}, engines: []place{tanta, tanta, tanta, tanta}, weights: 1 << 20}

	start := func() *cluster {
		c := newCluster(four)
		c.declare(c.publish("v1"))
		c.ready("model/assistant", "v1", 4, 30*time.Second)
		return c
	}

	// long opens streams of about 3 s at gateway 0. Once all have begun, it returns
	// a function that checks them.
	long := func(c *cluster) func() {
		GinkgoHelper()
		const streams, tokens = 8, 1500
		var open, whole errgroup.Group
		answers := make([]func(), streams)
		for i := range streams {
			open.Go(func() error {
				body := chat(fmt.Sprintf("long %d", i), tokens, true)
				r, err := c.openStream(0, body)
				if err != nil {
					return err
				}
				whole.Go(func() error {
					a := readAnswer(r)
					answers[i] = func() { expectWhole(a, body) }
					return nil
				})
				return nil
			})
		}
		Expect(open.Wait()).To(Succeed())
		return func() {
			GinkgoHelper()
			_ = whole.Wait()
			for _, check := range answers {
				check()
			}
		}
	}

	// Every restart of an instance would cut the answers that it carries. A cut
	// stream is resumed elsewhere, so the gateways' log shows whether it was cut.
	It("of an agent cuts off no request", func() {
		c := start()
		t := c.load(6, func(i int) int { return i % 2 })
		time.Sleep(time.Second)
		check := long(c)
		c.engines[0].agent.terminate(30 * time.Second)
		check()
		t.expectNoneLost()
		for _, g := range c.gateways {
			Expect(g.lines("retry decision", "outcome=failed")).To(BeEmpty())
			Expect(g.lines("retry decision", "outcome=unknown")).To(BeEmpty())
		}
	})

	It("of two agents at once cuts off no request", func() {
		c := start()
		t := c.load(6, func(i int) int { return i % 2 })
		time.Sleep(time.Second)
		c.engines[0].agent.signal(15)
		c.engines[1].agent.terminate(30 * time.Second)
		time.Sleep(time.Second)
		t.expectNoneLost()
	})

	// The balancer sends no new requests once the gateway is not ready.
	It("of a gateway cuts off no request", func() {
		c := start()
		stopping := make(chan struct{})
		t := c.load(6, func(i int) int {
			select {
			case <-stopping:
				return 1
			default:
				return i % 2
			}
		})
		time.Sleep(time.Second)
		check := long(c)
		c.gateways[0].signal(15)
		time.AfterFunc(100*time.Millisecond, func() { close(stopping) })
		Eventually(c.gateways[0].done).WithTimeout(30 * time.Second).Should(BeClosed())
		check()
		t.expectNoneLost()
	})
})

var _ = Describe("The limits of a client account", func() {
	// The balancer does not spread callers evenly: an account whose callers all
	// reach one of two gateways must get about its whole rate there, and no more
	// than that when they turn to both.
	It("follow the callers from gateway to gateway", func() {
		// With a burst below the number of callers, a bucket that is full before the next
		// request arrives would lose tokens, and the rate would depend on the speed of
		// the machine.
		const rate, callers = 40, 4
		c := newCluster(layout{
			gateways: []place{tanta, mansoura}, engines: []place{tanta, mansoura}, weights: 1 << 20,
			flags: map[string][]string{"engine": {"--first-token", "1ms", "--token-interval", "0s"}, "agent-engine": {"--cold-limit", "64"}},
			extra: recorder.Declaration{ClientAccounts: []recorder.ClientAccount{{
				Name: "small", KeyDigests: []recorder.Digest{recorder.DigestOf([]byte("test-key-small"))},
				RequestsPerSecond: rate, Burst: callers, Concurrency: 1000, Weight: 1,
			}}},
		})
		c.declare(c.publish("v1"))
		c.ready("model/assistant", "v1", 2, 30*time.Second)
		// Several callers offer more than the rate, however long a single call takes.
		served := func(gateways ...int) (perSecond float64, offered int64) {
			const span = 4 * time.Second
			var all, admitted atomic.Int64
			end := time.Now().Add(span)
			var g errgroup.Group
			for range callers {
				g.Go(func() error {
					defer GinkgoRecover()
					for ; time.Now().Before(end); time.Sleep(callers * 5 * time.Millisecond) {
						for _, i := range gateways {
							all.Add(1)
							if c.callAs("test-key-small", i, "POST", "/v1/chat/completions", "", chat("hello", 1, false)).status == 200 {
								admitted.Add(1)
							}
						}
					}
					return nil
				})
			}
			Expect(g.Wait()).To(Succeed())
			return float64(admitted.Load()) / span.Seconds(), all.Load()
		}
		expectRate := func(gateways ...int) {
			GinkgoHelper()
			served(gateways...)
			got, offered := served(gateways...)
			Expect(got).To(BeNumerically("~", rate, rate/4), "of %d offered requests", offered)
		}
		expectRate(0)
		expectRate(0, 1)
	})
})
