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
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// reportInterval is the pause between two reads of the engine's state. Five reports
	// per second keep the load estimates of the gateways within a few requests.
	reportInterval = 200 * time.Millisecond
	// reportTimeout limits a read from the engine, which is on the same instance.
	reportTimeout = time.Second
)

// Reporter reads the state of the engine and reports it to the gateways.
type Reporter struct {
	Replica *connector.Replica
	// Address is the address of the engine.
	Address netip.AddrPort
	// Send sends a report to all gateways.
	Send func(dispatcher.Report)
	// LinkDelay returns how long bytes wait in the link of the instance; nil stands for 0.
	LinkDelay func() time.Duration
	Log       zerolog.Logger

	mu     sync.Mutex
	last   connector.ReplicaReport
	known  bool
	closed bool
}

// Run reads and sends the state at a fixed interval until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.Read(ctx)
		_ = sleeper.Sleep(ctx, reportInterval)
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
	var d time.Duration
	if r.LinkDelay != nil {
		d = r.LinkDelay().Truncate(time.Millisecond)
	}
	r.Send(dispatcher.Report{
		Address: r.Address, Started: s.Started, Versions: s.Versions,
		Closed: r.closed || s.Loading, Load: s.Active + s.Queued, Queued: s.Queued, Leaving: s.Leaving,
		LinkDelay: recorder.Duration(d),
	})
}

// State returns the last state, and reports whether the engine answered the last read.
func (r *Reporter) State() (connector.ReplicaReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.known
}

// SetClosed sets whether the engine is about to load, and reports it to the gateways.
func (r *Reporter) SetClosed(ctx context.Context, closed bool) {
	r.mu.Lock()
	r.closed = closed
	r.mu.Unlock()
	r.Read(ctx)
}
