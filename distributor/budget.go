package distributor

import "sync"

// Limits of hedged requests.
const (
	// hedgeBurst is the number of hedged requests in a row. It covers the
	// requests that one hung instance holds.
	hedgeBurst = 16
	// hedgeRatio is the number of further hedged requests for each chunk received.
	hedgeRatio = 0.1
)

// budget limits hedged requests. If many sources seem to stall at once, the fault
// is close to this instance or everywhere, and asking further sources would
// multiply the load.
type budget struct {
	mu    sync.Mutex
	spent float64
}

// withdraw takes one hedged request from the budget and reports whether one was left.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > hedgeBurst {
		return false
	}
	b.spent++
	return true
}

// deposit credits the budget for a received chunk.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-hedgeRatio)
}
