package dispatcher_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// harness is a dispatcher with a clock and a list that a script sets.
type harness struct {
	now    time.Time
	state  *observer.State
	d      *dispatcher.Dispatcher
	offset uint64
	leases map[string][]*dispatcher.Lease
	// aim is the target latency of the route of queued requests, and queued holds the ends of
	// their waits.
	aim    time.Duration
	queued map[string]chan waitEnd
}

// waitEnd is the end of a wait: a lease, or the reason of the refusal.
type waitEnd struct {
	lease  *dispatcher.Lease
	reason string
}

// waitTime returns the time that a caller has to have so that its request may wait for d:
// an engine of which nothing is known is assumed to begin within a second, and a refusal
// takes 50 ms to the caller.
func waitTime(d time.Duration) time.Duration { return d + 1050*time.Millisecond }

func newHarness() *harness {
	w := &harness{now: time.Unix(1000, 0), leases: make(map[string][]*dispatcher.Lease), aim: 400 * time.Millisecond, queued: make(map[string]chan waitEnd)}
	w.state = &observer.State{
		Decode: decodeOperator, DecodeEndpoint: decodeEndpoint, DecodeGateway: decodeGateway,
		Now: func() time.Time { return w.now }, Log: zerolog.Nop(),
	}
	w.state.ApplyOperator([]connector.Item{w.item("config", "config")}, time.Time{})
	w.d = &dispatcher.Dispatcher{
		Domain: "a", Region: "ra", State: w.state, Now: w.state.Now,
		Cold: dispatcher.ColdLimit{Factor: 1.5, Slack: 5}, Grace: 7 * time.Second, MaxVersionDelay: 8 * time.Second,
	}
	w.run("gateways 1")
	return w
}

func (w *harness) item(key, value string) connector.Item {
	w.offset++
	i := connector.Item{Key: key, Offset: w.offset}
	if value != "" {
		i.Value = []byte(value)
	}
	return i
}

// decodeOperator reads "config", "out DOMAIN" and "version N".
func decodeOperator(_ string, v []byte) (*observer.Decision, error) {
	f := strings.Fields(string(v))
	switch f[0] {
	case "out":
		return &observer.Decision{Evacuated: f[1]}, nil
	case "version":
		n, _ := strconv.ParseInt(f[1], 10, 64)
		return &observer.Decision{Target: &observer.Target{Model: "m", Version: n}}, nil
	}
	return &observer.Decision{Configuration: &resolver.Configuration{Revision: 1, Services: []resolver.Service{
		{Name: "s", ColdRate: 38, ColdTime: 3 * time.Second, Engine: &resolver.Engine{Model: "m", Slots: 4, ReadRate: 10_000}},
	}}}, nil
}

// decodeEndpoint reads "DOMAIN VERSION [draining] [cold=MS] [started=N] [port=N] [service=NAME]".
func decodeEndpoint(key string, v []byte) (*observer.Endpoint, error) {
	f := strings.Fields(string(v))
	n, _ := strconv.ParseInt(f[1], 10, 64)
	port, _ := strconv.Atoi(key[1:])
	e := &observer.Endpoint{
		ID: key, Service: "s", Domain: f[0], Region: "r" + f[0], Slots: 4, Versions: map[string]int64{"m": n},
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port)), Draining: slices.Contains(f, "draining"),
	}
	for _, a := range f {
		k, v, _ := strings.Cut(a, "=")
		n, _ := strconv.Atoi(v)
		switch k {
		case "cold":
			e.Cold = time.Duration(n) * time.Millisecond
		case "started":
			e.Started = time.Unix(int64(n), 0)
		case "service":
			e.Service = v
		case "port":
			e.Address = netip.AddrPortFrom(e.Address.Addr(), uint16(n))
		}
	}
	return e, nil
}

func decodeGateway(v []byte) (*observer.Gateway, error) {
	return &observer.Gateway{Name: string(v)}, nil
}

