package dispatcher

import (
	"math"
	"slices"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

const (
	// unevenBegin is the standard deviation of the natural logarithm of the number of events from
	// which the lengths of a route vary widely, and unevenEnd that below which they no longer do. From
	// 1 on, responses are often 2.7 times longer or shorter than usual.
	unevenBegin = 1.0
	unevenEnd   = 0.9
	// minUnevenSamples is the least number of responses of a route from which its deviation counts.
	minUnevenSamples = 30
	// unevenErrors is the number of standard errors by which a deviation exceeds unevenEnd when the
	// condition begins. Of 1,000 services of three routes with a deviation of 0.9 each, 44 began it within
	// 20,000 responses with three, and 3 with four.
	unevenErrors = 4
	// unevenWeight is the least weight of one response in the deviation. With lengthWeight, chance takes
	// a deviation of 0.9 to 1 within some thousand responses.
	unevenWeight = 0.001
)

// logDeviation is the moving standard deviation of a logarithm. It weighs the first values alike.
type logDeviation struct {
	mean, variance float64
	count          int
}

func (s *logDeviation) observe(v float64) {
	s.count++
	w := max(unevenWeight, 1/float64(s.count))
	d := v - s.mean
	s.mean += w * d
	s.variance = (1 - w) * (s.variance + w*d*d)
}

func (s *logDeviation) value() float64 { return math.Sqrt(s.variance) }

// samples returns the number of equally weighed values that the deviation is as exact as.
func (s *logDeviation) samples() float64 { return min(float64(s.count), 2/unevenWeight-1) }

// squares returns the sum of the squares of the differences from the mean, and the number of independent ones.
func (s *logDeviation) squares() (sum, count float64) {
	n := s.samples()
	return n * s.variance, max(0, n-1)
}

// isWide reports whether the deviation keeps the condition up.
func (s *logDeviation) isWide() bool { return s.count >= minUnevenSamples && s.value() >= unevenEnd }

// isSurelyUneven reports whether a deviation begins the condition: it is unevenBegin or more, and comes from so many
// responses that a true deviation of unevenEnd doesn't reach it by chance. The standard error of a
// deviation is its part 1/sqrt(2n) if the logarithms are distributed normally.
func isSurelyUneven(deviation, n float64) bool {
	return n >= minUnevenSamples && deviation >= max(unevenBegin, unevenEnd*(1+unevenErrors/math.Sqrt(2*n)))
}

// uneven is the condition under which expected lengths, work and pace decide for a service: the lengths of the
// responses of at least one of its routes vary widely. The zero value is a service whose lengths don't.
type uneven struct {
	isActive bool
	// wideRoutes is the number of routes whose deviation keeps the condition up.
	wideRoutes int
	// sum and count are those of logDeviation.squares of all routes together.
	sum, count float64
}

// add replaces what a route counts by its present deviation.
func (u *uneven) add(l *answerLength) {
	u.remove(l)
	l.isWide = l.logEvents.isWide()
	l.sum, l.count = l.logEvents.squares()
	u.sum, u.count = u.sum+l.sum, u.count+l.count
	if l.isWide {
		u.wideRoutes++
	}
}

func (u *uneven) remove(l *answerLength) {
	u.sum, u.count = u.sum-l.sum, u.count-l.count
	if l.isWide {
		u.wideRoutes--
	}
	l.sum, l.count, l.isWide = 0, 0, false
}

// begins reports whether the condition begins after a response of the route: by the deviation of the route, or
// by that within all routes together, which no more than the largest one of them can be. The latter
// needs fewer responses of each route.
func (u *uneven) begins(l *answerLength) bool {
	return isSurelyUneven(l.logEvents.value(), l.logEvents.samples()) || isSurelyUneven(math.Sqrt(max(0, u.sum)/max(1, u.count)), u.count)
}

// UnevenChange tells that the lengths of the responses of a service have begun to vary widely, or
// that they no longer do.
type UnevenChange struct {
	Service string
	Uneven  bool
	// Route is the route with the largest deviation, Deviation the standard deviation of the logarithm of the
	// number of events of its responses, and Responses the number of those seen. They are unset if
	// no route is known.
	Route     string
	Deviation float64
	Responses int
}

// noteDeviation updates the condition after a response of the route was observed. The caller must
// hold d.mu.
func (d *Dispatcher) noteDeviation(p *pool, route string) {
	u, l := &p.uneven, &p.work[route].length
	u.add(l)
	d.setUneven(p, u.wideRoutes > 0 && (u.isActive || u.begins(l)))
}

// setUneven sets the condition, and tells of its change.
func (d *Dispatcher) setUneven(p *pool, isActive bool) {
	if isActive == p.uneven.isActive {
		return
	}
	p.uneven.isActive = isActive
	if d.UnevenChanged == nil {
		return
	}
	c := UnevenChange{Service: p.service, Uneven: isActive}
	for name, w := range p.work {
		if s := &w.length.logEvents; s.count >= minUnevenSamples && s.value() >= c.Deviation {
			c.Route, c.Deviation, c.Responses = name, s.value(), s.count
		}
	}
	d.UnevenChanged(c)
}

// forgetWideRoutes removes the routes that the configuration no longer sends to the service from
// those whose lengths vary widely. Without responses their deviation would never fall again.
func (d *Dispatcher) forgetWideRoutes(p *pool, t *resolver.Table) {
	if p.uneven.wideRoutes == 0 {
		return
	}
	configured := make(map[string]bool)
	for i := range t.Configuration.Routes {
		r := &t.Configuration.Routes[i]
		if slices.ContainsFunc(r.Targets, func(g resolver.Target) bool { return g.Service == p.service && g.Weight > 0 }) {
			configured[r.Name] = true
		}
	}
	for name, w := range p.work {
		if w.length.isWide && !configured[name] {
			p.uneven.remove(&w.length)
			w.length.logEvents = logDeviation{}
		}
	}
	d.setUneven(p, p.uneven.isActive && p.uneven.wideRoutes > 0)
}
