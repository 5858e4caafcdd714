package isolator

import (
	"maps"
	"sync"
	"time"
)

// maxSound is the number of suspects that are known to be sound.
const maxSound = 4096

// soundSet holds the suspects of which a request was served a moment ago. The zero value is empty
// and ready. All methods may be called concurrently.
type soundSet struct {
	mu    sync.Mutex
	until map[Digest]time.Time
	// trims is the number of calls of trim, after which any suspect may be unknown.
	trims int
}

func (s *soundSet) add(d Digest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[Digest]time.Time)
	}
	if _, known := s.until[d]; !known && len(s.until) >= maxSound {
		s.trim(now)
	}
	s.until[d] = now.Add(memory)
}

// trim forgets what is old, and if that isn't enough any eighth of the rest: what is in many
// requests is soon known again.
func (s *soundSet) trim(now time.Time) {
	s.trims++
	maps.DeleteFunc(s.until, func(_ Digest, t time.Time) bool { return now.After(t) })
	for d := range s.until {
		if len(s.until) < maxSound*7/8 {
			return
		}
		delete(s.until, d)
	}
}

func (s *soundSet) has(d Digest, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[d])
}

// soundUntil returns the time until which the suspect counts as sound; the zero value if it doesn't.
func (s *soundSet) soundUntil(d Digest, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.until[d]; now.Before(t) {
		return t
	}
	return time.Time{}
}

func (s *soundSet) trimCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trims
}
