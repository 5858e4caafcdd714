package direct

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Guards against an agent that reports to a gateway what it stated itself, or doesn't report to another
// one what it stated, also where it doesn't lend.
func TestWaitingOverUDP(t *testing.T) {
	s, gateway := lendingAgent(t, false)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.receiveDemands(ctx) }()
	// A second gateway at the same address; the first one receives the reports for both.
	from := gateway.LocalAddr().(*net.UDPAddr).AddrPort()
	s.State.DecodeGateway = func([]byte) (*observer.Gateway, error) {
		return &observer.Gateway{Name: "h", Domain: "d", Address: from}, nil
	}
	s.State.ApplyGateways([]connector.Item{{Key: "h", Value: []byte("x"), Offset: 2}})
	started := time.Unix(2e9, 0)
	l := withWaiting(nil, []dispatcher.Waiting{{To: s.Socket.LocalAddr().(*net.UDPAddr).AddrPort(), Started: started, Ranks: []int{3, 1}}}, "g")
	if err := sendDemand(gateway, l[0]); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); s.statements.Others("h") == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.send(dispatcher.Report{Address: s.Engine, Started: started})
	var got [][]int
	for range 2 {
		var r dispatcher.Report
		if err := json.Unmarshal(receive(t, gateway), &r); err != nil {
			t.Fatal(err)
		}
		got = append(got, r.Waiting)
	}
	slices.SortFunc(got, func(a, b []int) int { return len(a) - len(b) })
	if len(got[0]) != 0 || !slices.Equal(got[1], []int{3, 1}) {
		t.Errorf("waiting %v, want none for the gateway that stated them and 3 and 1 for the other", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against statements that count though they are malformed, too long, or from another instance
// than the one of the gateway that they name.
func TestRefusedStatements(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b string) string
		from   string
		want   []int
	}{
		{"valid", func(b string) string { return b }, "127.0.0.1:1", []int{3, 64}},
		{"another instance", func(b string) string { return b }, "127.0.0.2:1", nil},
		{"unlisted gateway", func(b string) string { return strings.Replace(b, `"g"`, `"x"`, 1) }, "127.0.0.1:1", nil},
		{"too long", func(b string) string { return b + strings.Repeat(" ", maxDemandBytes) }, "127.0.0.1:1", nil},
		{"truncated", func(b string) string { return b[:len(b)-1] }, "127.0.0.1:1", nil},
		{"no number", func(b string) string { return strings.Replace(b, "[3", `["a"`, 1) }, "127.0.0.1:1", nil},
		{"out of range", func(b string) string { return strings.Replace(b, "[3", "[1e99", 1) }, "127.0.0.1:1", nil},
		{"negative", func(b string) string { return strings.Replace(b, "[3", "[-3", 1) }, "127.0.0.1:1", []int{0, 64}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := lendingAgent(t, false)
			b, err := json.Marshal(lender.Demand{Gateway: "g", Started: time.Unix(2e9, 0), Ranks: []int{3, 1000}})
			if err != nil {
				t.Fatal(err)
			}
			s.hear([]byte(c.change(string(b))), netip.MustParseAddrPort(c.from))
			if got := s.statements.Others("h"); !slices.Equal(got, c.want) {
				t.Errorf("waiting %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against statements that the lender takes for a demand without waiting requests, which would
// take permits from the gateway, and against demands that lose their waiting requests.
func TestStatementBesideDemand(t *testing.T) {
	s, gateway := lendingAgent(t, true)
	started := time.Unix(2e9, 0)
	s.send(dispatcher.Report{Address: s.Engine, Started: started})
	from := gateway.LocalAddr().(*net.UDPAddr).AddrPort()
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	l := withWaiting(
		[]dispatcher.AgentDemand{{To: a, Demand: lender.Demand{Gateway: "g", Started: started, Waiting: 3, Sent: 5}}},
		[]dispatcher.Waiting{{To: a, Started: started, Ranks: []int{2}}, {To: b, Started: started, Ranks: []int{1}}}, "g",
	)
	if len(l) != 2 || l[0].Demand.Waiting != 3 || l[0].Demand.Ranks[0] != 2 || l[1].To != b || l[1].Demand.Gateway != "g" {
		t.Fatalf("messages %+v", l)
	}
	for i, want := range []int64{1, 1} {
		d, err := json.Marshal(l[i].Demand)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d bytes: %s", len(d), d)
		s.hear(d, from)
		if st := s.Lender.Stats(); st.Demands != want || st.Refused != 0 {
			t.Errorf("message %d: %+v", i, st)
		}
	}
}
