package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"
)

// attempts holds the attempts of a call that are under way. An attempt whose endpoint is
// silent stays among them while another one is made, and goes on if it is the first to have
// the next part of the response.
type attempts struct {
	mu sync.Mutex
	// running holds the attempts that haven't ended, and those whose end next hasn't returned.
	running []*attempt
	// writer is the attempt that may write to the caller; nil if the first one to claim
	// this may.
	writer *attempt
	// claims counts the claims, and seen is their number when take last returned an attempt.
	claims, seen int
	// stopAcquire cancels the wait for another attempt's lease; nil if there is none.
	stopAcquire context.CancelFunc
	// begun reports whether a part of the answer has arrived. An answer that isn't a stream is
	// whole then.
	begun bool
	// changed receives a value after an attempt has ended or its endpoint has become silent.
	changed chan struct{}
}

// attemptState is the part of an attempt that the lock of attempts guards.
type attemptState struct {
	ended  bool
	result attemptResult
	// superseded reports whether another attempt has claimed since this one was made.
	superseded bool
	// silent reports whether the endpoint has let due pass.
	silent bool
	// reported reports whether next has returned the attempt as silent.
	reported bool
	// due is the time at which the next part of the response is due; the zero value while
	// the attempt doesn't wait for it.
	due time.Time
	// heard is the time of the last part of the response that was complete enough to be used,
	// or of the request if there was none.
	heard time.Time
	// responded reports whether the headers of the response have arrived.
	responded bool
	// overdue reports whether the attempt was ended because its endpoint hadn't begun in time.
	overdue bool
	// held reports whether the attempt was ended because its request is held.
	held bool
	// endedAt is when the attempt ended.
	endedAt time.Time
	// askAfter is the time before which the endpoint doesn't count as silent again.
	askAfter time.Time
}

func (s *attempts) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// take returns an attempt whose endpoint has become silent, or one that has ended, which it
// removes. The silent ones come first, as the decision after an end has to count them. While
// superseded attempts are still ending, it returns only these and an answer: the decision on
// another attempt has to count them too, and none of them is left to wait for after it.
func (s *attempts) take() (a *attempt, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = s.claims
	isSuperseded := func(a *attempt) bool { return a.state.superseded }
	ending := slices.ContainsFunc(s.running, isSuperseded)
	for _, a := range s.running {
		if st := &a.state; !ending && st.silent && !st.reported && !st.ended {
			st.reported = true
			return a, false
		}
	}
	for i, a := range s.running {
		if a.state.ended && (!ending || isSuperseded(a) || a.state.result.isAnswer()) {
			s.running = slices.Delete(s.running, i, i+1)
			return a, true
		}
	}
	return nil, false
}

// counts returns the number of attempts under way, and of those whose endpoints aren't silent.
func (s *attempts) counts() (running, active int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.running {
		if !a.state.silent {
			active++
		}
	}
	return len(s.running), active
}

// setStopAcquire reports whether no attempt has claimed since take returned the last one.
func (s *attempts) setStopAcquire(stop context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAcquire = stop
	return s.claims == s.seen
}

// askAgain records that the silent attempts are to be reported again at a time, unless they
// have gone on.
func (s *attempts) askAgain(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.running {
		if st := &a.state; st.silent && !st.ended {
			st.silent, st.due, st.askAfter = false, at, at
			a.silence.Reset(time.Until(at))
		}
	}
}

// supersede makes the attempt the writer and ends the other ones. It is called with the lock
// held.
func (s *attempts) supersede(a *attempt) {
	s.writer = a
	s.claims++
	for _, b := range s.running {
		if b != a {
			b.state.superseded = true
			b.cancel()
		}
	}
	if s.stopAcquire != nil {
		s.stopAcquire()
	}
}
