package limiter

import (
	"math"
	"sync"
	"time"
)

// Defaults of Limiter.
const (
	DefaultCold = 2
	DefaultMax  = 256
)

// Rules of the limit.
const (
	// growBelow and fallAbove are multiples of the baseline. Below the first the
	// limit may grow, above the second it falls; the band between them is the
	// hysteresis. It is wider by the standard error of the comparison, once for
	// growth and twice for a fall, since the times of plain services vary widely. The limit that the second allows, halved, is below the load at
	// which the pace begins to rise, which keeps the baseline true.
	growBelow = 1.25
	fallAbove = 1.5
	// doubleBelow is the multiple of the baseline up to which the limit doubles:
	// the first sign of load ends that.
	doubleBelow = 1.1
	// jumpAbove is the multiple of the usual time to the first token that means
	// that the engine is cold.
	jumpAbove = 4
	// fallFactor and failFactor lower the limit. Failures mean that work was
	// lost, hence the stronger one.
	fallFactor = 0.8
	failFactor = 0.5
	// failRow is the number of failures without a success between them that means
	// that the engine ends all its work. A limit that is only halved would break
	// an engine again that became cold.
	failRow = 4
	// failShare of a window's samples are failures before the limit falls. One in
	// ten is more than single faulty requests cause.
	failShare = 0.1
	// minWindow is the smallest number of samples that are judged together.
	minWindow = 4
	// maxLearned is the number of samples that the baseline stands for at most.
	maxLearned = 200
	// warmBelow is the multiple of the baseline below which a window lowers it by
	// the weight warmWeight, whatever its load: the engine became warm.
	warmBelow  = 0.7
	warmWeight = 0.6
	// probeAfter is the number of windows without a new baseline after which the
	// limit is halved for one. The cost is about 1% of the throughput.
	probeAfter = 50
	// idle is the time without requests after which the limit is halved, and again
	// for each further one. An engine that was idle may have become cold.
	idle = time.Minute
)

// Limiter is the concurrency limit of one endpoint. The zero value is ready and
// has the defaults. Exported fields are set before the first call. All methods
// may be called concurrently.
type Limiter struct {
	// Cold is the limit of an endpoint that is not known to be warm; 0 means
	// DefaultCold.
	Cold int
	// Max bounds the limit; 0 means DefaultMax.
	Max int
	// GrowEvery is the number of completed requests that allow a rise of the limit
	// by 1 after a cold start; 0 sets no such bound. Without it the limit doubles,
	// which is more than an engine bears that warms up with each request.
	GrowEvery int
	// Now is the clock by which the limit ages while it is idle; nil means
	// time.Now.
	Now func() time.Time
	// Changed is called after the limit fell, was reset or is held at Cold for a
	// time, with the reason for the log line, outside the lock; nil is allowed.
	Changed func(limit int, reason string)

	mu sync.Mutex
	// limit is in [Cold, Max]; 0 before the first call.
	limit float64
	// inFlight never rises above the limit; it may be above after a fall.
	inFlight int
	// idleSince is when the last request in flight ended.
	idleSince time.Time
	// completed counts the requests completed since the cold start.
	completed int
	// failures counts the failures since the last success.
	failures int
	// slow is the limit from which growth is additive.
	slow float64
	// baseline is the logarithm of the pace in seconds under little load; its count
	// is 0 when it is unknown.
	baseline estimate
	// spread is the variance of the logarithms within a window.
	spread estimate
	// unlearned is the number of windows since the baseline was learned.
	unlearned int
	// resume is the limit after the probe in progress; 0 without one.
	resume float64
	// skip is the number of releases that are passed over after a change of the
	// limit, since they stand for requests that began under the former one.
	skip int
	// forgive tells that the failures among them are passed over too.
	forgive bool
	window  window
	firsts  firsts
	// streams are the requests in flight that sent a token.
	streams []*Stream
	gaps    gaps
	// held tells that the limit is Cold for as long as tokens are overdue; slowGaps
	// counts the overdue gaps since then, and confirm is the number of them from
	// which the engine is taken for cold.
	held              bool
	slowGaps, confirm int
}

func (l *Limiter) cold() float64 {
	if l.Cold <= 0 {
		return DefaultCold
	}
	return float64(l.Cold)
}

func (l *Limiter) most() float64 {
	if l.Max <= 0 {
		return max(DefaultMax, l.cold())
	}
	return max(float64(l.Max), l.cold())
}

func (l *Limiter) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}

// start sets the limit on the first call.
func (l *Limiter) start() {
	if l.limit == 0 {
		l.limit, l.slow = l.cold(), l.most()
	}
}

// Acquire counts a request in flight and reports whether there was room for it.
func (l *Limiter) Acquire() bool {
	l.mu.Lock()
	l.start()
	if l.inFlight == 0 {
		l.age()
	}
	reason := ""
	if len(l.streams) > 0 {
		reason = l.watch(l.now())
	}
	limit := l.bound()
	ok := l.inFlight < limit
	if ok {
		l.inFlight++
		l.window.peak = max(l.window.peak, l.inFlight)
	}
	l.mu.Unlock()
	l.report(limit, reason)
	return ok
}

// Release ends a request that Acquire counted, and judges it.
func (l *Limiter) Release(s Sample) {
	l.mu.Lock()
	l.start()
	if l.inFlight = max(l.inFlight-1, 0); l.inFlight == 0 {
		l.idleSince = l.now()
	}
	l.leave(s.Stream)
	reason := l.judge(s)
	if reason == "" && l.held {
		reason = l.watch(l.now())
	}
	limit := l.bound()
	l.mu.Unlock()
	l.report(limit, reason)
}

// Reset returns the limit to Cold and forgets the baseline, since the process
// behind the endpoint is another one. Requests in flight stay counted.
func (l *Limiter) Reset(reason string) {
	l.mu.Lock()
	l.start()
	l.chill()
	l.baseline, l.spread, l.firsts = estimate{}, estimate{}, firsts{}
	l.mu.Unlock()
	l.report(int(l.cold()), reason)
}

// Limit returns the number of requests taken at once.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
	return l.bound()
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// set changes the limit and begins a window.
func (l *Limiter) set(limit float64, forgive bool) {
	l.limit = min(max(limit, l.cold()), l.warm())
	l.skip, l.forgive = l.inFlight, forgive
	l.window = window{peak: l.inFlight}
}

// age halves the limit for each idle period that has passed.
func (l *Limiter) age() {
	if l.limit <= l.cold() || l.idleSince.IsZero() {
		return
	}
	periods := int(l.now().Sub(l.idleSince) / idle)
	if periods < 1 {
		return
	}
	l.slow, l.resume = l.most(), 0
	l.set(math.Ldexp(l.limit, -min(periods, 64)), true)
}

// chill sets the limit to Cold with fast growth ahead.
func (l *Limiter) chill() {
	l.slow, l.resume, l.unlearned, l.completed = l.most(), 0, 0, 0
	l.firsts.count = 0
	l.gaps, l.held = gaps{}, false
	// What follows is learned fast.
	l.baseline.count = min(l.baseline.count, 2*minWindow)
	l.set(l.cold(), true)
}
