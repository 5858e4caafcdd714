package forwarder

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// errCallerDisconnected ends an attempt before any byte is sent.
var errCallerDisconnected = &Error{Op: "send request", Kind: classifier.Timeout, Err: errors.New("the caller has closed its connection")}

// callerKey is the context key of the caller's connection.
type callerKey struct{}

// WithCaller returns a context that holds the caller's connection. It is meant as the
// ConnContext of an http.Server.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// isCallerDisconnected reports whether the caller has closed its connection. It asks
// the socket, as the server cancels the context of the request only after the
// goroutine that reads the connection has noticed the close.
func isCallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	// Unlike Read, Control doesn't wait for the lock that a pending read holds.
	err = raw.Control(func(fd uintptr) {
		n, e := peek(fd)
		gone = e == nil && n == 0 || e != nil && !errors.Is(e, unix.EAGAIN) && !errors.Is(e, unix.EINTR)
	})
	return gone || err != nil
}

// peek returns the result of a non-blocking read of one byte that leaves the byte in
// the socket.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
