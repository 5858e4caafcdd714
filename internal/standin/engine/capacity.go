package engine

import (
	"math"
	"time"
)

// Capacity tells how many requests an engine carries at once, from a cold start
// on. The zero value sets no limit.
type Capacity struct {
	// Cold is the capacity at a cold start; at least 1 is used.
	Cold int
	// Warm is the highest capacity; 0 sets no limit.
	Warm int
	// GrowEvery is the number of completed requests that add 1; 0 adds none.
	GrowEvery int
	// WarmUp is the time in which the capacity grows from Cold to Warm without
	// any request; 0 adds none.
	WarmUp time.Duration
	// FailAfter is the time above capacity after which the engine fails, and
	// FailFor the time for which it then fails. Their defaults are 1 s and 3 s.
	FailAfter, FailFor time.Duration
}

// warmth is the state of a capacity over time.
type warmth struct {
	// since is the time of the last cold start.
	since time.Time
	// done counts the requests completed since then.
	done int
	// over is the time since which the engine is above its capacity, or zero.
	over time.Time
	// failing is the time until which the engine fails.
	failing time.Time
}

// limit returns the capacity at a time, or MaxInt for none.
func (c Capacity) limit(w warmth, now time.Time) int {
	if c.Warm <= 0 {
		return math.MaxInt
	}
	n := max(1, c.Cold)
	if c.GrowEvery > 0 {
		n += w.done / c.GrowEvery
	}
	if c.WarmUp > 0 {
		n += int(float64(c.Warm-c.Cold) * min(1, float64(now.Sub(w.since))/float64(c.WarmUp)))
	}
	return min(n, c.Warm)
}

// observe takes in the number of requests in flight and reports whether the
// engine begins to fail.
func (c Capacity) observe(w *warmth, now time.Time, inFlight int) bool {
	if inFlight <= c.limit(*w, now) {
		w.over = time.Time{}
		return false
	}
	if w.over.IsZero() {
		w.over = now
	}
	if now.Sub(w.over) < c.failAfter() || now.Before(w.failing) {
		return false
	}
	w.over = time.Time{}
	w.failing = now.Add(orDefault(c.FailFor, 3*time.Second))
	return true
}

// slowness returns the factor by which tokens take longer. It rises with the
// square of the excess, so that a full load on a cold engine is felt at once.
func (c Capacity) slowness(w warmth, now time.Time, inFlight int) float64 {
	n := c.limit(w, now)
	if inFlight <= n {
		return 1
	}
	f := float64(inFlight) / float64(n)
	return f * f
}

func (c Capacity) failAfter() time.Duration { return orDefault(c.FailAfter, time.Second) }

func orDefault(v, d time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return d
}
