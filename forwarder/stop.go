package forwarder

import "sync"

// callList holds the calls in progress.
type callList struct {
	mu  sync.Mutex
	all map[*call]struct{}
	// cut reports whether the planned stop has ended the calls in progress.
	cut bool
}

func (l *callList) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = make(map[*call]struct{})
	}
	l.all[c] = struct{}{}
}

func (l *callList) remove(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, c)
}

func (l *callList) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Cut records that a planned stop has ended and the connections of callers are about to be
// closed. It returns the number of calls in progress.
func (f *Handler) Cut() int {
	f.calls.mu.Lock()
	defer f.calls.mu.Unlock()
	f.calls.cut = true
	return len(f.calls.all)
}
