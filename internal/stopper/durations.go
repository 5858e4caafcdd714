package stopper

import (
	"math"
	"sync"
	"time"
)

const (
	// usualShare is the share of requests that take no longer than the usual time. A request
	// that is refused for it costs its caller a second way, and one that is cut all its time.
	usualShare = 0.999
	// minDurations is the number of requests from which the usual time is known.
	minDurations = 4
	// maxDurations is the number of requests from which all counts are halved, so that old
	// ones lose their weight.
	maxDurations = 1024
	// durationSteps is the number of buckets per doubling of the time, from minDuration on;
	// the usual time is too high by a fifth at most.
	durationSteps = 4
	minDuration   = time.Millisecond
	// durationBuckets covers two minutes.
	durationBuckets = 17*durationSteps + 1
)

// durations measures how long the requests of a route usually take. The zero value is empty
// and ready.
type durations struct {
	mu     sync.Mutex
	counts [durationBuckets]float64
	total  float64
}

// add adds the time that a request has taken.
func (s *durations) add(d time.Duration) {
	n := 0
	if d > minDuration {
		n = min(int(math.Ceil(durationSteps*math.Log2(float64(d)/float64(minDuration)))), durationBuckets-1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[n]++
	if s.total++; s.total < maxDurations {
		return
	}
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// usual returns the time within which nearly all requests end, or false if too few are known.
func (s *durations) usual() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total < minDurations {
		return 0, false
	}
	above := s.total * (1 - usualShare)
	n := durationBuckets - 1
	for sum := s.counts[n]; n > 0 && sum <= above; sum += s.counts[n] {
		n--
	}
	return time.Duration(float64(minDuration) * math.Exp2(float64(n)/durationSteps)), true
}
