package distributor

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// rateSamples is the number of chunks whose rate is remembered. The second highest
	// counts: most sources of a sound link may be slow, and one chunk may have waited in
	// a buffer while the process was paused.
	rateSamples = 5
	// rateMaxAge is the age up to which a rate is used beside newer ones, and
	// lastRateMaxAge that of the last rates where there are no newer ones.
	rateMaxAge     = 3 * time.Second
	lastRateMaxAge = time.Minute
	// minWideChunks is the number of chunks that must fit in Link.Bound for requests to be
	// held at the sources. A held request may be answered at any time.
	minWideChunks = 3
	// silenceFactor is the ratio of the time after which a request without a response isn't
	// counted any more to that in which the response is due. The source may be gone.
	silenceFactor = 2
	// minTailShare is the part of a chunk that must be left after a read for the rate to be
	// measured from that read on. Less may come late by chance.
	minTailShare = 0.25
	// maxLinger limits the time for which the bytes of a chunk that was given up count as
	// still on their way.
	maxLinger = time.Second
)

// Link bounds the bytes that this instance has asked for and not yet got by the time
// that they take at the measured rate, so that other traffic doesn't wait behind them. The
// bytes of a request that was given up count until they have most likely arrived. The zero
// value doesn't bound them. Fields are set before the first use.
type Link struct {
	// Bound is the time that the bytes may take; one chunk may take longer. 0 means no
	// bound.
	Bound time.Duration
	// Now returns the current time; nil stands for time.Now.
	Now func() time.Time

	mu sync.Mutex
	// expected is the number of bytes asked for that haven't arrived, and arrived that of
	// all bytes that have.
	expected, arrived int64
	// samples holds the rates of the last chunks, the newest last.
	samples []rateSample
	// freed is closed when expected falls; nil if nobody waits.
	freed chan struct{}
}

// rateSample is the rate in bytes per second while a chunk arrived.
type rateSample struct {
	at   time.Time
	rate float64
}

// claim is the part of a Link that a request for a chunk uses.
type claim struct {
	link *Link
	// narrow reports whether the link carries so few chunks within the bound that the request
	// must not be held at the source, as a held one may be answered at any time.
	narrow bool
	// isPeer reports whether the bytes come from a peer. The origin serves many instances
	// at once, so its rate tells nothing about the link.
	isPeer bool
	// size is the size of the chunk, and left the number of bytes that haven't arrived;
	// counted, whether they are part of Link.expected.
	size, left int64
	counted    bool
	begun      bool
	// marks are the times from which the rate is measured, the first one the beginning of the
	// response. Each read after which at least minTailShare of the chunk is left adds one.
	// There is none if the rate isn't measured.
	marks  []mark
	expiry *time.Timer
}

// mark is a time and the value of Link.arrived then.
type mark struct {
	at      time.Time
	arrived int64
}

func (l *Link) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

// Delay returns the estimated time until all bytes that were asked for have arrived.
func (l *Link) Delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay()
}

func (l *Link) delay() time.Duration {
	r := l.rate()
	if r == 0 {
		return 0
	}
	return time.Duration(float64(l.expected) / r * float64(time.Second))
}

// rate returns the second highest of the recent rates, or of the last ones if nothing has
// arrived since; 0 if there is none.
func (l *Link) rate() float64 {
	if r := l.rateOf(rateMaxAge); r > 0 {
		return r
	}
	return l.rateOf(lastRateMaxAge)
}

// rateOf returns the second highest of the rates up to an age.
func (l *Link) rateOf(age time.Duration) float64 {
	now := l.now()
	var recent []float64
	for _, s := range l.samples {
		if now.Sub(s.at) <= age {
			recent = append(recent, s.rate)
		}
	}
	if len(recent) == 0 {
		return 0
	}
	slices.Sort(recent)
	return recent[max(0, len(recent)-2)]
}