// run executes one line of a script and returns its output.
func (w *harness) run(line string) string {
	f := strings.Fields(line)
	switch f[0] {
	case "endpoint":
		w.state.ApplyEndpoints([]connector.Item{w.item(f[1], strings.Join(f[2:], " "))}, true)
	case "gone":
		w.state.ApplyEndpoints([]connector.Item{w.item(f[1], "")}, true)
	case "operator":
		w.state.ApplyOperator([]connector.Item{w.item(f[1], strings.Join(f[2:], " "))}, w.now)
	case "no-gateways":
		w.state.ApplyGateways([]connector.Item{w.item("g0", "")})
	case "gateways":
		n, _ := strconv.Atoi(f[1])
		for i := range n {
			name := fmt.Sprintf("g%d", i)
			w.state.ApplyGateways([]connector.Item{w.item(name, name)})
		}
	case "sleep":
		d, _ := time.ParseDuration(f[1])
		w.now = w.now.Add(d)
	case "grace":
		w.d.Grace, _ = time.ParseDuration(f[1])
	case "report":
		w.report(f)
	case "notice":
		w.notice(f)
	case "check":
		return w.check(f)
	case "store-fails":
		w.state.ListFailed()
	case "send":
		return w.send(f)
	case "begun":
		for _, l := range w.leases[f[1]] {
			l.PrefillDone()
		}
	case "done":
		return w.done(f)
	case "queue":
		return w.queue(f)
	case "free":
		w.leases[f[1]][0].Done(dispatcher.Served)
		w.leases[f[1]] = w.leases[f[1]][1:]
		return w.waitEnds()
	case "wait":
		return w.waitEnds()
	case "silent-after":
		l := w.leases[f[1]]
		return l[len(l)-1].SilentAfter().Round(10 * time.Millisecond).String()
	}
	w.d.Update()
	return ""
}

// report ID VERSION LOAD [closed] [leaving] [queued=N] [started=N] [link=MS]
func (w *harness) report(f []string) {
	port, _ := strconv.Atoi(f[1][1:])
	v, _ := strconv.ParseInt(f[2], 10, 64)
	load, _ := strconv.Atoi(f[3])
	queued, link, started := 0, 0, time.Time{}
	for _, a := range f[4:] {
		k, v, _ := strings.Cut(a, "=")
		n, _ := strconv.Atoi(v)
		switch k {
		case "queued":
			queued = n
		case "link":
			link = n
		case "started":
			started = time.Unix(int64(n), 0)
		}
	}
	w.d.Report(dispatcher.Report{
		Started: started, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port)),
		Versions: map[string]int64{"m": v}, Load: load, Queued: queued, LinkDelay: recorder.Duration(time.Duration(link) * time.Millisecond), Closed: slices.Contains(f, "closed"),
		Leaving: slices.Contains(f, "leaving"),
	})
}

// notice ID [leaving] [pause=DURATION] is a response to the first lease of an endpoint.
func (w *harness) notice(f []string) {
	n := dispatcher.Notice{Leaving: slices.Contains(f, "leaving")}
	if v, ok := strings.CutPrefix(f[len(f)-1], "pause="); ok {
		n.Pause, _ = time.ParseDuration(v)
	}
	w.d.Notice(w.leases[f[1]][0], n)
}

// check silent|ready|leaving is what the processes answer that are asked whether they leave. It returns the
// endpoints that are asked.
func (w *harness) check(f []string) string {
	var out []string
	for _, e := range w.d.LeavingChecks() {
		out = append(out, e.ID)
		if f[1] != "silent" {
			w.d.NoteLeavingCheck(e, f[1] == "leaving")
		}
	}
	slices.Sort(out)
	return "asked " + strings.Join(out, " ")
}

