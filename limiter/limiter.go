package limiter

import (
	"math"
	"sync"
	"time"
)

// Default values of the fields of Limiter.
const (
	DefaultCold = 2
	DefaultMax  = 256
)

// Parameters of the adaptation.
const (
	// growBelow and shrinkAbove are multiples of the baseline. Below the first
	// the limit may grow, above the second it falls; the band between them is
	// the hysteresis. It is widened by the standard error of the comparison,
	// once for growth and twice for a fall, since the times of plain services
	// vary widely. Half of the limit that shrinkAbove allows is below the load
	// at which the latency begins to rise, so windows at half of the limit give
	// a valid baseline.
	growBelow   = 1.25
	shrinkAbove = 1.5
	// doubleBelow is the multiple of the baseline up to which the limit doubles.
	// The first sign of load ends slow start.
	doubleBelow = 1.1
	// coldStartAbove is the multiple of the average time to the first token
	// above which the engine is considered cold.
	coldStartAbove = 4
	// shrinkFactor lowers the limit after high latency, failureFactor after
	// failures. The latter is stronger because work was lost.
	shrinkFactor  = 0.8
	failureFactor = 0.5
	// failureStreak is the number of failures without a success between them
	// after which the engine is assumed to fail all its work. Halving the limit
	// would not be enough for an engine that became cold: it would be overloaded
	// again.
	failureStreak = 4
	// failureRate is the share of failures in a window from which the limit
	// falls. One in ten is more than single faulty requests cause.
	failureRate = 0.1
	// minWindow is the minimum number of samples of a window.
	minWindow = 4
	// maxBaselineSamples bounds the number of samples that an estimate is
	// weighted with, so that it follows changes.
	maxBaselineSamples = 200
	// warmBelow is the multiple of the baseline below which a window at any load
	// lowers the baseline, with the weight warmWeight: the engine has warmed up.
	warmBelow  = 0.7
	warmWeight = 0.6
	// probeAfterWindows is the number of windows without an update of the
	// baseline after which the limit is halved for one window. The cost is about
	// 1% of the throughput.
	probeAfterWindows = 50
	// idlePeriod is the time without requests after which the limit is halved,
	// and again after each further period. An idle engine may have become cold.
	idlePeriod = time.Minute
)

// Limiter is the adaptive concurrency limit of one endpoint. The zero value is
// ready to use and has the defaults. Exported fields must be set before the
// first call. All methods are safe for concurrent use.
type Limiter struct {
	// Cold is the limit of an endpoint that is not known to be warm; 0 means
	// DefaultCold.
	Cold int
	// Max is the upper bound of the limit; 0 means DefaultMax.
	Max int
	// GrowEvery is the number of completed requests after which the limit may be
	// higher by 1 after a cold start; 0 means no such bound. Without it the
	// limit doubles, which overloads an engine that warms up with each request.
	GrowEvery int
	// Now is the clock used for idle periods and for gaps between tokens; nil
	// means time.Now.
	Now func() time.Time
	// Changed, if not nil, is called without the lock after the limit fell, was
	// reset or is temporarily held at Cold. The reason is meant for the log.
	Changed func(limit int, reason string)

	mu sync.Mutex
	// limit is in [Cold, Max], or 0 before the first call.
	limit float64
	// inFlight does not rise above the limit, but may exceed it after the limit
	// fell.
	inFlight int
	// idleSince is when the last request in flight ended.
	idleSince time.Time
	// completed counts the requests completed since the cold start.
	completed int
	// failures counts the failures since the last success.
	failures int
	// slowStartThreshold is the limit from which growth is additive.
	slowStartThreshold float64
	// baseline is the logarithm of the latency in seconds under little load; its
	// count is 0 while it is unknown.
	baseline estimate
	// spread is the variance of the logarithms of the latency within a window.
	spread estimate
	// windowsSinceBaseline counts the windows since the baseline was updated.
	windowsSinceBaseline int
	// resumeLimit is the limit to return to after the probe in progress; 0
	// without a probe.
	resumeLimit float64
	// skipReleases is the number of releases to skip after a change of the
	// limit, since they belong to requests that began under the former limit.
	skipReleases int
	// skipFailures reports whether failures among the skipped releases are
	// ignored too.
	skipFailures bool
	window       window
	firstTokens  firstTokens
	// streams holds the requests in flight that have sent a token.
	streams   []*Stream
	tokenGaps tokenGaps
	// held reports whether the limit is temporarily Cold because tokens are
	// overdue. overdueGaps counts the overdue gaps since then; from confirmGaps
	// on the engine is considered cold.
	held                     bool
	overdueGaps, confirmGaps int
}

