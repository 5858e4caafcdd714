package loader

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

// Times of a Reporter.
const (
	// reportPace is the pause between two reads of the engine's state. Five
	// reports a second keep the estimates of the gateways within a few requests.
	reportPace = 200 * time.Millisecond
	// reportTimeout bounds a read on the own instance.
	reportTimeout = time.Second
)

// Reporter reads the state of the engine and tells it to the gateways.
type Reporter struct {
	Replica *connector.Replica
	// Address of the engine.
	Address netip.AddrPort
	// Send tells a report to all gateways.
	Send func(dispatcher.Report)
	Log  zerolog.Logger

	mu     sync.Mutex
	last   connector.ReplicaReport
	known  bool
	closed bool
}

// Run reads and sends until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.Read(ctx)
		_ = sleeper.Sleep(ctx, reportPace)
	}
	return nil
}

// Read reads the state once and sends it.
func (r *Reporter) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	s, err := r.Replica.Report(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.known {
			r.Log.Warn().Err(err).Msg("engine-lost")
		}
		r.known = false
		return
	}
	if !r.known || !r.last.Started.Equal(s.Started) {
		r.Log.Info().Time("started", s.Started).Interface("versions", s.Versions).Msg("engine-found")
	}
	r.last, r.known = s, true
	r.Send(dispatcher.Report{
		Address: r.Address, Started: s.Started, Versions: s.Versions,
		Closed: r.closed || s.Loading, Load: s.Active + s.Queued,
	})
}

// State returns the last state; false while the engine doesn't answer.
func (r *Reporter) State() (connector.ReplicaReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.known
}

// Close tells the gateways whether the engine is about to load.
func (r *Reporter) Close(ctx context.Context, closed bool) {
	r.mu.Lock()
	r.closed = closed
	r.mu.Unlock()
	r.Read(ctx)
}
