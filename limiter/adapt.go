package limiter

import "math"

// addSample adds the sample to the window and adapts the limit at the end of
// the window. It returns the reason why the limit fell, or "".
func (l *Limiter) addSample(s Sample) string {
	w := &l.window
	// Long requests that began under the former limit may end after skipReleases
	// other ones, so samples taken while the endpoint is at or above its limit
	// are skipped as well.
	skipped := l.skipReleases > 0 || l.inFlight >= int(l.limit)
	failureSkipped := skipped && l.skipFailures
	l.skipReleases = max(l.skipReleases-1, 0)
	if s.Failed {
		if l.failures++; l.failures == failureStreak && l.limit > l.coldLimit() {
			l.coldStart()
			return "failures-only"
		}
		if failureSkipped {
			return ""
		}
		w.failed++
		if size := l.windowSize(); w.failed >= 2 && float64(w.failed) >= failureRate*float64(size) {
			return l.shrink(failureFactor, "failures")
		}
		return ""
	}
	if s.latency() > 0 {
		l.failures = 0
	}
	if !failureSkipped && s.latency() > 0 {
		l.completed++
	}
	cold := l.limit <= l.coldLimit()
	if t := s.FirstToken.Seconds(); t > 0 && !failureSkipped && l.firstTokens.add(t, cold) && !cold {
		l.coldStart()
		return "first-token-jump"
	}
	latency := s.latency()
	if skipped || latency == 0 {
		return ""
	}
	w.add(latency)
	if math.Log(latency) <= l.baseline.value+math.Log(growBelow) {
		w.fast++
	}
	w.inFlightSum += l.inFlight + 1
	if w.count+w.failed < l.windowSize() {
		return ""
	}
	return l.closeWindow()
}

// windowSize returns the number of samples of a window.
func (l *Limiter) windowSize() int { return max(minWindow, int(l.limit)) }

// closeWindow evaluates a complete window and begins the next one. It returns
// the reason why the limit fell, or "".
func (l *Limiter) closeWindow() string {
	w := l.window
	l.window = window{peakInFlight: l.inFlight}
	if w.count < 2 {
		return ""
	}
	mean, n := w.mean(), float64(w.count)
	l.spread.add(w.variance(), n, maxBaselineSamples)
	if l.baseline.count == 0 {
		l.baseline = estimate{mean, n}
	}
	lightLoad := l.resumeLimit > 0 || 2*w.peakInFlight <= int(l.limit) || l.limit <= l.coldLimit()
	above := mean - l.baseline.value
	se := math.Sqrt(l.spread.value * (1/n + 1/l.baseline.count))
	warmedUp := above < math.Log(warmBelow)-2*se
	l.windowsSinceBaseline++
	switch {
	case warmedUp:
		// The concurrency that a cold engine sustained is no bound for a warm
		// one, so slow start begins again.
		l.baseline = estimate{l.baseline.value + warmWeight*above, n}
		l.windowsSinceBaseline, l.slowStartThreshold = 0, l.maxLimit()
	case lightLoad:
		l.baseline.add(mean, n, maxBaselineSamples)
		l.windowsSinceBaseline = 0
	}
	switch {
	case l.resumeLimit > 0:
		l.setLimit(l.resumeLimit, false)
		l.resumeLimit = 0
	case above > math.Log(shrinkAbove)+2*se && !lightLoad && 4*w.fast < w.count:
		// Load slows down all requests. Where a quarter is as fast as before, the
		// slow ones are requests of another kind.
		return l.shrink(shrinkFactor, "pace")
	case above > math.Log(growBelow)+se:
		l.slowStartThreshold = min(l.slowStartThreshold, l.limit)
	case !warmedUp && w.peakInFlight >= int(l.limit):
		// While the engine warms up, the baseline is not known well enough to
		// grow.
		l.grow(above <= math.Log(doubleBelow)+se && 4*w.inFlightSum >= 3*w.count*int(l.limit))
	}
	if l.windowsSinceBaseline >= probeAfterWindows {
		l.windowsSinceBaseline = 0
		l.resumeLimit = l.limit
		l.setLimit(l.limit/2, true)
	}
	return ""
}

// grow raises the limit. It doubles it during slow start where double is set,
// which means that the limit was used throughout a window without a sign of
// load; otherwise it adds one.
func (l *Limiter) grow(double bool) {
	if double && l.limit < l.slowStartThreshold {
		l.setLimit(min(l.limit*2, l.slowStartThreshold), false)
		return
	}
	l.limit = min(l.limit+1, l.rampLimit())
}

// rampLimit returns the highest limit that GrowEvery allows after the requests
// completed so far.
func (l *Limiter) rampLimit() float64 {
	if l.GrowEvery <= 0 {
		return l.maxLimit()
	}
	return min(l.coldLimit()+float64(l.completed/l.GrowEvery), l.maxLimit())
}

// shrink lowers the limit by the factor and ends slow start. It returns the
// reason where the limit fell, or "".
func (l *Limiter) shrink(factor float64, reason string) string {
	before := l.limit
	l.setLimit(max(l.limit, l.resumeLimit)*factor, true)
	l.slowStartThreshold, l.resumeLimit = l.limit, 0
	if int(l.limit) >= int(before) {
		return ""
	}
	return reason
}
