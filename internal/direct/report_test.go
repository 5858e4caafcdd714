package direct

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// lastDatagram ends the datagrams that countReports counts.
const lastDatagram = "last"

// countReports reads up to lastDatagram and returns the number of datagrams before it.
func countReports(t *testing.T, c *net.UDPConn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	for n, b := 0, make([]byte, maxDatagramBytes); ; n++ {
		k, _, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			t.Fatal(err)
		}
		if string(b[:k]) == lastDatagram {
			return n
		}
	}
}

// Reports of every agent to every gateway five times a second were 0.5 GB a minute between
// regions. The gateways that share the engine must get each one, the others one of three,
// and all of them a change at once.
func TestReportTargets(t *testing.T) {
	const gateways = 20
	state := &observer.State{Log: zerolog.Nop(), Now: time.Now, DecodeGateway: func(b []byte) (*observer.Gateway, error) {
		g := new(observer.Gateway)
		return g, json.Unmarshal(b, g)
	}, DecodeEndpoint: func(key string, _ []byte) (*observer.Endpoint, error) {
		return &observer.Endpoint{ID: key, Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.1:80")}, nil
	}}
	var sockets []*net.UDPConn
	for i := range gateways {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		sockets = append(sockets, c)
		b, err := json.Marshal(observer.Gateway{
			Name: fmt.Sprintf("g%d", i), Domain: fmt.Sprintf("d%d", i%4), Address: c.LocalAddr().(*net.UDPAddr).AddrPort(),
		})
		if err != nil {
			t.Fatal(err)
		}
		state.ApplyGateways([]connector.Item{{Key: fmt.Sprintf("g%d", i), Value: b, Offset: uint64(i)}})
	}
	state.ApplyEndpoints([]connector.Item{{Key: "e1", Value: []byte("x"), Offset: 1}}, true)
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	s := &reportSender{Engine: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d0", State: state, Socket: out, Log: zerolog.Nop()}
	count := func(reports ...dispatcher.Report) map[int]int {
		for _, r := range reports {
			s.send(r)
		}
		time.Sleep(50 * time.Millisecond)
		got := make(map[int]int)
		for _, c := range sockets {
			// What was sent before this datagram has arrived when it has.
			if _, err := out.WriteToUDPAddrPort([]byte(lastDatagram), c.LocalAddr().(*net.UDPAddr).AddrPort()); err != nil {
				t.Fatal(err)
			}
			got[countReports(t, c)]++
		}
		return got
	}
	r := dispatcher.Report{Versions: map[string]int64{"m": 1}, Load: 3}
	if got := count(r); got[1] != gateways {
		t.Errorf("first report: %v gateways by number of reports, want all once", got)
	}
	if got := count(r, r, r, r, r, r); got[6] != 5 || got[2] != gateways-5 {
		t.Errorf("six reports: %v gateways by number of reports, want 5 with 6 and the others with 2", got)
	}
	closed := r
	closed.Closed = true
	if got := count(closed); got[1] != gateways {
		t.Errorf("report of a load: %v, want all once", got)
	}
}

// While no agent of a large fleet has the endpoint list, each sent all its reports to all gateways:
// with 93 gateways and 206 agents, 12 Mbit/s on each link between regions, on which the lists have to
// arrive. They must get one of three, and a change at once, and all of them in a small fleet.
func TestReportsWithoutList(t *testing.T) {
	for gateways, want := range map[int][]int{maxSmallFleet: {1, 1, 1, 1, 1, 1}, maxSmallFleet + 1: {1, 0, 0, 1, 0, 1}} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			listen := func() *net.UDPConn {
				c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				return c
			}
			in, out := listen(), listen()
			to := in.LocalAddr().(*net.UDPAddr).AddrPort()
			state := &observer.State{Log: zerolog.Nop(), Now: time.Now, DecodeGateway: func(b []byte) (*observer.Gateway, error) {
				return &observer.Gateway{Name: string(b), Domain: "d1", Address: to}, nil
			}}
			for i := range gateways {
				name := fmt.Sprintf("g%d", i)
				state.ApplyGateways([]connector.Item{{Key: name, Value: []byte(name), Offset: uint64(i)}})
			}
			s := &reportSender{Engine: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d0", State: state, Socket: out, Log: zerolog.Nop()}
			r := dispatcher.Report{Versions: map[string]int64{"m": 1}, Load: 3}
			for i, n := range want {
				if i == len(want)-1 {
					r.Closed = true
				}
				s.send(r)
				if _, err := out.WriteToUDPAddrPort([]byte(lastDatagram), to); err != nil {
					t.Fatal(err)
				}
				if got := countReports(t, in); got != n*gateways {
					t.Errorf("report %d reached %d of %d gateways, want %d", i, got, gateways, n*gateways)
				}
			}
		})
	}
}
