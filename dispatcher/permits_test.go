package dispatcher_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
)

// permitHarness is a gateway of eight with one cold engine, whose fixed share is 7 requests in 1.1 s.
type permitHarness struct {
	*harness
	serial int64
	from   netip.AddrPort
}

func newPermitHarness() *permitHarness {
	h := &permitHarness{harness: newHarness(), from: netip.MustParseAddrPort("10.0.0.1:9")}
	h.run("endpoint e1 a 1 cold=10000 started=1")
	return h
}

// offer passes a report with an offer to the gateway.
func (h *permitHarness) offer(o lender.Offer) {
	h.d.Report(dispatcher.Report{
		Address: netip.MustParseAddrPort("10.0.0.1:1"), Started: time.Unix(1, 0), Versions: map[string]int64{"m": 1}, Lending: &o, From: h.from,
	})
}

// lend sends permits that answer a demand of the given age.
func (h *permitHarness) lend(permits int, age time.Duration) {
	h.serial++
	h.offer(lender.Offer{Permits: permits, Serial: h.serial, Sent: h.now.Add(-age).UnixMicro()})
}

// sent returns the number of requests that the gateway sends of ten. They end at once.
func (h *permitHarness) sent() int {
	n := 0
	for range 10 {
		if out := h.run("send 1"); out == "e1:1" {
			n++
			h.run("begun e1")
			h.run("done e1 served")
		}
	}
	return n
}

// Guards against permits that are used after their time, twice, for another start or beyond the bound,
// and beside the fixed share.
func TestPermitsOfGateway(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(h *permitHarness)
		want int
	}{
		{"no offer", func(*permitHarness) {}, 7},
		{"empty offer", func(h *permitHarness) { h.offer(lender.Offer{}) }, 7},
		{"permits replace the fixed share", func(h *permitHarness) { h.lend(2, 100*time.Millisecond) }, 2},
		{"permits add up", func(h *permitHarness) { h.lend(2, 0); h.lend(3, 0) }, 5},
		{"late permits leave the fixed share", func(h *permitHarness) { h.lend(2, 400*time.Millisecond) }, 7},
		{"permits of the future", func(h *permitHarness) { h.lend(2, -time.Millisecond) }, 7},
		{"expired by a pause", func(h *permitHarness) { h.lend(2, 100*time.Millisecond); h.run("sleep 300ms") }, 0},
		{"fixed share after 1.5 s", func(h *permitHarness) { h.lend(2, 0); h.run("sleep 1510ms") }, 7},
		{"duplicate", func(h *permitHarness) { h.lend(2, 0); h.serial--; h.lend(2, 0) }, 2},
		{"earlier offer arrives later", func(h *permitHarness) { h.lend(2, 0); h.serial -= 2; h.lend(2, 0) }, 2},
		{"negative", func(h *permitHarness) { h.lend(-5, 0) }, 7},
		{"the fixed share is deducted", func(h *permitHarness) { h.sent(); h.lend(9, 0) }, 2},
		{"the fixed share is deducted for 1.1 s", func(h *permitHarness) {
			h.sent()
			h.lend(1, 0)
			h.run("sleep 1110ms")
			h.lend(9, 0)
		}, 9},
		{"restarted engine", func(h *permitHarness) { h.lend(2, 0); h.run("endpoint e1 a 1 cold=9000 started=2") }, 7},
		{"a gateway that knows no others", func(h *permitHarness) { h.run("no-gateways"); h.lend(3, 0) }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPermitHarness()
			c.do(h)
			if n := h.sent(); n != c.want {
				t.Errorf("%d requests sent, want %d", n, c.want)
			}
		})
	}
	t.Run("no more than the bound", func(t *testing.T) {
		h := newPermitHarness()
		h.lend(1<<30, 0)
		n := 0
		for range 10 {
			n += h.sent()
		}
		if n != 62 {
			t.Errorf("%d requests sent by an offer of 2^30, want the bound of 62", n)
		}
	})
}

// Guards against demands without a reason, to an address that isn't the engine's instance, or to an
// agent that doesn't lend.
func TestDemandsOfGateway(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(h *permitHarness)
		want int
	}{
		{"nothing waits", func(h *permitHarness) { h.offer(lender.Offer{}) }, 0},
		{"refused", func(h *permitHarness) { h.offer(lender.Offer{}); h.sent() }, 1},
		{"refused a second ago", func(h *permitHarness) { h.offer(lender.Offer{}); h.sent(); h.run("sleep 1s"); h.offer(lender.Offer{}) }, 0},
		{"no offer", func(h *permitHarness) { h.sent() }, 0},
		{"old offer", func(h *permitHarness) { h.offer(lender.Offer{}); h.run("sleep 1300ms"); h.sent() }, 0},
		{"offer from another instance", func(h *permitHarness) {
			h.from = netip.MustParseAddrPort("10.0.0.2:9")
			h.offer(lender.Offer{})
			h.sent()
		}, 0},
		{"warm", func(h *permitHarness) { h.run("sleep 11s"); h.offer(lender.Offer{}); h.run("send 10") }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPermitHarness()
			c.do(h)
			l := h.d.Demands()
			if len(l) != c.want {
				t.Fatalf("demands %+v, want %d", l, c.want)
			}
			if c.want == 0 {
				return
			}
			if v := l[0].Demand; l[0].To != h.from || v.Waiting != 3 || v.Arrivals != 10 || v.Holds || !v.Started.Equal(time.Unix(1, 0)) || v.Sent != h.now.UnixMicro() {
				t.Errorf("demand %+v", l[0])
			}
		})
	}
}

// Guards against requests of all time since that count as those of the last second after the wall clock was
// set back, as when an instance gets the time after its start. The gateway would take the permits of others.
func TestDemandAfterClockIsSetBack(t *testing.T) {
	h := newPermitHarness()
	h.sent()
	h.run("sleep -10m")
	for range 3 {
		h.run("sleep 2s")
		h.sent()
	}
	h.offer(lender.Offer{})
	l := h.d.Demands()
	if len(l) != 1 {
		t.Fatalf("demands %+v, want one", l)
	}
	if v := l[0].Demand; v.Arrivals != 10 {
		t.Errorf("%d arrivals in the last second, want 10", v.Arrivals)
	}
}
