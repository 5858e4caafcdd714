package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// lendingAgent returns the report sender of an agent beside a cold engine, and the sockets of it and
// of the one gateway.
func lendingAgent(t *testing.T, lends bool) (s *reportSender, gateway *net.UDPConn) {
	t.Helper()
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	gateway = listen()
	engine := netip.MustParseAddrPort("127.0.0.1:80")
	state := &observer.State{
		Log: zerolog.Nop(), Now: time.Now,
		Decode: func(string, []byte) (*observer.Decision, error) {
			return &observer.Decision{Configuration: &resolver.Configuration{Revision: 1, Services: []resolver.Service{
				{Name: "s", ColdRate: 17, ColdTime: 3 * time.Second, Engine: &resolver.Engine{Model: "m", Slots: 4}},
			}}}, nil
		},
		DecodeGateway: func([]byte) (*observer.Gateway, error) {
			return &observer.Gateway{Name: "g", Domain: "d", Address: gateway.LocalAddr().(*net.UDPAddr).AddrPort()}, nil
		},
		DecodeEndpoint: func(key string, _ []byte) (*observer.Endpoint, error) {
			return &observer.Endpoint{ID: key, Service: "s", Domain: "d", Address: engine, Started: time.Unix(2e9, 0)}, nil
		},
	}
	state.ApplyOperator([]connector.Item{{Key: "config", Value: []byte("x"), Offset: 1}}, time.Time{})
	state.ApplyGateways([]connector.Item{{Key: "g", Value: []byte("x"), Offset: 1}})
	state.ApplyEndpoints([]connector.Item{{Key: "e", Value: []byte("x"), Offset: 1}}, true)
	s = &reportSender{
		Engine: engine, Domain: "d", State: state, Socket: listen(), Log: zerolog.Nop(), Service: "s",
		Cold: dispatcher.ColdLimit{Factor: 1.5, Slack: 5},
	}
	if lends {
		s.Lender, s.Lending = &lender.Lender{Began: time.Unix(1, 0)}, AlwaysLend
	}
	return s, gateway
}

func receive(t *testing.T, c *net.UDPConn) []byte {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b := make([]byte, maxDatagramBytes)
	n, err := c.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	return b[:n]
}

// Guards against reports with other bytes where the agent doesn't lend.
func TestReportWithoutLending(t *testing.T) {
	s, gateway := lendingAgent(t, false)
	r := dispatcher.Report{Address: s.Engine, Started: time.Unix(2e9, 0).UTC(), Versions: map[string]int64{"m": 1}, Load: 3}
	s.send(r)
	const want = `{"address":"127.0.0.1:80","started":"2033-05-18T03:33:20Z","versions":{"m":1},"load":3}`
	if b := receive(t, gateway); string(b) != want {
		t.Errorf("report %s, want %s", b, want)
	}
}

// Guards against a gateway that doesn't learn that the agent lends, or doesn't get the permits for
// which it asked at the address from which the report came.
func TestLendOverUDP(t *testing.T) {
	s, gateway := lendingAgent(t, true)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.receiveDemands(ctx) }()
	r := dispatcher.Report{Address: s.Engine, Started: time.Unix(2e9, 0), Versions: map[string]int64{"m": 1}}
	s.send(r)
	if b := receive(t, gateway); !bytes.Contains(b, []byte(`"lending":{}`)) {
		t.Errorf("first report %s, want an empty offer", b)
	}
	d := lender.Demand{Gateway: "g", Started: r.Started, Waiting: 3, List: lender.ListDigest([]string{"g"}), Sent: 5}
	if err := sendDemand(gateway, dispatcher.AgentDemand{To: s.Socket.LocalAddr().(*net.UDPAddr).AddrPort(), Demand: d}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); s.Lender.Stats().Demands == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.send(r)
	var got dispatcher.Report
	if err := json.Unmarshal(receive(t, gateway), &got); err != nil {
		t.Fatal(err)
	}
	if o := got.Lending; o == nil || o.Permits != 3 || o.Sent != 5 || o.Serial == 0 {
		t.Errorf("offer %+v, want three permits for the demand", o)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against demands that count though they are malformed, too long, or from another instance
// than the one of the gateway that they name.
func TestRefusedDemands(t *testing.T) {
	s, gateway := lendingAgent(t, true)
	s.send(dispatcher.Report{Address: s.Engine, Started: time.Unix(2e9, 0)})
	from := gateway.LocalAddr().(*net.UDPAddr).AddrPort()
	good, err := json.Marshal(lender.Demand{Gateway: "g", Started: time.Unix(2e9, 0), Waiting: 3, Sent: 5})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		b    string
		from netip.AddrPort
		want int64
	}{
		{"", from, 0},
		{"{", from, 0},
		{"[]", from, 0},
		{strings.Replace(string(good), `"g"`, `"h"`, 1), from, 0},
		{strings.Replace(string(good), `"waiting":3`, `"waiting":1e99`, 1), from, 0},
		{strings.Replace(string(good), `"waiting":3`, `"waiting":-3`, 1), from, 0},
		{string(good) + strings.Repeat(" ", maxDemandBytes), from, 0},
		{string(good), netip.MustParseAddrPort("127.0.0.2:1"), 0},
		{string(good), from, 1},
	} {
		s.hear([]byte(c.b), c.from)
		if n := s.Lender.Stats().Demands; n != c.want {
			t.Errorf("%.80s from %s: %d demands accepted, want %d", c.b, c.from, n, c.want)
		}
	}
}

