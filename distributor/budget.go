package distributor

import "sync"

// Bounds of hedged requests.
const (
	// hedgeBurst is the number of hedged requests in a row. It covers the
	// requests that one frozen instance holds.
	hedgeBurst = 16
	// hedgeRatio is the number of further hedged requests for each chunk received.
	hedgeRatio = 0.1
)

// budget bounds hedged requests. Where many sources seem to stall at once, the
// fault is near this instance or everywhere, and asking further sources would
// multiply the load.
type budget struct {
	mu    sync.Mutex
	spent float64
}

// withdraw reports whether a request may be hedged.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > hedgeBurst {
		return false
	}
	b.spent++
	return true
}

// deposit notes a chunk received.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-hedgeRatio)
}
