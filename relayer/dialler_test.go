package relayer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
)

// mesh simulates a set of gateways whose diallers share a clock.
type mesh struct {
	now      time.Time
	peers    []Peer
	diallers map[Peer]*dialler
	// open holds the open streams as pairs of the dialling and the dialled gateway.
	open map[[2]Peer]bool
	// canDial reports whether gateway a can dial b, isListed whether the list of peers
	// of a contains b.
	canDial, isListed func(a, b Peer) bool
}

func always(_, _ Peer) bool { return true }

func newMesh(sizes ...int) *mesh {
	m := &mesh{now: time.Unix(0, 0), diallers: make(map[Peer]*dialler), canDial: always, isListed: always}
	for d, n := range sizes {
		for g := range n {
			a := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(100*d+g+1))
			p := Peer{fmt.Sprintf("g-%d-%d", d, g), fmt.Sprintf("d%d", d), a}
			m.peers = append(m.peers, p)
			m.diallers[p] = &dialler{}
		}
	}
	return m
}

// run advances the clock by d in steps of planInterval.
func (m *mesh) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(planInterval) {
		next := make(map[[2]Peer]bool)
		for _, p := range m.peers {
			var listed []Peer
			answered, accepted := make(map[netip.AddrPort]bool), make(map[string]bool)
			for _, q := range m.peers {
				answered[q.Address] = m.open[[2]Peer{p, q}]
				accepted[q.FailureDomain] = accepted[q.FailureDomain] || m.open[[2]Peer{q, p}]
				if m.isListed(p, q) {
					listed = append(listed, q)
				}
			}
			want := m.diallers[p].want(m.now, &relayv1.Hello{Instance: p.Instance, FailureDomain: p.FailureDomain}, listed,
				func(a netip.AddrPort) bool { return answered[a] }, func(d string) bool { return accepted[d] })
			for _, q := range m.peers {
				next[[2]Peer{p, q}] = want[q.Address] && m.canDial(p, q)
			}
		}
		m.open = next
	}
}

// check runs the mesh for settle. It then fails the test if in any of the next 20 steps a
// gateway has no stream with a failure domain in which it can dial a listed peer.
func (m *mesh) check(t *testing.T, settle time.Duration) {
	t.Helper()
	m.run(settle)
	for range 20 {
		m.run(planInterval)
		for p := range m.diallers {
			reached, connected := make(map[string]bool), make(map[string]bool)
			for q := range m.diallers {
				reached[q.FailureDomain] = reached[q.FailureDomain] || q.FailureDomain != p.FailureDomain && m.isListed(p, q) && m.canDial(p, q)
				connected[q.FailureDomain] = connected[q.FailureDomain] || m.open[[2]Peer{p, q}] || m.open[[2]Peer{q, p}]
			}
			for d := range reached {
				if reached[d] && !connected[d] {
					t.Fatalf("%s has no stream to %s", p.Instance, d)
				}
			}
		}
	}
}

// streams returns the number of streams between failure domains.
func (m *mesh) streams() (n int) {
	for k, open := range m.open {
		if open && k[0].FailureDomain != k[1].FailureDomain {
			n++
		}
	}
	return n
}

// Guards against a gateway without a stream to some failure domain, during an outage or
// after it, and against extra streams that stay open after the outage.
func TestEveryGatewayHasStreamToEveryFailureDomain(t *testing.T) {
	without := func(names string) func(a, b Peer) bool {
		return func(a, b Peer) bool {
			return !strings.Contains(names, a.Instance) && !strings.Contains(names, b.Instance)
		}
	}
	for name, canDial := range map[string]func(a, b Peer) bool{
		"three of four dialling gateways are down":           without("g-0-0 g-0-1 g-0-2"),
		"three of four dialled gateways are down":            without("g-2-0 g-2-1 g-2-2"),
		"one gateway is left in each of two failure domains": without("g-0-0 g-0-1 g-0-2 g-1-1 g-1-2 g-1-3"),
		"a failure domain is down":                           without("g-1-0 g-1-1 g-1-2 g-1-3"),
		"a failure domain is partitioned from the others":    func(a, b Peer) bool { return (a.FailureDomain == "d1") == (b.FailureDomain == "d1") },
		"two failure domains are partitioned from each other": func(a, b Peer) bool {
			return a.FailureDomain+b.FailureDomain != "d0d2" && a.FailureDomain+b.FailureDomain != "d2d0"
		},
		"one gateway cannot be dialled": func(_, b Peer) bool { return b.Instance != "g-2-1" },
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(4, 4, 4)
			m.check(t, 5*routeTimeout)
			m.canDial = canDial
			m.check(t, 5*routeTimeout)
			m.canDial = always
			m.check(t, 5*routeTimeout)
			if n := m.streams(); n != 12 {
				t.Errorf("%d streams after recovery, want 12", n)
			}
		})
	}
}

// Guards against surplus streams between failure domains of different size: two of them
// need as many streams as the larger one has gateways.
func TestSizesThatDifferNeedNoSurplus(t *testing.T) {
	m := newMesh(3, 5, 2)
	m.check(t, 5*routeTimeout)
	if n := m.streams(); n != 5+3+5 {
		t.Errorf("%d streams, want 13", n)
	}
}

// Guards against a plan that works only if all gateways have the same list of peers: the
// platform's list lags, so gateways miss parts of it while other gateways are down.
func TestListsThatDifferLeaveNoGatewayWithoutStream(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		m := newMesh(5, 4, 3)
		gone, unlisted := make(map[Peer]bool), make(map[[2]Peer]bool)
		for _, p := range m.peers {
			gone[p] = r.IntN(3) == 0
			for _, q := range m.peers {
				unlisted[[2]Peer{p, q}] = r.IntN(3) == 0
			}
		}
		m.canDial = func(a, b Peer) bool { return !gone[a] && !gone[b] }
		m.isListed = func(a, b Peer) bool { return !unlisted[[2]Peer{a, b}] }
		m.check(t, 6*routeTimeout)
	}
}
