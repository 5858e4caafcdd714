package direct

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
)

const (
	// callerIdle is how long callers may keep a connection without a request;
	// above what configurations allow, so that no request meets a close.
	callerIdle = 75 * time.Second
	// headerTimeout bounds the headers of a request.
	headerTimeout = 5 * time.Second
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
}

// serve opens a listener and serves on it, as one of the group, until the server is
// closed.
func serve(ctx context.Context, e *errgroup.Group, a netip.AddrPort, s *http.Server) error {
	l, err := listener.Open(ctx, a)
	if err != nil {
		return err
	}
	e.Go(func() error { return listener.Serve(s, l) })
	return nil
}
