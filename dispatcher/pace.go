package dispatcher

import "time"

// A moment in which an engine takes 2.5 times as long for 0.6 s costs it 0.36 s. An engine that
// is slow for longer is told from it by the times between events of the answers that end there. The
// time without a first token from which an engine is stalled (minStall, stallFactor), and the
// silence of a request (minSilence), exceed the usual time by more than the moment does.
const (
	// slowPace is the ratio of the time between events to the usual one from which an answer was
	// slow. A moment makes an answer of up to 1.08 s so slow.
	slowPace = 1.5
	// slowTime is the least time from the beginning of the first slow answer to the end of the last
	// one, without another between them, from which an engine is slow. All slow answers of one
	// moment lie within 1.56 s.
	slowTime = 2 * time.Second
	// paceMemory is how long an engine without answers remains slow. It then gets requests as
	// before, by which it is measured again.
	paceMemory = 3 * time.Second
	// maxPace bounds the factor on the work of an engine.
	maxPace = 4
	// minPaceEvents is the number of events of an answer from which it says something about its
	// engine: few gaps are long because of one prompt that was read between them.
	minPaceEvents = 4
)

// pace tells a slow engine from one that was slow for a moment. The zero value is an engine
// that isn't slow.
type pace struct {
	// slowSince is when the first of the last slow answers began; zero if the last answer wasn't
	// slow. lastAt is when the last one ended.
	slowSince, lastAt time.Time
	// ratio is the least ratio of these.
	ratio float64
	// isReported reports whether PaceChanged was last called because the engine is slow.
	isReported bool
}

// observe adds an answer whose events took ratio times the usual time.
func (s *pace) observe(ratio float64, begun, now time.Time) {
	if ratio < slowPace || now.Sub(s.lastAt) > paceMemory {
		s.slowSince, s.ratio = time.Time{}, 0
	}
	s.lastAt = now
	if ratio < slowPace {
		return
	}
	if s.slowSince.IsZero() || begun.Before(s.slowSince) {
		s.slowSince = begun
	}
	if s.ratio == 0 || ratio < s.ratio {
		s.ratio = ratio
	}
}

// isSlow reports whether the engine has been slow for longer than a moment.
func (s *pace) isSlow(now time.Time) bool {
	return !s.slowSince.IsZero() && s.lastAt.Sub(s.slowSince) > slowTime && now.Sub(s.lastAt) <= paceMemory
}

// factor returns the factor on the work of the engine, for services whose engines are chosen by work.
func (s *pace) factor(now time.Time) float64 {
	if !s.isSlow(now) {
		return 1
	}
	return min(s.ratio, maxPace)
}
