package dispatcher_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// The cold engines of fleet P (docs/load-and-store-requirements.md, part 7).
const (
	coldTime = 3 * time.Second
	coldPerS = 17
	// coldBound is the number of requests that a cold engine may get in any second.
	coldBound = 30
	// coldLink is the time that a request or a datagram takes.
	coldLink = 5 * time.Millisecond
)

// coldFleet is fleet P after a power loss: all engines have just started and are cold, and the
// requests of callers go to gateways unevenly.
type coldFleet struct {
	*fleet
	gatewayList []*observer.Gateway
	agents      []*coldAgent
	// perSecond is the rate of all requests, and ratio that between the busiest and the calmest gateways.
	perSecond, ratio float64
	// prompt is the number of tokens of a prompt, and stream the time from the first event to the end.
	prompt int
	stream time.Duration
	// delay is how long a datagram takes between a gateway and the agent of an engine, and copies how
	// often it arrives; reaches tells whether it arrives at all.
	delay   func() time.Duration
	copies  int
	reaches func(gateway, engine int) bool
	// pausedUntil is the end of a gateway's pause.
	pausedUntil map[int]time.Time
	waits       map[*dispatcher.Wait]coldCaller
	start       time.Time
	// asked, refused and first count callers; first has the times to the first event.
	asked, refused int
	first          []time.Duration
}

type coldCaller struct {
	gateway int
	since   time.Time
}

// coldAgent is an engine with its agent.
type coldAgent struct {
	lender *lender.Lender
	// known are the gateways that the agent knows.
	known []*observer.Gateway
	entry *observer.Endpoint
	// got holds the arrivals of requests, and readUntil when the prompts that arrived are read.
	got       []time.Time
	readUntil time.Time
	running   int
	// pausedUntil is the end of the agent's pause.
	pausedUntil time.Time
}

func (a *coldAgent) list() uint32 {
	var names []string
	for _, g := range a.known {
		names = append(names, g.Name)
	}
	return lender.ListDigest(names)
}

// newColdFleet returns a fleet in which the agents lend, or don't. Each process knows the part of
// the gateways.
func newColdFleet(gateways, engines int, lends bool, known float64) *coldFleet {
	f := &coldFleet{
		fleet: newFleetOf(gateways, engines, rankedSlots, 3, 1000*tokensPerMs), ratio: 3, copies: 1, prompt: 787, stream: time.Second,
		delay: func() time.Duration { return coldLink }, reaches: func(int, int) bool { return true },
		pausedUntil: make(map[int]time.Time), waits: make(map[*dispatcher.Wait]coldCaller),
	}
	f.start = f.now
	f.gatewayList = f.gateways[0].State.GatewayList()
	for i, e := range f.engines {
		a := &coldAgent{entry: &observer.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "s", Domain: string(rune('a' + i%3)), Region: string(rune('a' + i%3)), Slots: rankedSlots,
			Address: e.address, Versions: map[string]int64{"m": 1}, Started: f.now, Cold: coldTime,
		}}
		for _, g := range f.gatewayList {
			if f.rand.Float64() < known {
				a.known = append(a.known, g)
			}
		}
		if lends {
			a.lender = f.newLender(f.now.Add(-time.Second))
		}
		f.agents = append(f.agents, a)
	}
	for g, d := range f.gateways {
		f.powerLoss(g, d, known)
	}
	return f
}

func (f *coldFleet) newLender(began time.Time) *lender.Lender {
	return &lender.Lender{Began: began, Now: func() time.Time { return f.now }}
}

// powerLoss lets a gateway know the started engines and the part of the gateways.
func (f *coldFleet) powerLoss(g int, d *dispatcher.Dispatcher, known float64) {
	d.Cold = dispatcher.ColdLimit{Factor: 1.5, Slack: 5}
	c := &resolver.Configuration{Revision: 2, Services: []resolver.Service{{
		Name: "s", ColdRate: coldPerS, ColdTime: coldTime, Engine: &resolver.Engine{Model: "m", Slots: rankedSlots, ReadRate: 1000 * tokensPerMs},
	}}}
	d.State.Decode = func(string, []byte) (*observer.Decision, error) { return &observer.Decision{Configuration: c}, nil }
	d.State.ApplyOperator([]connector.Item{{Key: "config", Value: []byte("r"), Offset: 2}}, time.Time{})
	var list, gone []connector.Item
	d.State.DecodeEndpoint = func(key string, _ []byte) (*observer.Endpoint, error) {
		i := slices.IndexFunc(f.agents, func(a *coldAgent) bool { return a.entry.ID == key })
		e := *f.agents[i].entry
		return &e, nil
	}
	for i, a := range f.agents {
		list = append(list, connector.Item{Key: a.entry.ID, Value: []byte("x"), Offset: uint64(1000 + i)})
	}
	for i, o := range f.gatewayList {
		if i != g && f.rand.Float64() >= known {
			gone = append(gone, connector.Item{Key: o.Name, Offset: uint64(1000 + i)})
		}
	}
	d.State.ApplyGateways(gone)
	d.State.ApplyEndpoints(list, true)
	d.Update()
}