func (l *Limiter) coldLimit() float64 {
	if l.Cold <= 0 {
		return DefaultCold
	}
	return float64(l.Cold)
}

func (l *Limiter) maxLimit() float64 {
	if l.Max <= 0 {
		return max(DefaultMax, l.coldLimit())
	}
	return max(float64(l.Max), l.coldLimit())
}

func (l *Limiter) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}

// initLimit sets the initial limit on the first call.
func (l *Limiter) initLimit() {
	if l.limit == 0 {
		l.limit, l.slowStartThreshold = l.coldLimit(), l.maxLimit()
	}
}

// Acquire counts one more request in flight if the limit allows it, and reports
// whether it did.
func (l *Limiter) Acquire() bool {
	l.mu.Lock()
	l.initLimit()
	if l.inFlight == 0 {
		l.decayIdle()
	}
	reason := ""
	if len(l.streams) > 0 {
		reason = l.checkStreams(l.now())
	}
	limit := l.effectiveLimit()
	ok := l.inFlight < limit
	if ok {
		l.inFlight++
		l.window.peakInFlight = max(l.window.peakInFlight, l.inFlight)
	}
	l.mu.Unlock()
	l.notify(limit, reason)
	return ok
}

// Release ends a request that Acquire counted and adapts the limit to its
// sample.
func (l *Limiter) Release(s Sample) {
	l.mu.Lock()
	l.initLimit()
	if l.inFlight = max(l.inFlight-1, 0); l.inFlight == 0 {
		l.idleSince = l.now()
	}
	l.removeStream(s.Stream)
	reason := l.addSample(s)
	if reason == "" && l.held {
		reason = l.checkStreams(l.now())
	}
	limit := l.effectiveLimit()
	l.mu.Unlock()
	l.notify(limit, reason)
}

// Reset returns the limit to Cold and forgets the baseline. It is called when
// the process behind the endpoint was replaced. Requests in flight stay
// counted.
func (l *Limiter) Reset(reason string) {
	l.mu.Lock()
	l.initLimit()
	l.coldStart()
	l.baseline, l.spread, l.firstTokens = estimate{}, estimate{}, firstTokens{}
	l.mu.Unlock()
	l.notify(int(l.coldLimit()), reason)
}

// Limit returns the number of requests that may be in flight at once.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initLimit()
	return l.effectiveLimit()
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// setLimit changes the limit within its bounds and begins a new window.
func (l *Limiter) setLimit(limit float64, skipFailures bool) {
	l.limit = min(max(limit, l.coldLimit()), l.rampLimit())
	l.skipReleases, l.skipFailures = l.inFlight, skipFailures
	l.window = window{peakInFlight: l.inFlight}
}

// decayIdle halves the limit for each idle period since the last request ended.
func (l *Limiter) decayIdle() {
	if l.limit <= l.coldLimit() || l.idleSince.IsZero() {
		return
	}
	periods := int(l.now().Sub(l.idleSince) / idlePeriod)
	if periods < 1 {
		return
	}
	l.slowStartThreshold, l.resumeLimit = l.maxLimit(), 0
	l.setLimit(math.Ldexp(l.limit, -min(periods, 64)), true)
}

// coldStart sets the limit to Cold and restarts slow start.
func (l *Limiter) coldStart() {
	l.slowStartThreshold, l.resumeLimit, l.windowsSinceBaseline, l.completed = l.maxLimit(), 0, 0, 0
	l.firstTokens.count = 0
	l.tokenGaps, l.held = tokenGaps{}, false
	// A low count gives the next samples a high weight in the baseline.
	l.baseline.count = min(l.baseline.count, 2*minWindow)
	l.setLimit(l.coldLimit(), true)
}
