package gateway

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
)

const (
	// maxStreams limits the open streams of one connection. Agents and gateways have one or two,
	// an operator's program a few; further ones wait at the client. The default is no limit.
	maxStreams = 16
	// maxMetadata limits the metadata of a stream in bytes. The default of 16 MiB lets one
	// connection take more than an instance has.
	maxMetadata = 32 << 10
	// streamBytes is what a stream takes beside its metadata: goroutines, buffers and a message.
	streamBytes = 16 << 10
	// metadataFactor is the memory of metadata per byte on the wire.
	metadataFactor = 3
	// idleStreamsTimeout is how long a connection without streams is kept.
	idleStreamsTimeout = 30 * time.Second
)

// messageOverhead is above what gRPC, HTTP/2 and TLS add to a message or metadata, so that what is
// counted of a connection doesn't rise with the messages; a record of 16 KiB has up to 32 bytes more.
const messageOverhead = 64

// wireBytes returns the bytes that a message or metadata of n bytes takes of its connection.
func wireBytes(n int) int64 { return int64(n) + int64(n)>>9 + messageOverhead }

// received tells the listener which bytes of its connections have been processed.
type received struct{ guard *listener.Guard }

// remoteKey is the context key of the remote address of a connection.
type remoteKey struct{}

// TagConn implements stats.Handler.
func (received) TagConn(ctx context.Context, i *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, remoteKey{}, i.RemoteAddr)
}

// HandleConn implements stats.Handler.
func (received) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (received) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (r received) HandleRPC(ctx context.Context, s stats.RPCStats) {
	a, ok := ctx.Value(remoteKey{}).(net.Addr)
	if !ok {
		return
	}
	switch v := s.(type) {
	case *stats.InHeader:
		r.guard.Received(a, wireBytes(v.WireLength))
	case *stats.InPayload:
		r.guard.Received(a, wireBytes(v.WireLength))
	}
}

// streamLimits returns the options that bound what the connections of a gRPC server hold. A stream
// for which the budget has no room is refused before it runs.
func (g *Gateway) streamLimits(l *listener.Guard) []grpc.ServerOption {
	k := l.Class
	admit := func(ctx context.Context, i *tap.Info) (context.Context, error) {
		n := int64(streamBytes)
		for name, values := range i.Header {
			for _, v := range values {
				n += metadataFactor * int64(len(name)+len(v))
			}
		}
		if !g.connections.Reserve(k, n) {
			return nil, status.Error(codes.Unavailable, "the gateway has no memory for further requests")
		}
		context.AfterFunc(ctx, func() { g.connections.Release(k, n) })
		return ctx, nil
	}
	return []grpc.ServerOption{
		grpc.InTapHandle(admit), grpc.StatsHandler(received{l}), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxMetadata),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleStreamsTimeout}),
	}
}
