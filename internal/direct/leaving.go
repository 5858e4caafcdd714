package direct

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

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
	// Each question goes over a connection of its own: an older one may lead to an earlier process.
	c := newClient()
	c.Transport.(*http.Transport).DisableKeepAlives = true
	e, ctx := errgroup.WithContext(ctx)
	e.SetLimit(maxLeavingChecks)
	for ctx.Err() == nil {
		for _, v := range g.dispatcher.LeavingChecks() {
			e.Go(func() error {
				g.checkEndpoint(ctx, c, v)
				return nil
			})
		}
		_ = sleeper.Sleep(ctx, updateInterval)
	}
	return e.Wait()
}

// checkEndpoint asks the process at the address of the endpoint. Without an answer it is asked again
// later.
func (g *Gateway) checkEndpoint(ctx context.Context, c *http.Client, e observer.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, leavingCheckTimeout)
	defer cancel()
	leaving, err := g.Platform.IsLeaving(ctx, e.Address, c)
	if err != nil {
		g.Log.Info().Str("endpoint", e.ID).Str("address", e.Address.String()).Err(err).Msg("endpoint-not-checked")
		return
	}
	g.dispatcher.NoteLeavingCheck(e, leaving)
}
