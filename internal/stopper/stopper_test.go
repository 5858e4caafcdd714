package stopper

import (
	"testing"
	"time"
)

// A request that is sent although it doesn't end before the cut loses its answer, and one that is
// refused although it does is refused for nothing.
func TestEndsInTime(t *testing.T) {
	const timeout = 4 * time.Second
	late := func(r Request) Request { return r }
	early := func(r Request) Request {
		r.Begun = r.Begun.Add(-time.Second)
		return r
	}
	once := func(r Request) Request {
		r.AtMostOnce = true
		return r
	}
	started := func(r Request) Request {
		r.Started = true
		return r
	}
	stream := func(after time.Duration) func(Request) Request {
		return func(r Request) Request {
			r.Stream, r.Begun, r.Deadline = true, r.Begun.Add(after), r.Deadline.Add(after)
			return r
		}
	}
	for _, c := range []struct {
		name string
		// usual is the time of the requests before; 0 if there were none.
		usual, left time.Duration
		request     func(Request) Request
		want        bool
	}{
		{"short ones", 100 * time.Millisecond, time.Second, late, true},
		{"long ones, little time left", 1200 * time.Millisecond, time.Second, late, false},
		{"long ones", 1200 * time.Millisecond, 3 * time.Second, late, true},
		{"unknown", 0, 3 * time.Second, late, false},
		{"unknown, surely in time", 0, 5 * time.Second, late, true},
		{"unknown, from before the stop", 0, time.Second, early, true},
		{"long ones, from before the stop", 1200 * time.Millisecond, time.Second, early, false},
		{"once only", 100 * time.Millisecond, 3 * time.Second, once, false},
		{"once only, surely in time", 100 * time.Millisecond, 5 * time.Second, once, true},
		{"stream that has begun", 1200 * time.Millisecond, time.Second, started, true},
		{"stream at the order", 100 * time.Millisecond, 3 * time.Second, stream(0), false},
		{"stream at the order, surely in time", 100 * time.Millisecond, 5 * time.Second, stream(0), true},
		{"stream soon after the order", 100 * time.Millisecond, 5 * time.Second, stream(2 * time.Second), false},
		{"late stream", 100 * time.Millisecond, 5 * time.Second, stream(3 * time.Second), false},
		{"late stream, surely in time", 100 * time.Millisecond, 8 * time.Second, stream(3 * time.Second), true},
		{"stream after the cut", 100 * time.Millisecond, -time.Second, started, false},
	} {
		var s Stopper
		for range minDurations {
			if c.usual > 0 {
				s.NoteDuration("s", c.usual)
			}
		}
		now := time.Now()
		s.Begin(now.Add(c.left))
		r := c.request(Request{Name: "s", Begun: time.Now(), Deadline: now.Add(timeout)})
		if got := s.EndsInTime(r); got != c.want {
			t.Errorf("%s: ends in time %t, want %t", c.name, got, c.want)
		}
	}
}
