package standin

import (
	"math/rand/v2"
	"sync"
)

// Dice draws chances from a fixed seed, so that a run with faults by share can
// be repeated. The zero value has seed 0.
type Dice struct {
	// Seed is set before the first draw.
	Seed uint64

	mu sync.Mutex
	r  *rand.Rand
}

// Hit reports true in the given share of draws. A share of 0 draws nothing.
func (d *Dice) Hit(share float64) bool {
	return share > 0 && d.Float() < share
}

// Float returns a number in [0, 1).
func (d *Dice) Float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand().Float64()
}

// Below returns a number in [0, n).
func (d *Dice) Below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand().IntN(n)
}

func (d *Dice) rand() *rand.Rand {
	if d.r == nil {
		d.r = rand.New(rand.NewPCG(d.Seed, 0))
	}
	return d.r
}
