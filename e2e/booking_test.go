package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// executions returns how often the services ran a call, in all and at most for
// one key.
func (c *cluster) executions() (all, most float64) {
	GinkgoHelper()
	for _, e := range c.services {
		all += stats(e.where)["executions"].(float64)
	}
	for _, n := range c.executionsOfKeys() {
		most = max(most, n)
	}
	return all, most
}

// executionsOfKeys returns how often the services ran a call with each key.
func (c *cluster) executionsOfKeys() map[string]float64 {
	GinkgoHelper()
	keys := make(map[string]float64)
	for _, e := range c.services {
		if m, ok := stats(e.where)["idempotency-keys"].(map[string]any); ok {
			for k, n := range m {
				keys[k] += n.(float64)
			}
		}
	}
	return keys
}

// isRefused reports whether a caller was told that its call has not run, and when to repeat it.
func isRefused(a answer) bool {
	return strings.Contains(a.body, `"outcome":"not-run"`) && a.header.Get("Retry-After") != ""
}

var _ = Describe("A booking with an idempotency key", func() {
	two := layout{gateways: []place{tanta, mansoura}, services: []place{tanta, tanta, mansoura}}

	start := func() *cluster {
		c := newCluster(two)
		c.declareServices()
		c.ready("service/booking", "", 3, 20*time.Second)
		return c
	}

	book := func(c *cluster, gateway int, key string) answer {
		return c.call(gateway, http.MethodPost, "/booking/bookings", key, fmt.Sprintf(`{"key":"coop of %s"}`, key))
	}

	// bookTwice books with each key at both gateways at the same instant, with some keys at
	// once, and returns the answers of each.
	bookTwice := func(c *cluster, keys []string, atOnce int) [][2]answer {
		answers := make([][2]answer, len(keys))
		slots := make(chan struct{}, atOnce)
		var wg sync.WaitGroup
		for i, k := range keys {
			slots <- struct{}{}
			wg.Go(func() {
				var both sync.WaitGroup
				for g := range answers[i] {
					both.Go(func() { answers[i][g] = book(c, g, k) })
				}
				both.Wait()
				<-slots
			})
		}
		wg.Wait()
		return answers
	}

	names := func(kind string, n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprintf("%s-%d", kind, i))
		}
		return out
	}

	// A caller that repeats at another gateway at the same instant must not pay twice.
	It("runs once when it is sent to both gateways at the same instant", func() {
		c := start()
		// All at once are more than new endpoints carry, and how many of them are refused
		// depends on the speed of the machine. A refusal must be true, and its key usable.
		keys := names("burst", 40)
		answers := bookTwice(c, keys, len(keys))
		ran := c.executionsOfKeys()
		for i, k := range keys {
			a, b := answers[i][0], answers[i][1]
			if a.status >= 300 && b.status >= 300 {
				Expect(isRefused(a) || isRefused(b)).To(BeTrue(), "%s %s", a.body, b.body)
				Expect(ran[k]).To(BeZero(), "%s %s", a.body, b.body)
				Eventually(func() int {
					a = book(c, i%2, k)
					return a.status
				}).WithTimeout(20*time.Second).Should(BeNumerically("<", 300), func() string { return a.body })
			}
			if a.status < 300 && b.status < 300 {
				Expect(a.body).To(Equal(b.body))
			}
		}
		// Of what the endpoints carry, one answer to each key must be that of its execution.
		few := names("few", 40)
		for i, v := range bookTwice(c, few, 2) {
			Expect(v[0].status < 300 || v[1].status < 300).To(BeTrue(), "%s: %s %s", few[i], v[0].body, v[1].body)
			if v[0].status < 300 && v[1].status < 300 {
				Expect(v[0].body).To(Equal(v[1].body))
			}
		}
		all, most := c.executions()
		Expect(all).To(Equal(float64(len(keys) + len(few))))
		Expect(most).To(Equal(1.0))
	})

	// The connection to the service can break after the call took effect.
	It("runs at most once when the service's answer is lost", func() {
		c := start()
		for _, e := range c.services {
			setFaults(e.where, `{"fail-after":{"share":1}}`)
		}
		first := book(c, 0, "lost")
		Expect(first.body).To(ContainSubstring(`"outcome":"unknown"`))
		for _, e := range c.services {
			setFaults(e.where, `{}`)
		}
		for i := range 3 {
			Expect(book(c, i%2, "lost").body).To(ContainSubstring(`"outcome":"unknown"`))
		}
		all, _ := c.executions()
		Expect(all).To(BeNumerically("<=", 1))
	})

	// While the log is down the guard can't know whether the key was used.
	It("is refused as not run while the log is down", func() {
		c := start()
		setFaults(c.logURL, `{"outage":"refuse"}`)
		a := book(c, 0, "down")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
		Expect(a.body).To(ContainSubstring(`"outcome":"not-run"`))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		setFaults(c.logURL, `{}`)
		Eventually(func() int { return book(c, 1, "down").status }).WithTimeout(10 * time.Second).Should(BeNumerically("<", 300))
		all, _ := c.executions()
		Expect(all).To(Equal(1.0))
	})

	// An agent that dies with a call under way takes the only knowledge of its end with it.
	It("is never run again when its agent is killed during the call", func() {
		c := start()
		for _, e := range c.services {
			setFaults(e.where, `{"delay-before":"600ms"}`)
		}
		var a answer
		done := make(chan struct{})
		go func() {
			defer close(done)
			a = book(c, 0, "killed")
		}()
		time.Sleep(200 * time.Millisecond)
		for _, e := range c.services {
			if e.place == tanta {
				e.agent.kill()
			}
		}
		<-done
		Expect(a.status).To(BeNumerically(">=", 500), a.body)
		Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
		time.Sleep(time.Second)
		for range 3 {
			b := book(c, 1, "killed")
			Expect(strings.Contains(b.body, `"outcome":"unknown"`)).To(BeTrue(), b.body)
		}
		all, _ := c.executions()
		Expect(all).To(BeNumerically("<=", 1))
	})

	// A frozen service finishes its call after the deadline.
	It("runs once when the service is frozen beyond the deadline", func() {
		c := start()
		for _, e := range c.services {
			e.target.freeze()
		}
		a := book(c, 0, "frozen")
		Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
		for _, e := range c.services {
			e.target.thaw()
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 3 {
			book(c, i%2, "frozen")
		}
		all, _ := c.executions()
		Expect(all).To(BeNumerically("<=", 1))
	})
})
