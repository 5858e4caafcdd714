package direct

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// leavingCheckTimeout limits the question whether a process leaves.
	leavingCheckTimeout = 500 * time.Millisecond
	// maxLeavingChecks is the number of processes that are asked at the same time.
	maxLeavingChecks = 16
)

// checkLeaving asks processes whether they leave until ctx is done, where the dispatcher can't tell
// from what was said at their address before.
func (g *Gateway) checkLeaving(ctx context.Context) error {
	e, ctx := errgroup.WithContext(ctx)
	e.SetLimit(maxLeavingChecks)
	for ctx.Err() == nil {
		for _, v := range g.dispatcher.LeavingChecks() {
			e.Go(func() error {
				g.checkEndpoint(ctx, v)
				return nil
			})
		}
		_ = sleeper.Sleep(ctx, updateInterval)
	}
	return e.Wait()
}

// checkEndpoint asks the process at the address of the endpoint. Without an answer it is asked again
// later.
func (g *Gateway) checkEndpoint(ctx context.Context, e observer.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, leavingCheckTimeout)
	defer cancel()
	s, err := g.front.AskProcess(ctx, e.Address)
	if err != nil {
		g.Log.Info().Str("endpoint", e.ID).Str("address", e.Address.String()).Err(err).Msg("endpoint-not-checked")
		return
	}
	g.dispatcher.NoteLeavingCheck(e, s.Leaving)
}

// newAsker returns a function that asks a process for its state. Each question goes over a connection of
// its own: an older one may lead to an earlier process.
func (g *Gateway) newAsker() func(ctx context.Context, a netip.AddrPort) (connector.ProcessState, error) {
	c := newClient()
	c.Transport.(*http.Transport).DisableKeepAlives = true
	return func(ctx context.Context, a netip.AddrPort) (connector.ProcessState, error) {
		return g.Platform.AskProcess(ctx, a, c)
	}
}
