package distributor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// planCheckInterval is how often the list of members is compared with that of the
// plan.
const planCheckInterval = 500 * time.Millisecond

// run is the fetch of one version or one manifest.
type run struct {
	f       *Fetcher
	urlPath string
	// chunks holds the distinct digests, sizes their lengths in bytes, or -1 if
	// unknown.
	chunks []recorder.Digest
	sizes  []int64
	// accept verifies a body and takes ownership of the buffer. Its error is marked
	// errCorrupt for a wrong digest and errRejected if no source can help.
	accept func(d recorder.Digest, b []byte) error

	mu         sync.Mutex
	members    []Member
	cachedPlan *Plan
	checkedAt  time.Time

	pending pendingChunks
}

func newRun(f *Fetcher, m *recorder.Manifest) *run {
	r := &run{f: f, urlPath: "/v1/chunks/", accept: f.put}
	seen := make(map[recorder.Digest]bool, len(m.Chunks))
	for i, d := range m.Chunks {
		if !seen[d] {
			seen[d] = true
			r.chunks = append(r.chunks, d)
			r.sizes = append(r.sizes, m.ChunkLen(i))
		}
	}
	return r
}

func (f *Fetcher) put(d recorder.Digest, b []byte) error {
	err := f.Store.Put(d, b)
	if classifier.Of(err) == classifier.Invalid {
		return errors.Mark(err, errCorrupt)
	}
	return errors.Mark(err, errRejected)
}

// plan returns the ranking of the current members.
func (r *run) plan() *Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.f.Now()
	if r.cachedPlan != nil && now.Sub(r.checkedAt) < planCheckInterval {
		return r.cachedPlan
	}
	r.checkedAt = now
	if m := r.f.Members(); r.cachedPlan == nil || !slices.Equal(m, r.members) {
		r.members = m
		r.cachedPlan = Ranker{Self: r.f.Self, OriginRegion: r.f.OriginRegion}.Plan(m, r.chunks)
		r.f.setCrossRegionLimit(m, slices.Max(r.sizes))
	}
	return r.cachedPlan
}

// member returns the member with a name from the list of the current plan.
func (r *run) member(n recorder.Name) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.members, func(m Member) bool { return m.Instance == n })
	if i < 0 {
		return Member{}, false
	}
	return r.members[i], true
}

// setCrossRegionLimit sets this instance's share of CrossRegionRate. The burst
// admits the largest chunk.
func (f *Fetcher) setCrossRegionLimit(members []Member, largest int64) {
	if f.CrossRegionRate <= 0 {
		return
	}
	n := 0
	for _, m := range members {
		if m.Region == f.Self.Region && !m.Leaving {
			n++
		}
	}
	f.crossRegion.SetBurst(max(int(largest), f.crossRegion.Burst()))
	f.crossRegion.SetLimit(rate.Limit(f.CrossRegionRate / float64(max(n, 1))))
}

// idleCheckInterval is how often a worker that fetches only while the instance is idle
// checks that.
const idleCheckInterval = 50 * time.Millisecond

// maxLateChunks is the number of chunks of a queue that are waited for beside those in
// flight, because no source has them yet. A version usually lacks only a few chunks
// while its origin is unavailable.
const maxLateChunks = 16

// startWorkers starts n workers that fetch the chunks of one queue, and further ones that
// fetch while the instance is idle. They call done after each chunk. A worker goes on to the next chunk if none of one has arrived within
// LateDelay, so that chunks which no source has yet don't hold up those that peers have.
func (r *run) startWorkers(ctx context.Context, g *errgroup.Group, l Queue, n int, done func()) {
	queue := l.Chunks
	all := n
	if !l.Leader && r.f.IsIdle != nil {
		all = max(n, r.f.IdleParallel)
	}
	var next atomic.Int64
	late := make(chan struct{}, maxLateChunks)
	for w := range min(all, len(queue)) {
		g.Go(func() error {
			for {
				for w >= n && !r.f.IsIdle() && next.Load() < int64(len(queue)) {
					if err := sleep(ctx, idleCheckInterval); err != nil {
						return err
					}
				}
				i := int(next.Add(1)) - 1
				if i >= len(queue) {
					return nil
				}
				if r.f.Store.Has(r.chunks[queue[i]]) {
					done()
					continue
				}
				if err := r.fetchOrLeave(ctx, g, queue[i], late, done); err != nil {
					return err
				}
			}
		})
	}
}

// fetchOrLeave fetches one chunk and calls done. If no source sends the chunk within
// LateDelay, it returns while the fetch goes on in the group, once a place in late is
// free.
func (r *run) fetchOrLeave(ctx context.Context, g *errgroup.Group, chunk int, late chan struct{}, done func()) error {
	result := make(chan error, 1)
	t := newTask(r, chunk)
	g.Go(func() error {
		err := t.fetch(ctx)
		if err == nil {
			done()
		}
		result <- err
		return err
	})
	ticker := time.NewTicker(r.f.LateDelay)
	defer ticker.Stop()
	for isLate := false; !isLate; isLate = t.receiving.Load() == 0 {
		select {
		case err := <-result:
			return err
		case <-ticker.C:
		}
	}
	select {
	case err := <-result:
		return err
	case late <- struct{}{}:
		g.Go(func() error {
			defer func() { <-late }()
			err := <-result
			return err
		})
		return nil
	}
}
