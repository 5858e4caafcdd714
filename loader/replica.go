package loader

import (
	"context"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// replicaTimeout limits each call of the engine but its report. The answer of an engine may be
// lost while its connection stays open, and a sound engine may be silent for a second or more.
const replicaTimeout = 2 * time.Second

// replica calls the engine with a deadline for each call. A call that reaches it may have been
// executed; its error is then of kind OutcomeUnknown.
type replica struct{ client *connector.Replica }

// staged returns a staged piece of at most size bytes.
func (r replica) staged(ctx context.Context, model string, piece int, size int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	return r.client.Staged(ctx, model, piece, size)
}

// held returns the numbers of the staged pieces.
func (r replica) held(ctx context.Context, model string) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	return r.client.Held(ctx, model)
}

// stage stages a piece in place of the one with the same number.
func (r replica) stage(ctx context.Context, model string, piece int, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	return r.client.Stage(ctx, model, piece, b)
}

// start orders the engine to load the staged version after the given number of orders.
func (r replica) start(ctx context.Context, model string, version, orders int64, cut bool) error {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	return r.client.Start(ctx, model, version, orders, cut)
}
