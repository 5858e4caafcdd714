package divider

import (
	"math"
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// averagingTime is the time constant of the exponential average of demand. It is a
// few times the interval at which gateways exchange their demand.
const averagingTime = 3 * time.Second

// Demand is the offered requests per second by client account.
type Demand map[recorder.Name]float64

// Meter measures the demand at one gateway. The zero value is ready; its
// methods may be called concurrently.
type Meter struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	rate Demand
	at   time.Time
}

// Offer counts one request of an account.
func (m *Meter) Offer(account recorder.Name) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	if m.rate == nil {
		m.rate = make(Demand)
	}
	m.rate[account] += 1 / averagingTime.Seconds()
}

// Demand returns the current demand. Accounts below one request in 100 s are
// omitted.
func (m *Meter) Demand() Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	out := make(Demand, len(m.rate))
	for a, r := range m.rate {
		if r >= 0.01 {
			out[a] = r
		} else {
			delete(m.rate, a)
		}
	}
	return out
}

// decay reduces all rates for the time since the last call. The caller must hold
// m.mu.
func (m *Meter) decay() {
	now := time.Now
	if m.Now != nil {
		now = m.Now
	}
	n := now()
	if d := n.Sub(m.at); d > 0 && !m.at.IsZero() {
		f := math.Exp(-d.Seconds() / averagingTime.Seconds())
		for a := range m.rate {
			m.rate[a] *= f
		}
	}
	m.at = n
}
