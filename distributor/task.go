package distributor

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// task is the fetch of one chunk.
type task struct {
	*run
	chunk int
	// avoid holds the sources that sent a corrupted chunk.
	avoid map[netip.AddrPort]bool

	// receiving is the number of sources that are sending the chunk.
	receiving atomic.Int32

	mu sync.Mutex
	// roundPlan is the plan whose sources are asked in the current round.
	roundPlan *Plan
	// inCycle holds the instances that form a wait cycle with this one in the
	// current round.
	inCycle map[recorder.Name]bool
}

// isRankChanged reports whether the member list changed such that the sources up
// to and including s differ for the chunk.
func (t *task) isRankChanged(s Source) bool {
	p := t.plan()
	t.mu.Lock()
	defer t.mu.Unlock()
	if p == t.roundPlan {
		return false
	}
	old, now := t.roundPlan.Sources(t.chunk), p.Sources(t.chunk)
	upTo := func(l []Source) []Source { return l[:slices.Index(l, s)+1] }
	return !slices.Equal(upTo(old), upTo(now))
}

// currentSources makes the current plan that of the round and returns its sources.
func (t *task) currentSources() []Source {
	p := t.plan()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roundPlan = p
	return p.Sources(t.chunk)
}

// markCycle records the members of a cycle, which are not asked again in this round.
func (t *task) markCycle(c waitChain) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inCycle == nil {
		t.inCycle = make(map[recorder.Name]bool)
	}
	for _, n := range c {
		t.inCycle[n] = true
	}
}

func (t *task) isInCycle(s Source) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.Level != FromOrigin && t.inCycle[s.Member.Instance]
}

// event is a message of an attempt to its round.
type event struct {
	source Source
	// done reports whether the attempt ended, successfully if err is nil. Otherwise
	// the attempt continues, and err is the reason to ask the next source as well.
	done bool
	err  error
}

func newTask(r *run, chunk int) *task {
	return &task{run: r, chunk: chunk, avoid: make(map[netip.AddrPort]bool)}
}

// fetch fetches the chunk. It returns only when the chunk is in the store, the
// context ended or the store rejected the chunk.
func (t *task) fetch(ctx context.Context) error {
	f, d := t.f, t.chunks[t.chunk]
	defer f.Store.beginFetch(d)()
	defer t.pending.remove(t.chunk)
	for n := 0; ; n++ {
		ok, err := t.round(ctx)
		if ok || err != nil {
			return err
		}
		f.Store.setWaitChain(d, nil)
		wait := min(f.MaxBackoff, minBackoff<<min(n, 16))
		if err := sleep(ctx, time.Duration((0.5+f.Rand()/2)*float64(wait))); err != nil {
			return err
		}
	}
}

// round asks the sources in rank order until one delivers the chunk. A source that
// stalls continues while the next one is asked; the first to finish wins.
func (t *task) round(ctx context.Context) (bool, error) {
	f := t.f
	ctx, cancel := context.WithCancel(ctx)
	var attempts sync.WaitGroup
	defer attempts.Wait()
	defer cancel()
	t.inCycle = nil
	sources := t.currentSources()
	events := make(chan event)
	send := func(e event) {
		select {
		case events <- e:
		case <-ctx.Done():
		}
	}
	active := make(map[Source]bool)
	start := func() {
		for len(sources) > 0 {
			s := sources[0]
			sources = sources[1:]
			if active[s] || t.isInCycle(s) {
				continue
			}
			if s.Level != FromOrigin && (t.avoid[s.Member.Address] || !f.peers.admit(s.Member.Address, f.Now())) {
				continue
			}
			active[s] = true
			attempts.Go(func() {
				err := t.attempt(ctx, s, func(err error) { send(event{source: s, err: err}) })
				send(event{source: s, done: true, err: err})
			})
			return
		}
	}
	start()
	for len(active) > 0 {
		t.pending.setAsked(t.chunk, active)
		var e event
		select {
		case e = <-events:
		case <-ctx.Done():
			return false, context.Cause(ctx)
		}
		if e.done {
			delete(active, e.source)
			if e.err == nil {
				return true, nil
			}
			t.pending.setFailed(t.chunk, e.source, e.err)
			if errors.Is(e.err, errRejected) {
				return false, e.err
			}
			if errors.Is(e.err, errCorrupt) && e.source.Level != FromOrigin {
				t.avoid[e.source.Member.Address] = true
			}
		}
		if errors.Is(e.err, errPlanChanged) {
			sources = t.currentSources()
		} else {
			t.report(e)
		}
		start()
	}
	return false, ctx.Err()
}

// report logs and counts that the next source takes over. Lower-ranked instances are
// asked only after the origin failed, which has been reported by then.
func (t *task) report(e event) {
	if e.source.LowerRanked {
		return
	}
	t.f.takeovers.Add(1)
	t.f.Log.Info().Stringer("chunk", t.chunks[t.chunk]).Str("source", e.source.Name()).
		Stringer("source-level", e.source.Level).Bool("still-running", !e.done).Str("reason", e.err.Error()).Msg("takeover")
}
