package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// announceRetryInterval is the pause between attempts to write the gateway record.
	announceRetryInterval = time.Second
	// announceTimeout limits one attempt to write the gateway record.
	announceTimeout = 800 * time.Millisecond
	// announceSpread is the time over which gateways spread the writes of their records after
	// the store lost them: 640 gateways write 640 records a second, and the store takes 1,200.
	announceSpread = time.Second
	// rewriteInterval is the least time between two writes of a lost record. It allows for the
	// pause between two reads of the gateway table, in which the first one isn't read back.
	rewriteInterval = 2500 * time.Millisecond
)

// announce keeps the gateway record in the store until the gateway stops. The removal of the
// record at a planned stop may be executed after the gateway has started again and written it.
func (g *Gateway) announce(ctx context.Context) error {
	b, err := json.Marshal(observer.Gateway{Name: g.Name, Domain: g.Domain, Address: g.Peers})
	if err != nil {
		return errors.Wrap(err, "encode gateway record")
	}
	for ctx.Err() == nil && !g.stopping.Load() {
		wasLost := g.follower.gateways.IsLost(g.Name)
		if g.writeRecord(ctx, b) == nil {
			if wasLost {
				g.follower.returns.rewritten.Add(1)
				g.Log.Info().Str("key", g.Name).Msg("lost-record-written")
			}
			g.awaitRecordMissing(ctx)
		}
		_ = sleeper.Sleep(ctx, announceRetryInterval)
	}
	return nil
}

// awaitRecordMissing waits until the gateway table lacks the record, also after the time in
// which a read that began before the last write ends. A store that returned from an older copy
// lacks the records of many gateways, whose writes are spread over time.
func (g *Gateway) awaitRecordMissing(ctx context.Context) {
	written := time.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.follower.recordMissing:
		}
		pause := announceRetryInterval
		if g.follower.gateways.IsLost(g.Name) {
			pause = max(rand.N(announceSpread), rewriteInterval-time.Since(written))
		}
		if sleeper.Sleep(ctx, pause) == nil && g.follower.lacksRecord() {
			return
		}
	}
}

// writeRecord puts the gateway record, or removes it if b is nil.
func (g *Gateway) writeRecord(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := g.follower.tables.Gateways.Put(ctx, g.Name, b)
	if err != nil {
		g.Log.Warn().Err(err).Bool("drop", b == nil).Msg("gateway-record-not-written")
	}
	return err
}
