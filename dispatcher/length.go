package dispatcher

import (
	"math"
	"time"
)

// minLengthSamples is the number of answers to requests with hints from which the lengths of a
// route are used. One hint alone may be off by several times.
const minLengthSamples = 8

// lengthWeight is the weight of one answer in the estimates of lengths. Hints are off by several
// times: with averageWeight the tokens of an event would be wrong by a tenth and more.
const lengthWeight = 0.005

// estimate is a moving average of a number and of its deviation. It weighs the first values
// alike, so that the first one doesn't prevail.
type estimate struct {
	mean, deviation float64
	count           int
}

func (e *estimate) observe(v float64) {
	e.count++
	w := max(lengthWeight, 1/float64(e.count))
	if e.count == 1 {
		e.mean = v
		return
	}
	e.deviation += w * (math.Abs(v-e.mean) - e.deviation)
	e.mean += w * (v - e.mean)
}

// answerLength is how long the answers of one route are. It takes effect only where requests
// of the route carry hints, since the tokens of an event are known by these alone, and where the
// lengths of the service vary widely (pool.uneven): elsewhere slots measure the work as well.
type answerLength struct {
	// events is the number of events of an answer, and gap the time between two of them in
	// nanoseconds.
	events, gap estimate
	// logTokens is the logarithm of the hint divided by the number of events. Hints are right at the
	// median, so that its average is that of the tokens of an event; its deviation is the error of
	// hints.
	logTokens estimate
	// logEvents is the deviation of the logarithm of the number of events, and isWide, sum and count what it
	// counts in pool.uneven.
	logEvents  logDeviation
	isWide     bool
	sum, count float64
	// isReported reports whether LengthsKnown was called.
	isReported bool
}

// isKnown reports whether enough was seen to use the lengths in place of the stated maximum.
func (a *answerLength) isKnown() bool {
	return a.logTokens.count >= minLengthSamples && a.gap.count > 0
}

// observe adds an answer that was served whole, with the time from its first event to its end.
func (a *answerLength) observe(r Request, events int, took time.Duration) {
	if events <= 0 {
		return
	}
	a.events.observe(float64(events))
	a.logEvents.observe(math.Log(float64(events)))
	if events > 1 {
		a.gap.observe(float64(took) / float64(events-1))
	}
	if h := r.hint(); h > 0 {
		a.logTokens.observe(math.Log(float64(h) / float64(events)))
	}
}

// tokensPerEvent returns the number of tokens of an event.
func (a *answerLength) tokensPerEvent() float64 { return math.Exp(a.logTokens.mean) }

// expect returns the number of events that the answer is expected to have, its deviation, and
// the largest number.
func (a *answerLength) expect(r Request) (events, deviation, maxEvents float64) {
	perEvent := a.tokensPerEvent()
	maxEvents = math.Inf(1)
	if r.Answer > 0 {
		maxEvents = max(1, float64(r.Answer)/perEvent)
	}
	events, deviation = a.events.mean, a.events.deviation
	if h := r.hint(); h > 0 {
		events = max(1, float64(h)/perEvent)
		deviation = events * math.Expm1(a.logTokens.deviation)
	}
	return min(events, maxEvents), deviation, maxEvents
}

// hint returns the caller's estimate of the length of the answer, bounded by the stated maximum;
// 0 if there is none. Without a maximum a wrong hint would have no bound, and isn't used.
func (r Request) hint() int { return min(r.Hint, r.Answer) }

// answerTime returns the time of the answer after its first part, and its deviation; by lengths if
// they are in effect for the service, and else by the stated maximum. The events of
// the stated maximum don't bound it alone: their number follows from the tokens of an event, which
// are wrong for all of the route if the hints of one account are. So the sure time never exceeds
// that by the time per token of the maximum, which needs no hints.
func (w *routeWork) answerTime(r Request, byLength bool) (mean, deviation float64) {
	l := &w.length
	if !byLength || !l.isKnown() {
		tokens := float64(max(1, r.Answer))
		return tokens * w.token.mean, tokens * w.token.deviation
	}
	events, spread, maxEvents := l.expect(r)
	mean = events * l.gap.mean
	deviation = math.Hypot(events*l.gap.deviation, spread*l.gap.mean)
	sure := maxEvents * (l.gap.mean + sureDeviations*l.gap.deviation)
	if r.Answer > 0 {
		sure = min(sure, float64(r.Answer)*(w.token.mean+sureDeviations*w.token.deviation))
		mean = min(mean, sure)
	}
	return mean, min(deviation, (sure-mean)/sureDeviations)
}

// CountEvent records that an event with data has arrived. It takes no lock.
func (l *Lease) CountEvent() { l.events.Add(1) }

// Events returns the number of events that have arrived.
func (l *Lease) Events() int { return int(l.events.Load()) }

// setLength sets the expected and the largest number of events of the answer. One that is resumed
// has an unknown part of them left.
func (l *Lease) setLength() {
	w := l.pool.work[l.request.Match.Route.Name]
	if w == nil || !l.pool.uneven.isActive || !w.length.isKnown() || l.request.Resumed {
		return
	}
	l.Expected, _, l.maxEvents = w.length.expect(l.request)
}
