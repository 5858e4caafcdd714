package timekeeper_test

import (
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
)

// An event that a process notices after a pause must not be dated after the pause: a
// permission that is counted from it would end late by the length of the pause.
func TestEarliest(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	m := &timekeeper.Monitor{Limit: 200 * time.Millisecond, Now: func() time.Time { return now }}
	at := start.Add
	beatUntil := func(d time.Duration) {
		for ; now.Before(at(d)); now = now.Add(50 * time.Millisecond) {
			m.Beat()
		}
		m.Beat()
	}
	beatUntil(2 * time.Second)
	if got := m.Earliest(at(time.Second)); !got.Equal(now) {
		t.Errorf("without a pause: %s after the start, want %s", got.Sub(start), now.Sub(start))
	}
	now = at(5600 * time.Millisecond)
	if got := m.Earliest(at(time.Second)); !got.Equal(at(2 * time.Second)) {
		t.Errorf("before the first beat after the pause: %s after the start, want 2s", got.Sub(start))
	}
	beatUntil(6 * time.Second)
	if got := m.Earliest(at(time.Second)); !got.Equal(at(2 * time.Second)) {
		t.Errorf("after the pause: %s after the start, want 2s", got.Sub(start))
	}
	if got := m.Earliest(at(5700 * time.Millisecond)); !got.Equal(now) {
		t.Errorf("waited since the pause: %s after the start, want %s", got.Sub(start), now.Sub(start))
	}
	now = at(8 * time.Second)
	if got := m.Earliest(at(time.Second)); !got.Equal(at(2 * time.Second)) {
		t.Errorf("after a second pause: %s after the start, want 2s", got.Sub(start))
	}
}

// The clock must advance with the time of day, whatever it counts from.
func TestNow(t *testing.T) {
	before := timekeeper.Now()
	time.Sleep(20 * time.Millisecond)
	if d := timekeeper.Now().Sub(before); d < 20*time.Millisecond || d > 5*time.Second {
		t.Errorf("%s passed, want 20 ms", d)
	}
}

// A long pause must be known to the first goroutine that runs after it, before the next beat,
// and must not be hidden by a short one that follows, as while the process catches up.
func TestLongPauseEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &timekeeper.Monitor{Limit: 200 * time.Millisecond, Long: 4 * time.Second, Now: func() time.Time { return now }}
	m.Beat()
	if end := m.Pauses().LongEnd; !end.IsZero() {
		t.Errorf("a pause until %s without one", end)
	}
	now = now.Add(4*time.Second - 1)
	if end := m.Pauses().LongEnd; !end.IsZero() {
		t.Errorf("a short pause counts as a long one until %s", end)
	}
	now = now.Add(4 * time.Second)
	woke := now
	for range 3 {
		if end := m.Pauses().LongEnd; !end.Equal(woke) {
			t.Errorf("pause until %s, want until %s", end, woke)
		}
		m.Beat()
		now = now.Add(100 * time.Millisecond)
	}
	now = now.Add(300 * time.Millisecond)
	if end := m.Pauses().LongEnd; !end.Equal(woke) {
		t.Errorf("after a short pause: until %s, want until %s", end, woke)
	}
}

// The length of pauses must not count as time in which the process has waited.
func TestTotalOfPauses(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &timekeeper.Monitor{Limit: 200 * time.Millisecond, Now: func() time.Time { return now }}
	m.Beat()
	now = now.Add(150 * time.Millisecond)
	if p := m.Pauses(); p.Total != 0 || !p.End.IsZero() || !p.Now.Equal(now) {
		t.Errorf("without a pause: %+v", p)
	}
	m.Beat()
	start := now
	now = now.Add(500 * time.Millisecond)
	first := now
	for range 2 {
		if p := m.Pauses(); p.Total != 500*time.Millisecond || !p.End.Equal(first) {
			t.Errorf("after a pause: %+v, want 500ms until %s", p, first)
		}
		m.Beat()
	}
	now = now.Add(300 * time.Millisecond)
	if p := m.Pauses(); p.Total != 800*time.Millisecond || !p.End.Equal(now) || !p.Start.Equal(start) {
		t.Errorf("after a second pause: %+v, want 800ms from %s to %s", p, start, now)
	}
}
