package distributor

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// pendingChunks holds what is known of the chunks that are being fetched. The zero value is empty.
type pendingChunks struct {
	mu     sync.Mutex
	chunks map[int]pendingChunk
}

// pendingChunk is the state of the fetch of one chunk.
type pendingChunk struct {
	since time.Time
	// asked holds the names of the sources that are being asked.
	asked []string
	// failed names the source that failed last, and reason is its error.
	failed, reason string
}

// change changes the state of a chunk, which is added if it is missing.
func (p *pendingChunks) change(chunk int, f func(c *pendingChunk)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chunks == nil {
		p.chunks = make(map[int]pendingChunk)
	}
	c, ok := p.chunks[chunk]
	if !ok {
		c.since = time.Now()
	}
	f(&c)
	p.chunks[chunk] = c
}

func (p *pendingChunks) setAsked(chunk int, sources map[Source]bool) {
	p.change(chunk, func(c *pendingChunk) {
		c.asked = c.asked[:0]
		for s := range sources {
			c.asked = append(c.asked, s.Name())
		}
	})
}

func (p *pendingChunks) setFailed(chunk int, s Source, err error) {
	p.change(chunk, func(c *pendingChunk) { c.failed, c.reason = s.Name(), err.Error() })
}

func (p *pendingChunks) remove(chunk int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.chunks, chunk)
}

// oldest returns the number and the state of the chunk that has been fetched for the longest time;
// false if there is none.
func (p *pendingChunks) oldest() (chunk int, c pendingChunk, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.chunks {
		if !ok || o.since.Before(c.since) {
			chunk, c, ok = i, o, true
		}
	}
	c.asked = slices.Sorted(slices.Values(c.asked))
	return chunk, c, ok
}

// logPending logs at PendingInterval what a fetch lacks and whom it asks, until the returned function
// is called or ctx is done. A fetch that can't succeed shows no other sign.
func (r *run) logPending(ctx context.Context, version string) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	began := time.Now()
	go func() {
		for sleep(ctx, r.f.PendingInterval) == nil {
			r.logOldest(version, time.Since(began))
		}
	}()
	return cancel
}

func (r *run) logOldest(version string, lasts time.Duration) {
	chunk, c, ok := r.pending.oldest()
	if !ok {
		return
	}
	missing := 0
	for _, d := range r.chunks {
		if !r.f.Store.Has(d) {
			missing++
		}
	}
	r.f.Log.Info().Str("version", version).Dur("since-ms", lasts).Int("missing", missing).Int("of", len(r.chunks)).
		Stringer("chunk", r.chunks[chunk]).Str("asked", strings.Join(c.asked, ",")).
		Str("failed", c.failed).Str("reason", c.reason).Msg("fetch-pending")
}
