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
	// callerIdleTimeout is how long an idle connection of a caller is kept. It is above
	// the idle timeouts that configurations allow, so that no request arrives on a
	// connection that is being closed.
	callerIdleTimeout = 75 * time.Second
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// responseTimeout is the initial limit of the time to write a response. It exceeds the
	// long polls of peers; handlers that send parts extend it.
	responseTimeout = 30 * time.Second
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, WriteTimeout: responseTimeout, IdleTimeout: callerIdleTimeout}
}

// serve listens on the address and serves in a goroutine of the group until the
// server is closed. The connections count in the budget.
func serve(ctx context.Context, e *errgroup.Group, a netip.AddrPort, s *http.Server, connections *listener.Budget, k listener.Class) (*listener.Drainer, error) {
	l, err := listener.Open(ctx, a)
	if err != nil {
		return nil, err
	}
	d := &listener.Drainer{Server: s, Listener: connections.Guard(s, l, k)}
	e.Go(d.Serve)
	return d, nil
}