// checkSetting checks which values of an environment variable a command accepts.
func checkSetting(t *testing.T, newCommand func(*Platform) *cli.Command, setting string, values map[string]bool, args ...string) {
	t.Helper()
	for value, isValid := range values {
		t.Run(value, func(t *testing.T) {
			t.Setenv("EELGRASS_"+strings.ToUpper(strings.ReplaceAll(setting, "-", "_")), value)
			c := newCommand(&Platform{})
			c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
			all := []string{"direct", "check", "--name=a", "--failure-domain=a", "--regions=a=r", "--peers=127.0.0.1:3", "--store=127.0.0.1:4"}
			err := c.Run(t.Context(), append(all, args...))
			if (err == nil) != isValid || err != nil && !strings.Contains(err.Error(), setting) {
				t.Errorf("%q: %v", value, err)
			}
		})
	}
}

// Guards against a setting that a platform leaves empty and that keeps the agent from starting, and
// against a wrong one that counts as off.
func TestLendColdRateSetting(t *testing.T) {
	values := map[string]bool{"": true, "false": true, "true": true, "ranked": true, "yes": false, "1": false}
	checkSetting(t, AgentCommand, "lend-cold-rate", values, "--engine=127.0.0.1:1", "--service=s")
}

// Guards against the same at the gateway.
func TestHalfOpenSetting(t *testing.T) {
	values := map[string]bool{"": true, "false": true, "true": true, "mixed": true, "yes": false, "ranked": false}
	checkSetting(t, GatewayCommand, "half-open", values, "--front=127.0.0.1:1", "--ready=127.0.0.1:2")
}

// Guards against an agent that lends where its setting doesn't call for it: a fleet whose callers
// don't compete is served as without the setting.
func TestLendingIncludes(t *testing.T) {
	route := func(rank int) resolver.Route {
		return resolver.Route{Public: true, Rank: rank, Targets: []resolver.Target{{Service: "s", Weight: 1}}}
	}
	even := resolver.New(&resolver.Configuration{Routes: []resolver.Route{route(1), route(1)}})
	ranked := resolver.New(&resolver.Configuration{Routes: []resolver.Route{route(1), route(2)}})
	for _, c := range []struct {
		lending      Lending
		even, ranked bool
	}{
		{lending: ""},
		{lending: NeverLend},
		{lending: LendRanked, ranked: true},
		{lending: AlwaysLend, even: true, ranked: true},
	} {
		if e, r := c.lending.includes(even, "s"), c.lending.includes(ranked, "s"); e != c.even || r != c.ranked {
			t.Errorf("%q lends with equal ranks %t, with different ones %t; want %t, %t", c.lending, e, r, c.even, c.ranked)
		}
	}
}

// Guards against an agent that counts as ramping up, by its metric and log, while its setting calls for no
// lending, and that begins to lend as for a new engine when callers of a warm one begin to differ in rank.
func TestLendingEndsWithRanks(t *testing.T) {
	s, _ := lendingAgent(t, true)
	now := time.Now()
	var changes []lender.ChangeKind
	s.Lender.Now = func() time.Time { return now }
	s.Lender.Changed = func(c lender.Change) { changes = append(changes, c.Kind) }
	r := dispatcher.Report{Address: s.Engine, Started: time.Unix(2e9, 0), Versions: map[string]int64{"m": 1}}
	for _, c := range []struct {
		lending Lending
		reason  lender.Reason
		changes int
	}{
		{LendRanked, lender.Warm, 0},
		{AlwaysLend, lender.NoDemand, 1},
		{LendRanked, lender.Warm, 2},
		{AlwaysLend, lender.NoDemand, 3},
		{LendRanked, lender.Warm, 4},
	} {
		s.Lending = c.lending
		s.send(r)
		if got := s.Lender.Stats().Reason; got != c.reason || len(changes) != c.changes {
			t.Errorf("lending %s: reason %q, changes %v; want %q, %d changes", c.lending, got, changes, c.reason, c.changes)
		}
	}
	now = now.Add(time.Minute)
	s.Lending = AlwaysLend
	s.send(r)
	if got := s.Lender.Stats().Reason; got != lender.Warm || len(changes) != 4 {
		t.Errorf("a minute later: reason %q, changes %v; want warm and no further change", got, changes)
	}
}

