package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/relayer"
)

// node is the relay of a gateway in this process.
type node struct {
	address netip.AddrPort
	server  *relayer.Server
	// peer secures the streams that the node dials.
	peer credentials.TransportCredentials
}

// newNode serves the relay of a gateway with the given number of attached
// endpoints until the context ends.
func (p *platform) newNode(ctx context.Context, name, domain string, r *follower.Replica, endpoints int) (*node, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := l.Addr().(*net.TCPAddr).AddrPort()
	sums := []*relayv1.Summary{{Serves: servesModel, Version: "v1", Ready: 430, Limit: 6880, Endpoints: 430}}
	n := &node{address: a, peer: p.peer, server: &relayer.Server{
		Hello:          &relayv1.Hello{Instance: name, FailureDomain: domain, Region: regionName, Address: a.String(), BootId: name},
		Replica:        r,
		Members:        func(string) *relayv1.Members { return &relayv1.Members{} },
		Gateways:       func() *relayv1.Gateways { return &relayv1.Gateways{Addresses: []string{a.String()}} },
		MembersChanged: new(relayer.Signal),
		Endpoints: &relayer.Endpoints{
			Update: func(*relayv1.EndpointStatus) {}, Remove: func(string) {},
			Summaries: func(uint64, string, string, []*relayv1.Summary) {},
			OwnDemand: func(bool) divider.Demand { return nil }, Demand: func(uint64, *relayv1.Hello, *relayv1.Demand) {},
			OwnSummaries: func() []*relayv1.Summary { return sums },
		},
		Log: zerolog.Nop(),
	}}
	for i := range endpoints {
		n.server.Endpoints.Report(endpointStatus(fmt.Sprintf("%s-agent-%03d", name, i), domain, r.Current().Offset))
	}
	g := grpc.NewServer(append(relayer.ServerOptions(), grpc.Creds(p.server))...)
	relayv1.RegisterRelayServiceServer(g, n.server)
	go func() { _ = g.Serve(l) }()
	context.AfterFunc(ctx, g.Stop)
	return n, nil
}

// dial keeps an Exchange stream to a gateway.
func (n *node) dial(ctx context.Context, a netip.AddrPort) {
	x := &relayer.Exchanger{
		Server: n.server, Credentials: n.peer,
		Peers: func() []relayer.Peer { return []relayer.Peer{{Address: a}} },
	}
	go func() { _ = x.Run(ctx) }()
}

func endpointStatus(name, domain string, applied uint64) *relayv1.EndpointStatus {
	return &relayv1.EndpointStatus{
		Instance: name, FailureDomain: domain, Region: regionName, Serves: servesModel, Address: "127.0.0.1:9",
		BootId: name, State: relayv1.EndpointState_ENDPOINT_STATE_READY, Version: "v1", Limit: 16, Applied: applied,
	}
}

// attach keeps an agent's relay stream to one of the gateways and returns its
// copy of the configuration.
func (p *platform) attach(ctx context.Context, name, domain string, gateways ...netip.AddrPort) *follower.Replica {
	r := &follower.Replica{Log: zerolog.Nop()}
	c := &relayer.Client{
		Gateways: gateways, Credentials: p.peer, Replica: r,
		Hello: &relayv1.Hello{
			Instance: name, FailureDomain: domain, Region: regionName, Serves: servesModel, Address: "127.0.0.1:9", BootId: name,
		},
		Status:        func() *relayv1.EndpointStatus { return endpointStatus(name, domain, r.Current().Offset) },
		StatusChanged: new(relayer.Signal),
		Members:       func(*relayv1.Members) {},
		Log:           zerolog.Nop(),
	}
	go func() { _ = c.Run(ctx) }()
	return r
}
