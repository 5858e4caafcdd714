package direct

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/isolator"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// holdInterval is the interval at which a gateway looks for holds that the store lacks.
	holdInterval = 250 * time.Millisecond
	// holdRankDelay is the time after which the next gateway writes a hold that the store lacks,
	// so that the first one has written it and the others have read it.
	holdRankDelay = 1500 * time.Millisecond
	// maxHoldRank bounds the gateways that wait for holdRankDelay after each other. Later ones wait
	// for holdLaterDelay, so that the last of 640 writes after 75 s if none before it does, and
	// about ten write before they read the first of these records.
	maxHoldRank    = 8
	holdLaterDelay = 100 * time.Millisecond
	// holdTimeout limits one write of a hold, and the claim of a trial.
	holdTimeout = 800 * time.Millisecond
)

// holdKeeper keeps the holds of the isolator in the gateway table, from which gateways that start
// have them, and claims their trials there.
type holdKeeper struct {
	Isolator *isolator.Isolator
	// Put writes or deletes a record of the gateway table. PutAt does so if the table of this
	// gateway was complete.
	Put, PutAt func(ctx context.Context, key string, value []byte) error
	// Rank returns the place of this gateway among the known gateways, -1 if it is none of them, and
	// Count their number.
	Rank, Count func() int
	Log         zerolog.Logger

	// spread is the random part of the wait of a gateway whose place isn't known.
	spread time.Duration
}

func holdKey(d isolator.Digest) string { return observer.HoldPrefix + d.String() }

// apply applies a record of the gateway table.
func (k *holdKeeper) apply(name string, value []byte) {
	var d isolator.Digest
	if err := d.UnmarshalText([]byte(name)); err != nil {
		k.Log.Warn().Err(err).Msg("hold-refused")
		return
	}
	if value == nil {
		k.Isolator.Forget(d)
		return
	}
	var h isolator.Hold
	if err := json.Unmarshal(value, &h); err != nil || h.Digest != d {
		k.Log.Warn().Err(err).Str("key", name).Msg("hold-refused")
		return
	}
	k.Isolator.LearnHold(h, true)
}

// run writes the decisions that the store lacks until ctx is done.
func (k *holdKeeper) run(ctx context.Context) error {
	for sleeper.Sleep(ctx, holdInterval) == nil {
		if k.Isolator.IsIdle() {
			continue
		}
		for _, h := range k.Isolator.Unstored(k.wait()) {
			if k.write(ctx, h) != nil {
				break
			}
		}
	}
	return nil
}

// wait returns how long this gateway leaves a hold that the store lacks to those before it. One
// whose place isn't known comes behind all others.
func (k *holdKeeper) wait() time.Duration {
	rank, spread := k.Rank(), time.Duration(0)
	if rank < 0 {
		if k.spread == 0 {
			k.spread = holdRankDelay + rand.N(maxHoldRank*holdRankDelay)
		}
		rank, spread = k.Count(), k.spread
	}
	first := min(rank, maxHoldRank)
	return holdInterval + time.Duration(first)*holdRankDelay + time.Duration(rank-first)*holdLaterDelay + spread
}

func (k *holdKeeper) write(ctx context.Context, h isolator.Hold) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	err := k.Put(ctx, holdKey(h.Digest), encodeHold(h))
	if err != nil {
		k.Log.Warn().Err(err).Stringer("digest", h.Digest).Msg("hold-not-written")
		return err
	}
	k.Isolator.Stored(h)
	return nil
}

// encodeHold returns the record of a hold; nil for a release, which deletes it.
func encodeHold(h isolator.Hold) []byte {
	if h.Released {
		return nil
	}
	// Marshal fails only on types that a Hold doesn't have.
	b, _ := json.Marshal(h)
	return b
}

// claim claims the next trial of a suspect, and reports whether no other gateway can have it.
func (k *holdKeeper) claim(ctx context.Context, d isolator.Digest) bool {
	h, ok := k.Isolator.NextTrial(d)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if err := k.PutAt(ctx, holdKey(d), encodeHold(h)); err != nil {
		k.Log.Info().Err(err).Stringer("digest", d).Msg("trial-not-claimed")
		return false
	}
	k.Isolator.LearnHold(h, true)
	k.Log.Info().Stringer("digest", d).Str("part", h.Part).Int("trial", h.Trials).Msg("trial-claimed")
	return true
}

// returnTrial makes a trial due again that was claimed and not made.
func (k *holdKeeper) returnTrial(d isolator.Digest) {
	if h, ok := k.Isolator.ReturnedTrial(d); ok {
		k.Isolator.LearnHold(h, false)
	}
}
