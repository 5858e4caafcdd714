package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// coldRequests returns the largest number of requests per second that gateways send to
// one cold endpoint, if the gateway i knows the gateways of known(i).
func coldRequests(c ColdLimit, rate float64, gateways int, known func(i int) []string) int {
	most := 0
	for e := range 40 {
		sum := 0
		for i := range gateways {
			l := known(i)
			sum += c.share(rate, len(l)).at(fmt.Sprintf("e%d", e), gatewayName(i), l)
		}
		most = max(most, sum)
	}
	return most
}

func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

// All gateways together must keep the limit of a cold endpoint at every size. With one
// request a second each, 60 gateways sent twice as many as an endpoint bears.
func TestColdLimitHoldsInTotal(t *testing.T) {
	c := ColdLimit{Factor: 1.5, Slack: 5}
	const rate, limit = 15, 27.5
	for _, n := range []int{1, 4, 8, 13, 14, 22, 60, 83, 300, 640} {
		var all []string
		for i := range n {
			all = append(all, gatewayName(i))
		}
		if sum := coldRequests(c, rate, n, func(int) []string { return all }); float64(sum) > limit || sum == 0 {
			t.Errorf("%d gateways: %d requests a second to one endpoint, want 1 to %.1f", n, sum, limit)
		}
	}
}

// The limit must hold while the gateways' lists differ, as they do when gateways are
// added: each knows a different three quarters of them here.
func TestColdLimitWithListsThatDiffer(t *testing.T) {
	c := ColdLimit{Factor: 1.5, Slack: 5}
	const rate, limit = 15, 27.5
	for _, n := range []int{30, 60, 300} {
		r := rand.New(rand.NewPCG(1, uint64(n)))
		known := func(self int) []string {
			var l []string
			for i := range n {
				if i == self || r.Float64() < 0.75 {
					l = append(l, gatewayName(i))
				}
			}
			return l
		}
		if sum := coldRequests(c, rate, n, known); float64(sum) > limit {
			t.Errorf("%d gateways: %d requests a second to one endpoint, want at most %.1f", n, sum, limit)
		}
	}
}

// A gateway that couldn't write its record must prefer as many engines as others do: it
// sent requests only to engines with free slots to spare.
func TestUnlistedGatewayIsSharer(t *testing.T) {
	var all []*observer.Gateway
	for i := range 20 {
		all = append(all, &observer.Gateway{Name: gatewayName(i), Domain: fmt.Sprint(i % 5)})
	}
	d := &Dispatcher{Name: "unlisted", Domain: "0", gatewayList: all}
	p := &pool{model: "m", nodes: map[string]*node{}}
	for e := range 100 {
		p.nodes[fmt.Sprint(e)] = &node{Endpoint: observer.Endpoint{ID: fmt.Sprint(e), Domain: fmt.Sprint(e % 5)}}
	}
	d.updateSharers(p, true)
	preferred := 0
	for _, n := range p.nodes {
		if n.preferred {
			preferred++
		}
	}
	if preferred < 10 || preferred > 40 {
		t.Errorf("prefers %d of 100 engines, want about 25", preferred)
	}
}

// The gateways that prefer a cold engine must keep its limit, and must be able to use most
// of their half of it. Of 13 senders most did not prefer the engine and sent nothing.
func TestColdLimitOfSharers(t *testing.T) {
	c := ColdLimit{Factor: 1.5, Slack: 5}
	const rate, limit = 15, 27.5
	for _, n := range []int{14, 18, 60, 300} {
		var all []*observer.Gateway
		var names []string
		for i := range n {
			all = append(all, &observer.Gateway{Name: gatewayName(i), Domain: fmt.Sprint(i % 5)})
			names = append(names, gatewayName(i))
		}
		for e := range 40 {
			sum := 0
			for i := range n {
				d := &Dispatcher{Name: gatewayName(i), gatewayList: all, gatewayNames: names}
				p := &pool{model: "m", cold: c.share(rate, n), nodes: map[string]*node{}}
				o := &node{Endpoint: observer.Endpoint{ID: fmt.Sprintf("e%d", e), Domain: fmt.Sprint(e % 5)}}
				p.nodes["e"] = o
				d.updateSharers(p, true)
				sum += d.coldRequests(p, o)
			}
			if float64(sum) > limit || float64(sum) < limit/3 {
				t.Fatalf("%d gateways: %d requests a second to endpoint %d, want %.1f to %.1f", n, sum, e, limit/3, limit)
			}
		}
	}
}
