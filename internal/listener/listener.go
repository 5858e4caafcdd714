package listener

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Open listens for TCP connections on an IP address and port.
func Open(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", a.String())
	return l, errors.Wrapf(err, "listen on %s", a)
}

// Address returns the address of a TCP listener with the port that the system
// assigned, or the zero value for other listeners.
func Address(l net.Listener) netip.AddrPort {
	if t, ok := l.Addr().(*net.TCPAddr); ok {
		return t.AddrPort()
	}
	return netip.AddrPort{}
}

// Serve accepts connections until the server is shut down or the listener is closed, using
// TLS if the server has a TLS configuration. It returns nil then.
func Serve(s *http.Server, l net.Listener) error {
	serve := s.Serve
	if s.TLSConfig != nil {
		serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
	}
	if err := serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// IgnoreStop returns nil if the context has ended, and err otherwise. It hides the
// errors of work that ended because its context did.
func IgnoreStop(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
