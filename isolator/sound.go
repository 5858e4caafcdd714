package isolator

import (
	"maps"
	"sync"
	"time"
)

const (
	// maxSound is the number of parts that are known to be sound, of those in the first
	// maxCountedParts places of a prompt.
	maxSound = 4096
	// maxSoundLater does the same for those in later places. They are kept apart, so that callers with long
	// prompts don't take the room of others.
	maxSoundLater = 16384
)

// soundSet holds the parts with which a request was served a moment ago. The zero value is empty
// and ready. All methods may be called concurrently.
type soundSet struct {
	mu           sync.Mutex
	first, later soundParts
}

// soundParts holds until when parts count as sound.
type soundParts struct {
	until map[Digest]time.Time
	// trims is the number of calls of trim, after which any part may be unknown.
	trims int
}

// add records that a request with the suspects was served. Contents don't count.
func (s *soundSet) add(all []Suspect, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, place := now.Add(memory), 0
	for _, p := range all {
		if p.Part == "" {
			continue
		}
		if place++; place <= maxCountedParts {
			s.first.add(p.Digest, until, now, maxSound)
		} else {
			s.later.add(p.Digest, until, now, maxSoundLater)
		}
	}
}

func (s *soundParts) add(d Digest, until, now time.Time, most int) {
	if s.until == nil {
		s.until = make(map[Digest]time.Time)
	}
	if _, known := s.until[d]; !known && len(s.until) >= most {
		s.trim(now, most)
	}
	s.until[d] = until
}

// trim forgets what is old, and if that isn't enough any eighth of the rest: what is in many
// requests is soon known again.
func (s *soundParts) trim(now time.Time, most int) {
	s.trims++
	maps.DeleteFunc(s.until, func(_ Digest, t time.Time) bool { return now.After(t) })
	for d := range s.until {
		if len(s.until) < most*7/8 {
			return
		}
		delete(s.until, d)
	}
}

func (s *soundSet) has(d Digest, now time.Time) bool { return !s.soundUntil(d, now).IsZero() }

// soundUntil returns the time until which the suspect counts as sound; the zero value if it doesn't.
func (s *soundSet) soundUntil(d Digest, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.untilOf(d, now)
}

func (s *soundSet) untilOf(d Digest, now time.Time) time.Time {
	t := s.first.until[d]
	if o := s.later.until[d]; o.After(t) {
		t = o
	}
	if now.Before(t) {
		return t
	}
	return time.Time{}
}

// without returns the suspects that don't count as sound.
func (s *soundSet) without(all []Suspect, now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []Suspect
	for _, p := range all {
		if s.untilOf(p.Digest, now).IsZero() {
			l = append(l, p)
		}
	}
	return l
}

func (s *soundSet) trimCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first.trims + s.later.trims
}