// fit returns the number of bytes that arrive within the bound.
func (l *Link) fit() int64 { return int64(l.rate() * l.Bound.Seconds()) }

// claim waits until a chunk of a peer may be asked for.
func (l *Link) claim(ctx context.Context, size int64) (*claim, error) {
	for {
		c, freed := l.tryClaim(size)
		if c != nil {
			return c, nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// tryClaim returns a claim, or a channel that is closed when bytes have arrived.
func (l *Link) tryClaim(size int64) (*claim, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &claim{link: l, isPeer: true, size: size, left: size}
	if l.Bound <= 0 || size <= 0 {
		return c, nil
	}
	fit := l.fit()
	if l.expected > 0 && l.expected+size > fit {
		if l.freed == nil {
			l.freed = make(chan struct{})
		}
		return nil, l.freed
	}
	if c.narrow = fit < minWideChunks*size; c.narrow {
		c.countUntilSilence()
	}
	return c, nil
}

// originClaim returns the claim of a read from the origin, which doesn't wait: peers wait for
// what this instance reads there. Until the rate is known it isn't counted, as the
// origin may be slow while peers aren't.
func (l *Link) originClaim(size int64) *claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &claim{link: l, size: size, left: size}
	if l.Bound > 0 && size > 0 && l.rate() > 0 && l.fit() < minWideChunks*size {
		c.countUntilSilence()
	}
	return c
}

// countUntilSilence counts the bytes from the request on, unless there is no response.
func (c *claim) countUntilSilence() {
	c.count()
	c.expiry = time.AfterFunc(silenceFactor*max(c.link.Bound, c.link.delay()), c.expire)
}

func (c *claim) count() {
	if !c.counted {
		c.counted = true
		c.link.expected += c.left
	}
}

func (c *claim) uncount() {
	if c.counted {
		c.counted = false
		c.link.expected -= c.left
		c.link.wake()
	}
}

func (l *Link) wake() {
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// expire stops counting a request to which there is no response.
func (c *claim) expire() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if !c.begun {
		c.uncount()
	}
}

// begin records that the chunk begins to arrive.
func (c *claim) begin() {
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	c.begun = true
	if l.Bound <= 0 || c.left <= 0 {
		return
	}
	if c.isPeer {
		c.mark()
	}
	if c.isPeer || l.rate() > 0 {
		c.count()
	}
}

// arrive records that n bytes of the chunk arrived.
func (c *claim) arrive(n int) {
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	b := min(int64(n), c.left)
	l.arrived += b
	c.left -= b
	if c.counted {
		l.expected -= b
		l.wake()
	}
	switch {
	case len(c.marks) == 0 || b <= 0:
	case c.left == 0:
		l.observe(c)
	case float64(c.left) >= minTailShare*float64(c.size):
		c.mark()
	}
}

func (c *claim) mark() { c.marks = append(c.marks, mark{c.link.now(), c.link.arrived}) }

// observe records the lowest of the rates since the marks of a claim. Bytes that arrive at
// once may have waited in a buffer, so a rate that includes them may be too high. The time to
// the first byte doesn't count, as the source may be slow.
func (l *Link) observe(c *claim) {
	now := l.now()
	low := math.Inf(1)
	for _, m := range c.marks {
		if d := now.Sub(m.at).Seconds(); d > 0 {
			low = min(low, float64(l.arrived-m.arrived)/d)
		}
	}
	if !math.IsInf(low, 1) {
		l.samples = append(l.samples, rateSample{now, low})
		l.samples = l.samples[max(0, len(l.samples)-rateSamples):]
	}
}

// end ends the claim. If the request was given up, bytes that may be on their way count
// for the time that they take.
func (c *claim) end(givenUp bool) {
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
	}
	c.begun = false
	if d := min(maxLinger, l.delay()); givenUp && c.counted && d > 0 {
		time.AfterFunc(d, c.expire)
		return
	}
	c.uncount()
}
