package relayer_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/relayer"
)

// drainRecord returns an encoded record that drains an endpoint.
func drainRecord(b *testing.B, n uint64) []byte {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], n)
	r := recorder.Record{
		Format: recorder.Format, Operation: id, Author: "anna", At: time.Unix(0, 0),
		Changes: []recorder.Change{{Kind: recorder.DrainEndpoint, Object: "agent-1", Reason: "rack"}},
	}
	v, err := r.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return v
}

// BenchmarkRelay relays one record to all attached agents over loopback, and
// waits until each has applied it.
func BenchmarkRelay(b *testing.B) {
	for _, n := range []int{1, 10, 100, 430} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			ctx, stop := context.WithCancel(b.Context())
			var work sync.WaitGroup
			defer work.Wait()
			defer stop()
			r := &follower.Replica{}
			a := serveRelay(b, r)
			agents := make([]*follower.Replica, n)
			for i := range agents {
				agents[i] = &follower.Replica{}
				name := fmt.Sprintf("agent-%d", i)
				c := &relayer.Client{
					Gateways: []netip.AddrPort{a}, Credentials: insecure.NewCredentials(), Replica: agents[i],
					Hello: &relayv1.Hello{Instance: name, FailureDomain: "tanta", Serves: "model/m", BootId: name},
					Status: func() *relayv1.EndpointStatus {
						return &relayv1.EndpointStatus{Instance: name, FailureDomain: "tanta", Serves: "model/m", BootId: name}
					},
					StatusChanged: new(relayer.Signal), Members: func(*relayv1.Members) {},
				}
				work.Go(func() { _ = c.Run(ctx) })
			}
			offset := uint64(0)
			relay := func() {
				offset++
				if err := r.Apply(offset, drainRecord(b, offset)); err != nil {
					b.Fatal(err)
				}
				for _, v := range agents {
					for {
						changed := v.Changed()
						if v.Current().Offset >= offset {
							break
						}
						<-changed
					}
				}
			}
			relay()
			b.ReportAllocs()
			for b.Loop() {
				relay()
			}
		})
	}
}

// serveRelay serves a gateway's relay until the benchmark ends.
func serveRelay(b *testing.B, r *follower.Replica) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	relayv1.RegisterRelayServiceServer(g, &relayer.Server{
		Hello: &relayv1.Hello{Instance: "g", FailureDomain: "tanta"}, Replica: r,
		Members:        func(string) *relayv1.Members { return &relayv1.Members{} },
		Gateways:       func() *relayv1.Gateways { return &relayv1.Gateways{} },
		MembersChanged: new(relayer.Signal),
		Endpoints: &relayer.Endpoints{
			Update: func(*relayv1.EndpointStatus) {}, Remove: func(string) {},
			Summaries: func(uint64, string, string, []*relayv1.Summary) {},
			OwnDemand: func(bool) divider.Demand { return nil }, Demand: func(uint64, *relayv1.Hello, *relayv1.Demand) {}, OwnSummaries: func() []*relayv1.Summary { return nil },
		},
	})
	go func() { _ = g.Serve(l) }()
	b.Cleanup(g.Stop)
	return l.Addr().(*net.TCPAddr).AddrPort()
}