// send N [home=REGION] [prompt=N] [not=ID] [resumed] sends requests that don't wait, and
// counts where they went.
func (w *harness) send(f []string) string {
	n, _ := strconv.Atoi(f[1])
	r := dispatcher.Request{Service: "s", Deadline: w.now.Add(-1), Match: resolver.Match{Route: &resolver.Route{Aim: 400 * time.Millisecond}}}
	for _, a := range f[2:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "home":
			r.Match.Route.Regions = []string{v}
		case "prompt":
			r.Prompt, _ = strconv.Atoi(v)
		case "not":
			r.Exclude = []string{v}
		case "resumed":
			r.Resumed = true
		}
	}
	count := make(map[string]int)
	for range n {
		l, err := w.d.Acquire(context.Background(), r)
		var e *dispatcher.Error
		switch {
		case errors.As(err, &e):
			count["refused-"+e.Reason]++
		default:
			count[l.Endpoint.ID]++
			w.leases[l.Endpoint.ID] = append(w.leases[l.Endpoint.ID], l)
		}
	}
	var out []string
	for k, n := range count {
		out = append(out, fmt.Sprintf("%s:%d", k, n))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// queue NAME deadline=DURATION [first=DURATION] [prompt=N] [answer=N] [rank=N] [route=NAME]
// sends a request that may wait. The times are those until its caller leaves: at all, and if
// the response hasn't begun.
func (w *harness) queue(f []string) string {
	route := &resolver.Route{Aim: w.aim}
	r := dispatcher.Request{Service: "s", Match: resolver.Match{Route: route}}
	for _, a := range f[2:] {
		k, v, _ := strings.Cut(a, "=")
		d, _ := time.ParseDuration(v)
		n, _ := strconv.Atoi(v)
		switch k {
		case "deadline":
			r.Deadline = w.now.Add(d)
		case "first":
			r.FirstBy = w.now.Add(d)
		case "prompt":
			r.Prompt = n
		case "answer":
			r.Answer = n
		case "rank":
			route.Rank = n
		case "route":
			route.Name = v
		}
	}
	end := make(chan waitEnd, 1)
	w.queued[f[1]] = end
	before := w.d.Status()[0].Queued
	go func() {
		l, err := w.d.Acquire(context.Background(), r)
		var e *dispatcher.Error
		if errors.As(err, &e) {
			end <- waitEnd{reason: e.Reason}
			return
		}
		end <- waitEnd{lease: l}
	}()
	for w.d.Status()[0].Queued == before && len(end) == 0 {
		time.Sleep(time.Millisecond)
	}
	return w.waitEnds()
}

// waitEnds returns the ends of waits since the last call, by name.
func (w *harness) waitEnds() string {
	for len(w.queued)-w.ended() > w.d.Status()[0].Queued {
		time.Sleep(time.Millisecond)
	}
	var out []string
	for name, end := range w.queued {
		if len(end) == 0 {
			continue
		}
		delete(w.queued, name)
		e := <-end
		if e.lease == nil {
			out = append(out, name+":refused-"+e.reason)
			continue
		}
		id := e.lease.Endpoint.ID
		w.leases[id] = append(w.leases[id], e.lease)
		out = append(out, name+":"+id)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// ended returns the number of waits that have ended.
func (w *harness) ended() int {
	n := 0
	for _, end := range w.queued {
		n += len(end)
	}
	return n
}

// done ID OUTCOME ends all leases of an endpoint.
func (w *harness) done(f []string) string {
	o := map[string]dispatcher.Outcome{
		"served": dispatcher.Served, "failed": dispatcher.Failed, "full": dispatcher.Full, "misdirected": dispatcher.Misdirected,
	}[f[2]]
	for _, l := range w.leases[f[1]] {
		l.Done(o)
	}
	delete(w.leases, f[1])
	return ""
}

// The scripts guard against requests to a process that has said that it leaves or pauses once the list
// learns of its start, and against a sound process that gets none because an earlier one said so.
func TestIncarnations(t *testing.T) {
	datadriven.RunTest(t, "testdata/incarnations", func(_ *testing.T, d *datadriven.TestData) string {
		return newHarness().runScript(d.Input)
	})
}

// The scripts guard against requests to endpoints that are draining, in an evacuated
// failure domain, cold beyond their rate, of an older version, outside the request's
// allowed regions, or full.
func TestDispatcher(t *testing.T) {
	datadriven.RunTest(t, "testdata/dispatcher", func(_ *testing.T, d *datadriven.TestData) string {
		return newHarness().runScript(d.Input)
	})
}

// runScript executes a script and returns its output.
func (w *harness) runScript(script string) string {
	var out strings.Builder
	for line := range strings.Lines(script) {
		if s := w.run(line); s != "" {
			fmt.Fprintln(&out, s)
		}
	}
	return out.String()
}

// The scripts guard against an order, a wait or a refusal that doesn't follow from the
// callers' time and the work that is left. The target latency is no time of the callers, so
// it must change nothing.
func TestCallersTime(t *testing.T) {
	datadriven.RunTest(t, "testdata/callers-time", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		for i, aim := range []time.Duration{400 * time.Millisecond, 40 * time.Millisecond, 4 * time.Second} {
			w := newHarness()
			w.aim = aim
			got := w.runScript(d.Input)
			if i > 0 && got != out {
				t.Errorf("%s: with a target latency of %s got\n%s\nwant\n%s", d.Pos, aim, got, out)
			}
			out = got
		}
		return out
	})
}

// A request whose allowed regions have no free slot must not block others from free
// endpoints, and a freed slot must go to the request that is queued for it.
func TestWaiting(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.run("endpoint e2 b 1")
	w.run("send 4 home=rb")
	home := dispatcher.Request{Service: "s", Deadline: w.now.Add(time.Hour), Match: resolver.Match{Route: &resolver.Route{Regions: []string{"rb"}}}}
	got := make(chan string)
	go func() {
		l, err := w.d.Acquire(context.Background(), home)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- l.Endpoint.ID
	}()
	for w.d.Status()[0].Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	if s := w.run("send 1"); s != "e1:1" {
		t.Errorf("a request without homes got %q", s)
	}
	w.leases["e2"][0].Done(dispatcher.Served)
	if s := <-got; s != "e2" {
		t.Errorf("the waiting request got %q", s)
	}
}

// A caller that gives up while queued must not leak a slot.
func TestLeaving(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.run("send 4")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := dispatcher.Request{Service: "s", Deadline: w.now.Add(time.Hour), Match: resolver.Match{Route: &resolver.Route{}}}
	if _, err := w.d.Acquire(ctx, r); err == nil {
		t.Fatal("a caller that left got a lease")
	}
	if s := w.d.Status()[0]; s.Queued != 0 || s.InFlight != 4 {
		t.Errorf("queued %d, in flight %d", s.Queued, s.InFlight)
	}
}

// A request that arrives while the process wakes from a pause must wait until the list of
// endpoints has been read again. It was sent to an endpoint that had left in the pause.
func TestWaitsForListAfterPause(t *testing.T) {
	w := newHarness()
	current := true
	w.d.IsCurrent = func() bool { return current }
	w.run("endpoint e1 a 1")
	w.run("endpoint e2 a 1")
	w.d.Update()
	current = false
	granted := make(chan string, 1)
	go func() {
		r := dispatcher.Request{Service: "s", Deadline: w.now.Add(waitTime(5 * time.Second)), Match: resolver.Match{Route: &resolver.Route{Aim: 400 * time.Millisecond}}}
		l, err := w.d.Acquire(t.Context(), r)
		if err != nil {
			granted <- err.Error()
			return
		}
		granted <- l.Endpoint.ID
	}()
	for w.d.Status()[0].Queued == 0 {
		select {
		case got := <-granted:
			t.Fatalf("got %s before the list was read", got)
		case <-time.After(time.Millisecond):
		}
	}
	current = true
	w.run("gone e1")
	w.d.Update()
	if got := <-granted; got != "e2" {
		t.Errorf("got %s, want e2", got)
	}
}

// A panic in a decision, which the HTTP server of the callers recovers, must not leave the
// dispatcher locked: all later requests would wait forever.
func TestPanicReleasesLock(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.d.IsCurrent = func() bool { panic("fault") }
	func() {
		defer func() { _ = recover() }()
		w.run("send 1")
	}()
	w.d.IsCurrent = nil
	sent := make(chan string, 1)
	go func() { sent <- w.run("send 1") }()
	select {
	case got := <-sent:
		if got != "e1:1" {
			t.Errorf("got %q, want e1:1", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the dispatcher is locked")
	}
}
