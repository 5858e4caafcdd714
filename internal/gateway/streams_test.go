package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
)

// Guards against memory that is counted for messages long processed: a stream of an agent would be
// closed after some days. When streams and connections end, nothing may be left.
func TestProcessedMessagesAreNotCounted(t *testing.T) {
	g := &Gateway{connections: &listener.Budget{Descriptors: 100, Memory: 100 << 20, Log: zerolog.Nop()}}
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := g.connections.GuardOpaque(n, listener.Peers)
	echo := func(_ any, s grpc.ServerStream) error {
		var m wrapperspb.BytesValue
		for {
			if err := s.RecvMsg(&m); err != nil {
				return nil
			}
			if err := s.SendMsg(wrapperspb.Bytes(nil)); err != nil {
				return err
			}
		}
	}
	s := grpc.NewServer(append(g.streamLimits(l), grpc.UnknownServiceHandler(echo))...)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	c, err := grpc.NewClient("passthrough:///"+n.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	stream, err := c.NewStream(t.Context(), &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, "/s/M")
	if err != nil {
		t.Fatal(err)
	}
	first := int64(0)
	for i := range 3000 {
		size := 10
		if i%100 == 0 {
			size = 500 << 10
		}
		var m wrapperspb.BytesValue
		if err := stream.SendMsg(wrapperspb.Bytes(make([]byte, size))); err != nil {
			t.Fatal(err)
		}
		if err := stream.RecvMsg(&m); err != nil {
			t.Fatal(err)
		}
		if _, bytes := g.connections.Used(); i == 0 {
			first = bytes
		} else if i == 2999 && bytes > first+4<<10 {
			t.Errorf("%d bytes are counted after %d messages, %d after the first", bytes, i, first)
		}
	}
	_ = c.Close()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		connections, bytes := g.connections.Used()
		if connections == 0 && bytes == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections with %d bytes are still counted", connections, bytes)
		}
	}
}
