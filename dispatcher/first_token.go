package dispatcher

import (
	"math"
	"time"
)

const (
	// firstTokenWeight is the weight of one measurement in the averages of the time to the
	// first token, and firstTokenDeviations the mean deviations added to the average: about
	// three of four requests take less.
	firstTokenWeight     = 0.05
	firstTokenDeviations = 1
)

// firstTokenTime estimates the time from sending a request to its first token.
type firstTokenTime struct {
	average, deviation float64
}

func (f *firstTokenTime) observe(d time.Duration) {
	if f.average == 0 {
		f.average, f.deviation = float64(d), float64(d)/2
		return
	}
	f.deviation += firstTokenWeight * (math.Abs(float64(d)-f.average) - f.deviation)
	f.average += firstTokenWeight * (float64(d) - f.average)
}

// FirstTokenTime returns a time within which most requests of this gateway to the service
// get their first token after they were sent; 0 if it isn't known.
func (d *Dispatcher) FirstTokenTime(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[service]
	if p == nil {
		return 0
	}
	return p.firstToken.usual()
}

// usual returns a time within which most requests get their first token; 0 if it isn't
// known.
func (f *firstTokenTime) usual() time.Duration {
	return time.Duration(f.average + firstTokenDeviations*f.deviation)
}
