package relayer

import "sync"

// Signal notifies all waiters of a change. The zero value is ready to use.
type Signal struct {
	mu sync.Mutex
	c  chan struct{}
}

// Wait returns a channel that the next call of Fire closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c == nil {
		s.c = make(chan struct{})
	}
	return s.c
}

// Fire wakes all waiters.
func (s *Signal) Fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c != nil {
		close(s.c)
		s.c = nil
	}
}
