package stopper

import (
	"testing"
	"time"
)

// A usual time that is too low lets a planned stop pass on requests that it cuts; one that is
// too high, or that old or rare requests hold, makes it refuse requests that end in time.
func TestDurations(t *testing.T) {
	repeat := func(n int, d time.Duration) (all []time.Duration) {
		for range n {
			all = append(all, d)
		}
		return all
	}
	join := func(parts ...[]time.Duration) (all []time.Duration) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	for name, c := range map[string]struct {
		all       []time.Duration
		low, high time.Duration
		known     bool
	}{
		"none":        {nil, 0, 0, false},
		"few":         {repeat(minDurations-1, time.Second), 0, 0, false},
		"equal":       {repeat(minDurations, time.Second), time.Second, 1200 * time.Millisecond, true},
		"tiny":        {repeat(10, time.Microsecond), time.Microsecond, time.Millisecond, true},
		"huge":        {repeat(10, time.Hour), time.Minute, time.Hour, true},
		"longest":     {join(repeat(50, 10*time.Millisecond), repeat(1, 2*time.Second)), 2 * time.Second, 2400 * time.Millisecond, true},
		"rare":        {join(repeat(1, 5*time.Second), repeat(1500, 20*time.Millisecond)), 20 * time.Millisecond, 24 * time.Millisecond, true},
		"one in 300":  {join(repeat(1, 3*time.Second), repeat(299, 20*time.Millisecond)), 3 * time.Second, 3600 * time.Millisecond, true},
		"old":         {join(repeat(500, 4*time.Second), repeat(8000, 30*time.Millisecond)), 30 * time.Millisecond, 36 * time.Millisecond, true},
		"slower load": {join(repeat(8000, 30*time.Millisecond), repeat(40, 2*time.Second)), 2 * time.Second, 2400 * time.Millisecond, true},
	} {
		var s durations
		for _, d := range c.all {
			s.add(d)
		}
		if d, known := s.usual(); known != c.known || d < c.low || d > c.high {
			t.Errorf("%s: usual time %s, known %t; want %s to %s, %t", name, d, known, c.low, c.high, c.known)
		}
	}
}
