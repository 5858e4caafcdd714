package lender_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/eelgrassdrift/eelgrassdrift/lender"
)

// harness is a lender with a clock that a script sets.
type harness struct {
	now     time.Time
	l       *lender.Lender
	e       lender.Endpoint
	changes []string
}

func newHarness() *harness {
	h := &harness{now: time.Unix(1000, 0)}
	h.e = lender.Endpoint{Bound: 30.5, ColdTime: 3 * time.Second, Shares: map[string]int{}, Share: 3, List: 1}
	return h
}

// run executes a line of a script:
//
//	agent                       starts the agent's process
//	endpoint started=N shares=NAME:N,... [bound=N] [empty]
//	demand NAME waiting=N arrivals=N [started=N] [sent=N] [list=N] [holds]
//	lend                        sends a report
//	sleep DURATION
//	stats
func (h *harness) run(line string) string {
	f := strings.Fields(line)
	v := make(map[string]string)
	for _, a := range f[1:] {
		k, x, _ := strings.Cut(a, "=")
		v[k] = x
	}
	number := func(k string, value int) int {
		if s, ok := v[k]; ok {
			value, _ = strconv.Atoi(s)
		}
		return value
	}
	switch f[0] {
	case "agent":
		h.l = &lender.Lender{Began: h.now, Now: func() time.Time { return h.now }, Changed: func(c lender.Change) {
			h.changes = append(h.changes, fmt.Sprintf("%s rate=%.1f lent=%d", c.Kind, c.Rate, c.Lent))
		}}
	case "endpoint":
		h.e.Started = time.Unix(int64(number("started", 0)), 0)
		h.e.Bound = float64(number("bound", 30)) + 0.5
		_, isEmpty := v["empty"]
		h.e.Loaded = !isEmpty
		h.e.Shares = make(map[string]int)
		for _, s := range strings.Split(v["shares"], ",") {
			name, n, _ := strings.Cut(s, ":")
			h.e.Shares[name], _ = strconv.Atoi(n)
		}
	case "demand":
		_, holds := v["holds"]
		d := lender.Demand{
			Gateway: f[1], Started: time.Unix(int64(number("started", int(h.e.Started.Unix()))), 0), Holds: holds, List: uint32(number("list", 1)),
			Waiting: number("waiting", 0), Arrivals: number("arrivals", 0), Sent: int64(number("sent", int(h.now.UnixMicro()))),
		}
		if !h.l.Hear(d) {
			return "refused"
		}
	case "lend":
		offers, isActive := h.l.Lend(h.e)
		out := []string{"inactive"}
		if isActive {
			out = []string{"active"}
		}
		for _, name := range slices.Sorted(maps.Keys(offers)) {
			out = append(out, fmt.Sprintf("%s:%d", name, offers[name].Permits))
		}
		out = append(out, h.changes...)
		h.changes = nil
		return strings.Join(out, " ")
	case "sleep":
		d, _ := time.ParseDuration(f[1])
		h.now = h.now.Add(d)
	case "stats":
		s := h.l.Stats()
		return fmt.Sprintf("%s rate=%.1f lent=%d demands=%d refused=%d", s.Reason, s.Rate, s.Lent, s.Demands, s.Refused)
	}
	return ""
}

// The scripts guard against more permits than the bound allows, permits after a restart of the agent,
// and a division that doesn't follow the demand.
func TestLender(t *testing.T) {
	datadriven.RunTest(t, "testdata/lender", func(_ *testing.T, d *datadriven.TestData) string {
		h := newHarness()
		var out []string
		for _, line := range strings.Split(d.Input, "\n") {
			if s := h.run(line); s != "" {
				out = append(out, line+": "+s)
			}
		}
		return strings.Join(out, "\n") + "\n"
	})
}

// Load: up to 13 gateways state any demand at any time, also with lost, late, repeated and malformed
// messages. In any 1.4 s the agent must not lend more than the bound less the fixed shares of two gateways.
func TestLendsWithinBound(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		h := newHarness()
		h.run("agent")
		h.e.Started, h.e.Loaded = h.now.Add(time.Second), true
		var names []string
		for i := range 1 + r.IntN(13) {
			names = append(names, fmt.Sprint("g", i))
			h.e.Shares[names[i]] = h.e.Share * r.IntN(2)
		}
		type loan struct {
			at time.Time
			n  int
		}
		var loans []loan
		for range 600 {
			h.now = h.now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
			if r.IntN(4) > 0 {
				h.l.Hear(lender.Demand{
					Gateway: names[r.IntN(len(names))], Started: h.e.Started, Waiting: r.IntN(1<<20) >> r.IntN(20), Arrivals: r.IntN(40) - 1,
					Holds: r.IntN(3) > 0, List: 1, Sent: h.now.UnixMicro() - int64(r.IntN(300_000)),
				})
				continue
			}
			offers, _ := h.l.Lend(h.e)
			for _, o := range offers {
				loans = append(loans, loan{h.now, o.Permits})
			}
			sum := 0
			for _, x := range loans {
				if h.now.Sub(x.at) < 1400*time.Millisecond {
					sum += x.n
				}
			}
			// Permits that only replace a reserved fixed share don't count against the rest.
			if most := int(h.e.Bound) - 2*h.e.Share; sum > max(most, len(names)*h.e.Share) {
				t.Fatalf("seed %d: %d permits in 1.4 s, want at most %d", seed, sum, most)
			}
		}
		if len(loans) == 0 && len(names) > 0 {
			t.Errorf("seed %d: nothing lent", seed)
		}
	}
}

// Load: four gateways with one waiting request each beside one with 500. A gateway that has got no permit for 1.5 s
// returns to its fixed share, which the agent doesn't reserve for holders: the four would wait for 1.5 s and
// then send up to 12 requests beyond what the agent counts.
func TestEveryHolderGetsPermits(t *testing.T) {
	const holderTime = 1500 * time.Millisecond
	h := newHarness()
	h.run("agent")
	h.run("sleep 1s")
	h.run("endpoint started=1001 shares=a:3,b:3,c:3,d:3,e:3")
	h.run("lend")
	last := make(map[string]time.Time)
	begun := h.now
	for h.now.Sub(begun) < 8*time.Second {
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			waiting := 1
			if name == "e" && h.now.Sub(begun) > 2*time.Second {
				waiting = 500
			}
			holds := ""
			if at, ok := last[name]; ok {
				if d := h.now.Sub(at); d >= holderTime {
					t.Fatalf("%s has got no permit for %s after %s", name, d, h.now.Sub(begun))
				}
				holds = "holds"
			}
			h.run(fmt.Sprintf("demand %s waiting=%d %s", name, waiting, holds))
		}
		offers, _ := h.l.Lend(h.e)
		for name := range offers {
			last[name] = h.now
		}
		h.now = h.now.Add(200 * time.Millisecond)
	}
	if len(last) != 5 {
		t.Errorf("permits for %d gateways, want 5", len(last))
	}
}
