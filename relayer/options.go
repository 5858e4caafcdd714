package relayer

import (
	"google.golang.org/grpc"
)

const (
	// flowControlWindowBytes is the flow control window of each stream and connection.
	// A fixed window turns off gRPC's bandwidth estimation, which sends a ping for most
	// messages and so costs more bytes than a repeated offset.
	flowControlWindowBytes = 256 << 10
	// connBufferBytes is the size of a connection's read buffer and of its write buffer.
	// Messages are short, and the default of 32 KiB for each adds up on a node with
	// 100 streams.
	connBufferBytes = 4 << 10
)

// ServerOptions returns the options of the gRPC server that serves a Server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(flowControlWindowBytes), grpc.StaticConnWindowSize(flowControlWindowBytes),
		grpc.ReadBufferSize(connBufferBytes), grpc.WriteBufferSize(connBufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
}

func dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithStaticStreamWindowSize(flowControlWindowBytes), grpc.WithStaticConnWindowSize(flowControlWindowBytes),
		grpc.WithReadBufferSize(connBufferBytes), grpc.WithWriteBufferSize(connBufferBytes),
		grpc.WithDisableServiceConfig(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}
}