// Guards against an agent whose rate and reason aren't exported.
func TestLenderMetrics(t *testing.T) {
	e, err := meter.New("test")
	if err != nil {
		t.Fatal(err)
	}
	s := lender.Stats{Reason: lender.AtBound, Rate: 2.5, Lent: 3, Demands: 4, Refused: 5}
	if err := observeLender(e, func() lender.Stats { return s }); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	e.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	got := w.Body.String()
	for _, want := range []string{
		`eelgrass_agent_lent_rate{reason="bound"} 2.5`, "eelgrass_agent_lent_total 3",
		`eelgrass_agent_demands_total{result="accepted"} 4`, `eelgrass_agent_demands_total{result="refused"} 5`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("no line %q in %s", want, got)
		}
	}
}

// Guards against a demand that ends the agent or makes it lend more than the bound.
func FuzzDemand(f *testing.F) {
	f.Add([]byte(`{"gateway":"g","started":"2033-05-18T03:33:20Z","waiting":3,"arrivals":2,"holds":true,"list":7,"sent":5}`))
	f.Add([]byte(`{"gateway":"g","started":"2033-05-18T03:33:20Z","waiting":9223372036854775807,"arrivals":9223372036854775807,"sent":-1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d lender.Demand
		if json.Unmarshal(b, &d) != nil {
			return
		}
		l := &lender.Lender{}
		e := lender.Endpoint{Started: time.Unix(2e9, 0), Loaded: true, Bound: 30.5, ColdTime: time.Second, Shares: map[string]int{"g": 3}, Share: 3}
		l.Lend(e)
		l.Hear(d)
		offers, _ := l.Lend(e)
		for _, o := range offers {
			if o.Permits < 0 || o.Permits > 24 {
				t.Fatalf("offer %+v", o)
			}
		}
	})
}

// Guards against ten lines a second from a gateway that can't open the socket of its demands, for
// example while its descriptors are used up.
func TestDemandsNotSentIsLoggedOnce(t *testing.T) {
	s, _ := lendingAgent(t, true)
	var log bytes.Buffer
	g := &Gateway{
		// An address for documentation, which no interface has.
		Peers: netip.MustParseAddrPort("192.0.2.1:1"), Log: zerolog.New(&log),
		dispatcher: &dispatcher.Dispatcher{Name: "g", Domain: "d", State: s.State, Cold: s.Cold, Grace: time.Minute},
	}
	d := g.dispatcher
	d.Update()
	r := dispatcher.Report{
		Address: s.Engine, Started: time.Unix(2e9, 0), Versions: map[string]int64{"m": 1},
		Lending: &lender.Offer{}, From: s.Socket.LocalAddr().(*net.UDPAddr).AddrPort(),
	}
	d.Report(r)
	q := dispatcher.Request{Service: "s", Match: resolver.Match{Route: &resolver.Route{Name: "r"}}, Deadline: time.Now().Add(time.Minute)}
	ctx, cancel := context.WithTimeout(t.Context(), 550*time.Millisecond)
	defer cancel()
	l, err := d.Acquire(ctx, q)
	if err != nil {
		t.Fatal(err)
	}
	// Until the next update its share of the cold engine is 0.
	d.ExtendCold(l, time.Minute)
	waits := make(chan error, 1)
	go func() {
		_, err := d.Acquire(ctx, q)
		waits <- err
	}()
	if err := g.sendDemands(ctx); err != nil {
		t.Error(err)
	}
	if n := strings.Count(log.String(), "demands-not-sent"); n != 1 {
		t.Errorf("%d lines of a socket that can't be opened, want one: %s", n, log.String())
	}
	if err := <-waits; err == nil {
		t.Error("the request was sent, so that no demand had a reason")
	}
}
