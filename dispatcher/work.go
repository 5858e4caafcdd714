package dispatcher

import (
	"math"
	"time"
)

const (
	// averageWeight is the weight of one measurement in the averages.
	averageWeight = 0.05
	// usualDeviations is the number of mean deviations added to an average for a time that
	// three of four requests keep, and sureDeviations for one that 99 of 100 keep. Under
	// overload every request begins near its latest start, and one that takes longer than
	// assumed runs in vain.
	usualDeviations = 1
	sureDeviations  = 3
	// minSilence is the time without a byte from which an endpoint may count as silent. A sound
	// one may be that long, for example an engine that preempts a request.
	minSilence = 1200 * time.Millisecond
	// refusalTime is the time that a refusal takes to reach its caller.
	refusalTime = 50 * time.Millisecond
	// maxRoutes bounds the routes whose work is known.
	maxRoutes = 4096
)

// average is the moving average of a time and of its deviation. The zero value is unknown.
type average struct {
	mean, deviation float64
}

func (a *average) observe(d time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = float64(d), float64(d)/2
		return
	}
	a.deviation += averageWeight * (math.Abs(float64(d)-a.mean) - a.deviation)
	a.mean += averageWeight * (float64(d) - a.mean)
}

// above returns the average plus a number of mean deviations; 0 if it isn't known.
func (a *average) above(deviations float64) time.Duration {
	return time.Duration(a.mean + deviations*a.deviation)
}

// routeWork is how long endpoints take for the requests of one route.
type routeWork struct {
	// overhead is the time to the first part of the response without that of the prompt, and
	// token the time per token of the answer after it.
	overhead, token average
	length          answerLength
}

// workOf returns the work of a request: the times from sending it to the first part of its
// response and to the end, within the number of deviations. A late beginning and a long answer
// rarely meet, so the deviations of both are added as those of independent times.
func (p *pool) workOf(r Request, deviations float64) (begin, end time.Duration) {
	w := p.work[r.Match.Route.Name]
	if w == nil {
		if p.model != "" {
			begin = unknownBegin + p.prefillTime(r)
		}
		return begin, begin
	}
	answer, spread := w.answerTime(r, p.uneven.isActive)
	mean := p.prefillTime(r) + w.overhead.above(0) + time.Duration(answer)
	deviation := math.Hypot(w.overhead.deviation, spread)
	return p.prefillTime(r) + w.overhead.above(deviations), mean + time.Duration(deviations*deviation)
}

// latestStart returns when the request has to be sent so that the caller is still there when
// its response begins and ends.
func (p *pool) latestStart(r Request) time.Time {
	begin, end := p.workOf(r, sureDeviations)
	if r.Resumed {
		// How much of the answer is left isn't known.
		end = begin
	}
	t := r.Deadline.Add(-end - refusalTime)
	if r.FirstBy.IsZero() {
		return t
	}
	if first := r.FirstBy.Add(-begin - refusalTime); first.Before(t) {
		return first
	}
	return t
}

// observeWork adds a served request to those by which the work of its route is known. One that
// waited for its engine to load another version says nothing about the time after it.
func (p *pool) observeWork(l *Lease, now time.Time) {
	if p.model != "" && l.node.version(p.model, now) != l.Version {
		return
	}
	w := p.work[l.request.Match.Route.Name]
	if w == nil {
		if p.work == nil || len(p.work) >= maxRoutes {
			p.work, p.uneven = make(map[string]*routeWork), uneven{isActive: p.uneven.isActive}
		}
		w = &routeWork{}
		p.work[l.request.Match.Route.Name] = w
	}
	begun := l.begunAt
	if begun.IsZero() {
		begun = now
	} else if !l.request.Resumed {
		w.token.observe(now.Sub(begun) / time.Duration(max(1, l.request.Answer)))
		w.length.observe(l.request, int(l.events.Load()), now.Sub(begun))
	}
	l.observeWorkload(&w.length, begun, now)
	l.d.noteLengths(p, l.request.Match.Route.Name)
	l.d.noteDeviation(p, l.request.Match.Route.Name)
	w.overhead.observe(max(time.Microsecond, begun.Sub(l.sentAt)-p.prefillTime(l.request)))
}

// SilentAfter returns how long after the request was sent its endpoint counts as silent if no
// part of the response has come: stallFactor times what requests of the route usually take to
// begin, but soon enough that another endpoint can begin before the caller leaves.
func (l *Lease) SilentAfter() time.Duration {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	p, r := l.pool, l.request
	var usual time.Duration
	if p.work[r.Match.Route.Name] != nil {
		usual, _ = p.workOf(r, usualDeviations)
	}
	return max(minSilence, min(stallFactor*usual, p.latestStart(r).Sub(l.sentAt)))
}
