package forwarder

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// errCallerDisconnected ends an attempt before anything is sent.
var errCallerDisconnected = &Error{Op: "send request", Kind: classifier.Timeout, Err: errors.New("the caller has closed its connection")}

// callerKey is the key of a caller's connection in the context of its requests.
type callerKey struct{}

// WithCaller returns the context of the requests on a caller's connection; an
// http.Server takes it as ConnContext.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// isCallerDisconnected reports whether the caller has closed its connection. The server
// cancels the context of the request then, but only once the goroutine that reads
// the connection has run.
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
	// Control takes no part in the lock of pending reads, unlike Read.
	err = raw.Control(func(fd uintptr) {
		n, e := peek(fd)
		gone = e == nil && n == 0 || e != nil && !errors.Is(e, unix.EAGAIN) && !errors.Is(e, unix.EINTR)
	})
	return gone || err != nil
}

// peek returns what a read of one byte would, without taking the byte or waiting.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
