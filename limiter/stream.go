package limiter

import (
	"math"
	"time"
)

// Parameters of the detection of cold engines by the gaps between tokens.
const (
	// overdueAbove is the multiple of the 90th percentile of the gaps above
	// which a token is overdue. Load alone raises the gap by a factor of 2. On
	// engines that stop for long prompts a factor of 3 cost 7% of the throughput
	// at overload and 5 cost 2%; at 8 twice as many requests arrive at a cold
	// engine.
	overdueAbove = 5
	// slowAbove is the multiple above which a gap is slow. Consecutive slow gaps
	// reveal a cold engine whose load is too low to make a single gap overdue.
	slowAbove = 3
	// minOverdue is the shortest gap that counts as slow or overdue, since
	// shorter ones come from process scheduling.
	minOverdue = 20 * time.Millisecond
	// minStreams is the number of streams from which their gaps are evaluated.
	minStreams = 2
	// confirmGapsPerStream is the number of overdue gaps per stream that
	// distinguishes a cold engine from one that stopped once, for example for a
	// long prompt or because its process was paused.
	confirmGapsPerStream = 2
	// coldSlowGaps is the number of consecutive slow gaps on most streams that
	// indicates a cold engine. A prompt that stops the engine causes one.
	coldSlowGaps = 4
	// firstGaps is the number of gaps whose maximum initializes the percentile,
	// and minGaps the number from which the percentile is valid. Until then it
	// moves learnFactor times as fast, so that one long gap among the first is
	// forgotten.
	firstGaps   = 16
	minGaps     = 256
	learnFactor = 64
	// p90Up and p90Down move the logarithm of the 90th percentile. They balance
	// where one gap in ten is above it. One overdue gap of each of 256 streams
	// raises it by a factor of 3 at most, so the gaps of a cold engine are still
	// overdue.
	p90Up, p90Down = 0.0045, 0.0005
)

// Stream tracks the tokens of one request in flight. The zero value is ready to
// use. Only the limiter reads and writes its fields.
type Stream struct {
	// index is the position in Limiter.streams; valid while listed is set.
	index  int
	listed bool
	// waitStart is when the wait for the next token began; zero while not
	// waiting.
	waitStart time.Time
	// overdue reports whether the last gap was overdue.
	overdue bool
	// slowGaps is the number of consecutive slow gaps up to now.
	slowGaps int
}

// tokenGaps estimates the distribution of the waits between tokens.
type tokenGaps struct {
	// p90 is an estimate of the 90th percentile of the gaps in seconds. The mean
	// is no use for engines that send several tokens at once.
	p90   float64
	count int
}

func (g *tokenGaps) add(d time.Duration) {
	t := d.Seconds()
	step := 1.0
	if g.count < minGaps {
		g.count++
		step = learnFactor
	}
	switch {
	case g.count <= firstGaps:
		g.p90 = max(g.p90, t)
	case t > g.p90:
		g.p90 *= math.Exp(step * p90Up)
	default:
		g.p90 *= math.Exp(-step * p90Down)
	}
}

// exceeds reports whether a gap is above the given multiple of the percentile.
// It is false until enough gaps are known.
func (g *tokenGaps) exceeds(d time.Duration, multiple float64) bool {
	return g.count >= minGaps && d >= minOverdue && d.Seconds() > multiple*g.p90
}

// Await records that the request now waits for its next token. Time in which
// the reader of the response delays it does not count as a gap.
func (l *Limiter) Await(s *Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.listed {
		s.waitStart = l.now()
	}
}

// Token records that the request received a token. The first call starts the
// tracking of the stream; the time before it depends on the prompt and is not
// evaluated.
func (l *Limiter) Token(s *Stream) {
	l.mu.Lock()
	l.initLimit()
	now := l.now()
	if !s.listed {
		s.listed, s.index = true, len(l.streams)
		l.streams = append(l.streams, s)
	} else if !s.waitStart.IsZero() {
		gap := now.Sub(s.waitStart)
		overdue := l.tokenGaps.exceeds(gap, overdueAbove)
		if overdue {
			l.overdueGaps++
		}
		// A single overdue gap is normal on engines that stop for a prompt.
		// Consecutive ones are what has to be detected, so they must not raise
		// the percentile, except at the cold limit, which cannot be lowered
		// further.
		if !overdue || !s.overdue || l.limit <= l.coldLimit() {
			l.tokenGaps.add(gap)
		}
		s.overdue = overdue
		if l.tokenGaps.exceeds(gap, slowAbove) {
			s.slowGaps++
		} else {
			s.slowGaps = 0
		}
	}
	s.waitStart = time.Time{}
	reason := ""
	if s.overdue || s.slowGaps >= coldSlowGaps || l.held {
		reason = l.checkStreams(now)
	}
	limit := l.effectiveLimit()
	l.mu.Unlock()
	l.notify(limit, reason)
}

// removeStream stops the tracking of the stream of a request that ended.
func (l *Limiter) removeStream(s *Stream) {
	if s == nil || !s.listed {
		return
	}
	n := len(l.streams) - 1
	last := l.streams[n]
	l.streams[s.index], last.index = last, s.index
	l.streams[n] = nil
	l.streams = l.streams[:n]
	s.listed = false
}

// effectiveLimit returns the number of requests that may be in flight at
// present.
func (l *Limiter) effectiveLimit() int {
	if l.held {
		// Gateways use the last reported limit for some seconds. A held endpoint
		// is therefore reported as full at its present load, since it is not yet
		// known whether it sustains less.
		return min(int(l.limit), max(l.inFlight, int(l.coldLimit())))
	}
	return int(l.limit)
}

// checkStreams holds the limit at Cold while the tokens of most streams are
// overdue, and starts cold if they stay overdue. It returns the reason for a
// change to a lower limit, or "".
func (l *Limiter) checkStreams(now time.Time) string {
	if l.limit <= l.coldLimit() {
		l.held = false
		return ""
	}
	n, overdue, slow := len(l.streams), 0, 0
	if !l.held && n < minStreams {
		return ""
	}
	for _, s := range l.streams {
		if s.overdue || !s.waitStart.IsZero() && l.tokenGaps.exceeds(now.Sub(s.waitStart), overdueAbove) {
			overdue++
		}
		if s.slowGaps >= coldSlowGaps {
			slow++
		}
	}
	switch {
	case n >= minStreams && 2*slow > n:
		l.coldStart()
		return "token-gap-jump"
	case !l.held:
		if 2*overdue > n {
			l.held, l.overdueGaps, l.confirmGaps = true, 0, confirmGapsPerStream*n
			return "tokens-overdue"
		}
	case n == 0 || l.overdueGaps >= l.confirmGaps:
		// Without a stream nothing can show that the engine is warm.
		l.coldStart()
		return "token-gap-jump"
	case 2*overdue < n:
		l.held = false
	}
	return ""
}

func (l *Limiter) notify(limit int, reason string) {
	if reason != "" && l.Changed != nil {
		l.Changed(limit, reason)
	}
}
