package limiter

import "math"

// judge adds the sample to the window and adapts the limit at its end. It
// returns the reason for a fall or "".
func (l *Limiter) judge(s Sample) string {
	w := &l.window
	// Long requests of the former limit may outlast as many releases.
	passed := l.skip > 0 || l.inFlight >= int(l.limit)
	forgiven := passed && l.forgive
	l.skip = max(l.skip-1, 0)
	if s.Failed {
		if l.failures++; l.failures == failRow && l.limit > l.cold() {
			l.chill()
			return "failures-only"
		}
		if forgiven {
			return ""
		}
		w.failed++
		if size := l.size(); w.failed >= 2 && float64(w.failed) >= failShare*float64(size) {
			return l.fall(failFactor, "failures")
		}
		return ""
	}
	if s.pace() > 0 {
		l.failures = 0
	}
	if !forgiven && s.pace() > 0 {
		l.completed++
	}
	cold := l.limit <= l.cold()
	if t := s.FirstToken.Seconds(); t > 0 && !forgiven && l.firsts.add(t, cold) && !cold {
		l.chill()
		return "first-token-jump"
	}
	pace := s.pace()
	if passed || pace == 0 {
		return ""
	}
	w.add(pace)
	if math.Log(pace) <= l.baseline.value+math.Log(growBelow) {
		w.fast++
	}
	w.load += l.inFlight + 1
	if w.count+w.failed < l.size() {
		return ""
	}
	return l.conclude()
}

// size returns the number of samples of a window.
func (l *Limiter) size() int { return max(minWindow, int(l.limit)) }

// conclude judges a complete window and begins the next.
func (l *Limiter) conclude() string {
	w := l.window
	l.window = window{peak: l.inFlight}
	if w.count < 2 {
		return ""
	}
	mean, n := w.mean(), float64(w.count)
	l.spread.add(w.variance(), n, maxLearned)
	if l.baseline.count == 0 {
		l.baseline = estimate{mean, n}
	}
	light := l.resume > 0 || 2*w.peak <= int(l.limit) || l.limit <= l.cold()
	above := mean - l.baseline.value
	se := math.Sqrt(l.spread.value * (1/n + 1/l.baseline.count))
	warmed := above < math.Log(warmBelow)-2*se
	l.unlearned++
	switch {
	case warmed:
		// What the engine bore before says little.
		l.baseline = estimate{l.baseline.value + warmWeight*above, n}
		l.unlearned, l.slow = 0, l.most()
	case light:
		l.baseline.add(mean, n, maxLearned)
		l.unlearned = 0
	}
	switch {
	case l.resume > 0:
		l.set(l.resume, false)
		l.resume = 0
	case above > math.Log(fallAbove)+2*se && !light && 4*w.fast < w.count:
		// Load slows all requests. Where a quarter is as fast as before, the others
		// are another kind of request.
		return l.fall(fallFactor, "pace")
	case above > math.Log(growBelow)+se:
		l.slow = min(l.slow, l.limit)
	case !warmed && w.peak >= int(l.limit):
		// While the engine warms, the baseline is not known well enough to grow.
		l.grow(above <= math.Log(doubleBelow)+se && 4*w.load >= 3*w.count*int(l.limit))
	}
	if l.unlearned >= probeAfter {
		l.unlearned = 0
		l.resume = l.limit
		l.set(l.limit/2, true)
	}
	return ""
}

// grow raises the limit: to the double where it was used throughout a window
// without a sign of load, otherwise by one.
func (l *Limiter) grow(double bool) {
	if double && l.limit < l.slow {
		l.set(min(l.limit*2, l.slow), false)
		return
	}
	l.limit = min(l.limit+1, l.warm())
}

// warm returns the highest limit that the requests completed so far allow.
func (l *Limiter) warm() float64 {
	if l.GrowEvery <= 0 {
		return l.most()
	}
	return min(l.cold()+float64(l.completed/l.GrowEvery), l.most())
}

func (l *Limiter) fall(factor float64, reason string) string {
	before := l.limit
	l.set(max(l.limit, l.resume)*factor, true)
	l.slow, l.resume = l.limit, 0
	if int(l.limit) >= int(before) {
		return ""
	}
	return reason
}
