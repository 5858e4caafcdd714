package limiter

import (
	"math"
	"slices"
)

// window accumulates the samples that are evaluated together. It uses the
// logarithms of the latencies, so that a few long requests do not dominate.
type window struct {
	// count is the number of samples with a latency, failed that of failures.
	count, failed int
	// sum and squares are the sums of the logarithms and of their squares.
	sum, squares float64
	// fast is the number of samples whose latency allows growth.
	fast int
	// peakInFlight is the highest number of requests in flight.
	peakInFlight int
	// inFlightSum is the sum of the requests in flight at the end of each sample
	// in count.
	inFlightSum int
}

func (w *window) add(latency float64) {
	x := math.Log(latency)
	w.count++
	w.sum += x
	w.squares += x * x
}

// mean returns the mean of the logarithms. count must be at least 1.
func (w *window) mean() float64 { return w.sum / float64(w.count) }

// variance returns the variance of the logarithms. count must be at least 2.
func (w *window) variance() float64 {
	n := float64(w.count)
	return max((w.squares-w.sum*w.sum/n)/(n-1), 0)
}

// estimate is a mean and the number of samples that it is weighted with.
type estimate struct{ value, count float64 }

// add updates the estimate with the mean of n samples. The weight of older
// samples is bounded by most, which makes them decay.
func (e *estimate) add(value, n, most float64) {
	e.count = min(e.count+n, most)
	e.value += (value - e.value) * min(n/e.count, 1)
}

// firstTokens tracks the times to the first token.
type firstTokens struct {
	// average is an exponentially weighted mean in seconds; 0 before the first
	// sample.
	average float64
	// latest is a ring of the newest times; count is the number of times added.
	// If half of the prompts are not cached, 16 such prompts come in a row once
	// in 65,536 samples; 8 would once in 256.
	latest [16]float64
	count  int
}

// averageWeight is the weight of the newest sample in the average. About a
// hundred samples make up most of it, which evens out cached and uncached
// prompts.
const averageWeight = 0.02

// add stores one time and reports whether all the latest times are far above
// the average. At the cold limit, which cannot be lowered further, the average
// follows faster.
func (f *firstTokens) add(t float64, cold bool) bool {
	f.latest[f.count%len(f.latest)] = t
	f.count++
	if f.average == 0 {
		f.average = t
	}
	jump := f.count >= len(f.latest) && slices.Min(f.latest[:]) > coldStartAbove*f.average
	delta := averageWeight * (t - f.average)
	if !cold {
		// One sample raises the average by 1% at most, so that the latest times
		// are compared with the average before the jump.
		delta = min(delta, 0.01*f.average)
	}
	f.average += delta
	return jump
}
