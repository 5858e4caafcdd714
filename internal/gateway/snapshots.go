package gateway

import (
	"context"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
)

const (
	// snapshotCheckInterval is the time between two checks whether a snapshot is
	// due.
	snapshotCheckInterval = time.Second
	// snapshotRankDelay is the delay per gateway that ranks before this one, so
	// that normally only one gateway writes the snapshot.
	snapshotRankDelay = 2 * time.Second
)

// writeSnapshots writes snapshots of the configuration back to the log: after
// SnapshotEvery records, and after SnapshotInterval also without a new record,
// because the last snapshot expires like any other record.
func (g *Gateway) writeSnapshots(ctx context.Context) error {
	t := time.NewTicker(snapshotCheckInterval)
	defer t.Stop()
	begun := time.Now()
	var last uint64
	var due time.Time
	var read follower.SnapshotReader
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		s := g.replica.Current()
		late := time.Since(begun) >= g.SnapshotInterval
		if s.Offset == 0 || !late && s.Offset-last < g.SnapshotEvery {
			due = time.Time{}
			continue
		}
		if due.IsZero() {
			_, rank := g.gatewayCount()
			due = time.Now().Add(time.Duration(rank) * snapshotRankDelay)
		}
		if time.Now().Before(due) {
			continue
		}
		if n, ok := g.snapshot(ctx, &read, last, late); ok {
			last, begun = n, time.Now()
		}
		due = time.Time{}
	}
}

// snapshot writes a snapshot unless the log has one with an offset above last. It
// returns the offset of the newest snapshot and whether that succeeded.
func (g *Gateway) snapshot(ctx context.Context, read *follower.SnapshotReader, last uint64, late bool) (uint64, bool) {
	c, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	n, err := read.Newest(c, g.follow.Log)
	if err != nil {
		g.Log.Warn().Err(err).Msg("snapshots not read")
		return 0, false
	}
	if n != nil && n.Offset > last {
		return n.Offset, true
	}
	s := g.replica.Current()
	parts, err := g.follow.Split(s)
	for _, p := range parts {
		if err == nil {
			_, err = g.follow.Log.Append(c, connector.SnapshotStream, [][]byte{p})
		}
	}
	g.Log.Info().Uint64("revision", s.Offset).Int("parts", len(parts)).Bool("interval", late).AnErr("error", err).
		Msg("snapshot written")
	return s.Offset, err == nil
}
