package observer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
)

const (
	// startAttemptTimeout limits one read at a peer by a StartReader. A peer in the same
	// region responds within a few milliseconds.
	startAttemptTimeout = 250 * time.Millisecond
	// minStartPause and maxStartPause bound the pause after a failed read at a peer, which
	// grows by a half with each failure.
	minStartPause = 40 * time.Millisecond
	maxStartPause = 300 * time.Millisecond
)

// StartReader reads a table from peers, and the whole table at the start of a process
// from whoever responds first. When all machines lost power, the peers start at about the
// same time as the process and need a moment to respond.
type StartReader struct {
	// Peers reads changes from a peer, and from another one after a failure.
	Peers func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
	// Platform reads changes from the platform.
	Platform func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
	// PlatformDelay is how long only peers are asked at the start. A large table that
	// every process reads from the platform fills the links between regions.
	PlatformDelay time.Duration
	// LargeDelay returns what replaces PlatformDelay in a fleet so large that a response of a
	// peer may take longer than startAttemptTimeout; 0 if the fleet is smaller. Then only a pause
	// in a response ends it. It may be nil.
	LargeDelay func() time.Duration
}

func (s *StartReader) largeDelay() time.Duration {
	if s.LargeDelay == nil {
		return 0
	}
	return s.LargeDelay()
}

// Read reads changes as connector.Table.Read does.
func (s *StartReader) Read(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
	if from > 0 {
		return s.Peers(ctx, from, wait)
	}
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	first := make(chan connector.Changes, 2)
	go s.readPeers(work, first)
	go s.readPlatform(work, first)
	select {
	case c := <-first:
		return c, nil
	case <-ctx.Done():
		return connector.Changes{}, errors.Wrap(context.Cause(ctx), "read the whole table")
	}
}

// readPeers asks peers until one responds.
func (s *StartReader) readPeers(ctx context.Context, first chan<- connector.Changes) {
	for pause := minStartPause; ctx.Err() == nil; pause = min(pause*3/2, maxStartPause) {
		attempt, cancel := s.attempt(ctx)
		c, err := s.Peers(attempt, 0, 0)
		cancel()
		if err == nil {
			first <- c
			return
		}
		_ = sleeper.Sleep(ctx, pause)
	}
}

// attempt returns the context of a read at a peer.
func (s *StartReader) attempt(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.largeDelay() > 0 {
		return watcher.WithIdleTimeout(ctx, startAttemptTimeout, startAttemptTimeout)
	}
	return context.WithTimeout(ctx, startAttemptTimeout)
}

// readPlatform asks the platform once after PlatformDelay. If that fails, the Follower
// goes on to its next source.
func (s *StartReader) readPlatform(ctx context.Context, first chan<- connector.Changes) {
	if sleeper.Sleep(ctx, s.PlatformDelay) != nil {
		return
	}
	if d := s.largeDelay(); d > 0 {
		if sleeper.Sleep(ctx, d-s.PlatformDelay) != nil {
			return
		}
		var cancel context.CancelFunc
		ctx, cancel = watcher.WithIdleTimeout(ctx, responseIdleTimeout, responseIdleTimeout)
		defer cancel()
	}
	if c, err := s.Platform(ctx, 0, 0); err == nil {
		first <- c
	}
}