// restartGateway replaces a gateway by one that knows nothing but the tables.
func (f *coldFleet) restartGateway(g int) {
	old := f.gateways[g]
	d := &dispatcher.Dispatcher{Name: old.Name, Domain: old.Domain, Region: old.Region, State: old.State, Now: old.Now, Cold: old.Cold, Grace: time.Minute}
	for w, c := range f.waits {
		if c.gateway == g {
			delete(f.waits, w)
		}
	}
	d.Update()
	f.gateways[g] = d
}

// every calls a function at an interval.
func (f *coldFleet) every(first, interval time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		f.after(interval, next)
	}
	f.after(first, next)
}

// transmit delivers a datagram, or several copies of it.
func (f *coldFleet) transmit(g, e int, do func()) {
	if !f.reaches(g, e) {
		return
	}
	for range f.copies {
		f.after(f.delay(), do)
	}
}

func (f *coldFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for g := range f.gateways {
		weight := 1.0
		if g%2 == 0 {
			weight = f.ratio
		}
		rate := f.perSecond * weight / float64(len(f.gateways)) / ((1 + f.ratio) / 2)
		var arrive func()
		arrive = func() {
			if !f.isPaused(g) {
				f.ask(g)
			}
			f.after(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		f.after(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), arrive)
		f.every(time.Duration(g)*time.Millisecond/2, 50*time.Millisecond, func() {
			if !f.isPaused(g) {
				f.gateways[g].Update()
			}
		})
		f.every(time.Duration(g)*time.Millisecond, 100*time.Millisecond, func() { f.demand(g) })
	}
	for e, a := range f.agents {
		f.every(time.Duration(e*4)*time.Millisecond, 200*time.Millisecond, func() { f.report(e, a) })
	}
	f.every(0, 5*time.Millisecond, f.endWaits)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
}

func (f *coldFleet) isPaused(g int) bool { return f.now.Before(f.pausedUntil[g]) }

func (f *coldFleet) demand(g int) {
	if f.isPaused(g) {
		return
	}
	for _, m := range f.gateways[g].Demands() {
		e := slices.IndexFunc(f.agents, func(a *coldAgent) bool { return a.entry.Address.Addr() == m.To.Addr() })
		f.transmit(g, e, func() { f.agents[e].lender.Hear(m.Demand) })
	}
}

// report sends the report of an engine to all gateways that share it.
func (f *coldFleet) report(e int, a *coldAgent) {
	if f.now.Before(a.pausedUntil) {
		return
	}
	r := dispatcher.Report{Address: a.entry.Address, Started: a.entry.Started, Versions: a.entry.Versions, Load: a.running, From: netip.AddrPortFrom(a.entry.Address.Addr(), 9)}
	var offers map[string]lender.Offer
	isActive := false
	if a.lender != nil {
		c := dispatcher.ColdLimit{Factor: 1.5, Slack: 5}
		shares, share := c.FixedShares(coldPerS, a.entry, a.known)
		offers, isActive = a.lender.Lend(lender.Endpoint{Started: r.Started, Loaded: true, Bound: c.Bound(coldPerS), ColdTime: coldTime, List: a.list(), Shares: shares, Share: share})
	}
	sharers := dispatcher.Sharers(a.entry, a.known)
	for g, d := range f.gatewayList {
		isKnown := slices.Contains(a.known, d)
		if !isKnown || sharers != nil && !slices.Contains(sharers, d.Name) {
			continue
		}
		own := r
		if isActive {
			o := offers[d.Name]
			own.Lending = &o
		}
		f.transmit(g, e, func() { f.deliver(g, own) })
	}
}

// deliver passes a report to a gateway, after its pause if it is paused.
func (f *coldFleet) deliver(g int, r dispatcher.Report) {
	if f.isPaused(g) {
		f.after(f.pausedUntil[g].Sub(f.now), func() { f.deliver(g, r) })
		return
	}
	f.gateways[g].Report(r)
}

// ask sends a request through a gateway.
func (f *coldFleet) ask(g int) {
	f.asked++
	l, w, err := f.gateways[g].Begin(dispatcher.Request{
		Service: "s", Prompt: f.prompt, Deadline: f.now.Add(6 * time.Second), FirstBy: f.now.Add(3200 * time.Millisecond),
		Match: resolver.Match{Route: &resolver.Route{Name: "r", Streaming: true, Aim: 400 * time.Millisecond}},
	})
	switch {
	case err != nil:
		f.refused++
	case w != nil:
		f.waits[w] = coldCaller{g, f.now}
	default:
		f.serve(l, f.now)
	}
}

func (f *coldFleet) endWaits() {
	for w, c := range f.waits {
		if f.isPaused(c.gateway) {
			continue
		}
		l, ended, err := w.End()
		if !ended {
			continue
		}
		delete(f.waits, w)
		if err != nil {
			f.refused++
			continue
		}
		f.serve(l, c.since)
	}
}

// serve sends a request to its engine, which reads prompts one after the other.
func (f *coldFleet) serve(l *dispatcher.Lease, since time.Time) {
	a := f.agents[slices.IndexFunc(f.agents, func(a *coldAgent) bool { return a.entry.ID == l.Endpoint.ID })]
	f.after(coldLink, func() {
		a.got = append(a.got, f.now)
		a.running++
		if a.readUntil.Before(f.now) {
			a.readUntil = f.now
		}
		a.readUntil = a.readUntil.Add(time.Duration(float64(f.prompt) / tokensPerMs * float64(time.Millisecond)))
		f.after(a.readUntil.Sub(f.now)+50*time.Millisecond, func() {
			l.PrefillDone()
			f.first = append(f.first, f.now.Sub(since))
			f.after(f.stream, func() {
				a.running--
				l.Done(dispatcher.Served)
			})
		})
	})
}

// most returns the largest number of requests that a cold engine got in a second.
func (f *coldFleet) most() int {
	most := 0
	for _, a := range f.agents {
		for i, from := range a.got {
			n := 0
			for _, at := range a.got[i:] {
				if at.Sub(from) <= time.Second && at.Sub(f.start) < coldTime {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// rates returns the number of requests that an engine got on average in each of the first seconds.
func (f *coldFleet) rates() [3]float64 {
	var r [3]float64
	for _, a := range f.agents {
		for _, at := range a.got {
			if s := int(at.Sub(f.start) / time.Second); s < len(r) {
				r[s] += 1 / float64(len(f.agents))
			}
		}
	}
	return r
}

// soon returns the number of first events within a time.
func (f *coldFleet) soon(d time.Duration) int {
	n := 0
	for _, t := range f.first {
		n += boolToInt(t <= d)
	}
	return n
}

func (f *coldFleet) log(t *testing.T) {
	t.Helper()
	c := dispatcher.PermitCounts{}
	for _, d := range f.gateways {
		p := d.Status()[0].Permits
		c.Received, c.Used, c.Late = c.Received+p.Received, c.Used+p.Used, c.Late+p.Late
	}
	r := f.rates()
	t.Logf("%d asked, %d refused, first events %d, within 0.4 s %d, within 1 s %d; at most %d a second at an engine, on average %.1f, %.1f, %.1f; permits %+v",
		f.asked, f.refused, len(f.first), f.soon(400*time.Millisecond), f.soon(time.Second), f.most(), r[0], r[1], r[2], c)
}

// Load: after a power loss 8 cold engines are asked for 50 short requests per second each, more than
// their bound of 30.5, and each gateway would use all it gets. No engine may get more than its bound in any second, whatever happens to gateways,
// agents and datagrams. It would end, and the next one would get its requests.
func TestPermitsKeepBound(t *testing.T) {
	t.Parallel()
	events := map[string]func(f *coldFleet){
		"nothing": func(*coldFleet) {},
		"late": func(f *coldFleet) {
			f.delay = func() time.Duration { return time.Duration(f.rand.IntN(600)) * time.Millisecond }
		},
		"duplicate": func(f *coldFleet) { f.copies = 3 },
		"late and duplicate": func(f *coldFleet) {
			f.copies = 3
			f.delay = func() time.Duration { return time.Duration(f.rand.IntN(500)) * time.Millisecond }
		},
		"restarted gateway": func(f *coldFleet) { f.after(1200*time.Millisecond, func() { f.restartGateway(0) }) },
		"restarted agents": func(f *coldFleet) {
			f.after(1200*time.Millisecond, func() {
				for _, a := range f.agents {
					a.lender = f.newLender(f.now)
				}
			})
		},
		"paused gateways": func(f *coldFleet) {
			f.after(time.Second, func() {
				for g := range f.gateways {
					f.pausedUntil[g] = f.now.Add(time.Duration(200+f.rand.IntN(1000)) * time.Millisecond)
				}
			})
		},
		"paused agents": func(f *coldFleet) {
			f.after(time.Second, func() {
				for _, a := range f.agents {
					a.pausedUntil = f.now.Add(time.Duration(200+f.rand.IntN(1000)) * time.Millisecond)
				}
			})
		},
		"isolated gateways": func(f *coldFleet) {
			f.reaches = func(g, _ int) bool { return g%3 != 0 || f.now.Sub(f.start) < time.Second }
		},
	}
	for _, gateways := range []int{4, 18, 65} {
		for _, known := range []float64{1, 0.75} {
			for _, name := range slices.Sorted(maps.Keys(events)) {
				t.Run(fmt.Sprintf("%d/%g/%s", gateways, known, name), func(t *testing.T) {
					f := newColdFleet(gateways, 8, true, known)
					f.rand = rand.New(rand.NewPCG(uint64(gateways), 7))
					f.perSecond, f.prompt, f.stream = 400, 100, 50*time.Millisecond
					events[name](f)
					f.run(coldTime)
					f.log(t)
					if n := f.most(); n > coldBound {
						t.Errorf("%d requests in a second at one engine, want at most %d", n, coldBound)
					}
					var used int64
					for _, d := range f.gateways {
						used += d.Status()[0].Permits.Used
					}
					// With lists that differ, gateways stay with their fixed share.
					if used == 0 && known == 1 {
						t.Error("no permit was used")
					}
				})
			}
		}
	}
}

// Load: fleet P after a power loss with a demand that differs by a factor of three between 18 gateways;
// 381 requests per second are its usual load. Busy gateways refused requests while the fixed shares of others were unused.
func TestPermitsFollowDemand(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{381, 480, 600} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			// Three plays of each: single ones differ by up to a third in what is refused.
			play := func(lends bool) (refused, first, soon int) {
				for seed := range uint64(3) {
					f := newColdFleet(18, 40, lends, 1)
					f.rand = rand.New(rand.NewPCG(3, 4+seed))
					f.perSecond = perSecond
					f.run(coldTime)
					f.log(t)
					refused, first, soon = refused+f.refused, first+len(f.first), soon+f.soon(time.Second)
				}
				return refused, first, soon
			}
			refused, first, soon := play(false)
			lentRefused, lentFirst, lentSoon := play(true)
			if refused == 0 || lentRefused > refused/2 {
				t.Errorf("%d refused with permits, %d without; want half of them or less", lentRefused, refused)
			}
			if lentFirst < first || lentSoon < soon*19/20 {
				t.Errorf("%d first events with permits, %d of them within 1 s; %d and %d without", lentFirst, lentSoon, first, soon)
			}
		})
	}
}

// Load: as in TestPermitsKeepBound, 50 short requests per second for each cold engine at gateways that
// know each other. An engine that waits for demands and reports would be idle: it must get a request at
// once, and half of the rate of the permits in the first second and on average.
func TestPermitsBeginAtOnce(t *testing.T) {
	for _, gateways := range []int{4, 18, 65} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			var rates [2][3]float64
			for i, lends := range []bool{false, true} {
				f := newColdFleet(gateways, 8, lends, 1)
				f.rand = rand.New(rand.NewPCG(5, 6))
				f.perSecond, f.prompt, f.stream = 400, 100, 50*time.Millisecond
				f.run(coldTime)
				f.log(t)
				rates[i] = f.rates()
				for e, a := range f.agents {
					if len(a.got) == 0 || a.got[0].Sub(f.start) > 300*time.Millisecond {
						t.Errorf("engine %d got no request within 0.3 s", e)
					}
				}
			}
			const full = 17.1
			with := rates[1]
			if with[0] < full/2 || with[2] < full/2 || with[0]+with[1]+with[2] < 3*full/2 {
				t.Errorf("%.1f requests per second, want half of %.1f or more", with, full)
			}
		})
	}
}
