package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// headerTimeout bounds the time for which an idle peer may hold a connection
// before it has sent a request.
const headerTimeout = 10 * time.Second

// Server is the listening part of a stand-in. The zero value listens on a free
// loopback port and logs nothing.
type Server struct {
	// Listen is the address to listen on; unset means 127.0.0.1:0.
	Listen netip.AddrPort
	// Log receives the line event=listening.
	Log zerolog.Logger
	// Ready, where set, is called once with the address that is listened on.
	Ready func(netip.AddrPort)
}

// Open listens on the address, logs it and calls Ready.
func (s *Server) Open(ctx context.Context) (net.Listener, error) {
	a := s.Listen
	if !a.IsValid() {
		a = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, &Error{Op: "listen on " + a.String(), Kind: classifier.Unavailable, Err: err}
	}
	a, err = netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		_ = l.Close()
		return nil, &Error{Op: "listen", Kind: classifier.Internal, Err: err}
	}
	s.Log.Info().Stringer("address", a).Msg("listening")
	if s.Ready != nil {
		s.Ready(a)
	}
	return l, nil
}

// Serve listens and serves h until ctx ends. It then closes all connections at
// once, as a killed process does.
func (s *Server) Serve(ctx context.Context, h http.Handler) error {
	l, err := s.Open(ctx)
	if err != nil {
		return err
	}
	return ServeOn(ctx, l, h)
}

// ServeOn serves h on l until ctx ends, and closes l.
func ServeOn(ctx context.Context, l net.Listener, h http.Handler) error {
	v := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = v.Close() })
	defer stop()
	if err := v.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve on " + l.Addr().String(), Kind: classifier.Internal, Err: err}
	}
	return nil
}
