package direct

import (
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// listClock is a gateway with a clock that the test sets.
type listClock struct {
	*Gateway
	now time.Time
}

func newListClock() *listClock {
	c := &listClock{now: time.Unix(1000, 0)}
	f := &follower{state: &observer.State{}, outdated: make(chan struct{}, 1)}
	c.Gateway = &Gateway{Drain: 2 * time.Second, follower: f}
	c.monitor.Limit, c.monitor.Long = maxBeatInterval, minListPause
	c.monitor.Now = func() time.Time { return c.now }
	c.monitor.Beat()
	return c
}

// run lets the process run for a time.
func (c *listClock) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.beat() {
		c.now = c.now.Add(min(updateInterval, end.Sub(c.now)))
	}
}

// pause lets the process stand still for a time; there is no beat after it yet.
func (c *listClock) pause(d time.Duration) { c.now = c.now.Add(d) }

// read applies a list that the platform confirmed some time ago.
func (c *listClock) read(age time.Duration) {
	at := c.now.Add(-age)
	c.follower.listApplied.Store(&at)
}

// After a pause of less than a second a list may be older than the drain time, if the process
// was turned away from the store before: requests went to an endpoint that drained.
func TestOldListAfterShortPause(t *testing.T) {
	for _, v := range []struct {
		name string
		// age is that of the list before the pause, which may be 0.
		age, pause time.Duration
		want       bool
	}{
		{"no pause", 5 * time.Second, 0, true},
		{"collection of garbage", 1700 * time.Millisecond, 200 * time.Millisecond, true},
		{"young list", 700 * time.Millisecond, 900 * time.Millisecond, true},
		{"old list", 1200 * time.Millisecond, 900 * time.Millisecond, false},
		{"shortest pause", 1700 * time.Millisecond, maxBeatInterval + 1, false},
		{"list that was old before", 3 * time.Second, 400 * time.Millisecond, true},
	} {
		c := newListClock()
		c.run(time.Second)
		c.read(v.age)
		c.pause(v.pause)
		if got := c.isCurrent(); got != v.want {
			t.Errorf("%s: the list is current: %t, want %t", v.name, got, v.want)
		}
		if read := len(c.follower.outdated) > 0; read == v.want {
			t.Errorf("%s: it is read soon: %t, want %t", v.name, read, !v.want)
		}
		c.run(updateInterval)
		c.read(100 * time.Millisecond)
		if !c.isCurrent() {
			t.Errorf("%s: a newer list isn't current", v.name)
		}
	}
}

// A list that is young at the end of a pause may become old before the next read.
func TestListGetsOldAfterShortPause(t *testing.T) {
	c := newListClock()
	c.read(1200 * time.Millisecond)
	c.pause(400 * time.Millisecond)
	if !c.isCurrent() {
		t.Error("a list of 1.6 s isn't current")
	}
	c.run(300 * time.Millisecond)
	if c.isCurrent() {
		t.Error("a list of 1.9 s is current 0.3 s after a pause")
	}
}

// A list that becomes old without a pause is used, as nothing else is left.
func TestListGetsOldLongAfterPause(t *testing.T) {
	c := newListClock()
	c.read(700 * time.Millisecond)
	c.pause(400 * time.Millisecond)
	c.run(maxListWait + 2*updateInterval)
	if !c.isCurrent() {
		t.Error("a list of 2.2 s isn't current more than 1 s after a pause")
	}
}

// With a short drain time requests must not wait for a second list after a pause.
func TestListReadAfterShortPauseIsCurrent(t *testing.T) {
	c := newListClock()
	c.Drain = 100 * time.Millisecond
	c.read(0)
	c.pause(400 * time.Millisecond)
	if c.isCurrent() {
		t.Error("the list of before the pause is current")
	}
	c.run(updateInterval)
	c.read(0)
	c.run(200 * time.Millisecond)
	if !c.isCurrent() {
		t.Error("the list that was read after the pause isn't current")
	}
}

// A pause that follows at once must not hide that the one before made the list old.
func TestOldListAfterTwoPauses(t *testing.T) {
	c := newListClock()
	c.read(1200 * time.Millisecond)
	c.pause(900 * time.Millisecond)
	c.monitor.Beat()
	c.pause(400 * time.Millisecond)
	if c.isCurrent() {
		t.Error("a list of 2.5 s is current after two pauses")
	}
}

// Requests must not wait again at each pause while nobody can read the list.
func TestOldListIsAwaitedOnce(t *testing.T) {
	c := newListClock()
	expect := func(when string, want bool) {
		t.Helper()
		if got := c.isCurrent(); got != want {
			t.Errorf("%s: the list is current: %t, want %t", when, got, want)
		}
	}
	c.read(1500 * time.Millisecond)
	c.pause(500 * time.Millisecond)
	expect("after a pause", false)
	c.run(200 * time.Millisecond)
	c.pause(900 * time.Millisecond)
	expect("after a pause in the wait", false)
	c.run(150 * time.Millisecond)
	expect("before the end of the wait", false)
	c.run(100 * time.Millisecond)
	expect("after the wait", true)
	c.pause(900 * time.Millisecond)
	expect("after a further pause", true)
	c.read(700 * time.Millisecond)
	c.run(time.Second)
	c.pause(500 * time.Millisecond)
	expect("after a newer list became old", false)
	c.run(maxListWait + updateInterval)
	expect("after the second wait", true)
}

// A stream waits for 1.5 s until it is resumed elsewhere, and was broken off if pauses made the
// wait for the list longer.
func TestPausesDoNotProlongListWait(t *testing.T) {
	for _, v := range []struct {
		name string
		// first is a pause, and run and pause follow it in turn.
		first, run, pause time.Duration
	}{
		{name: "long and short pause", first: 1100 * time.Millisecond, run: 800 * time.Millisecond, pause: 350 * time.Millisecond},
		{name: "long and short pauses", first: 1500 * time.Millisecond, run: 600 * time.Millisecond, pause: 310 * time.Millisecond},
		{name: "short pauses", first: 310 * time.Millisecond, run: 200 * time.Millisecond, pause: 310 * time.Millisecond},
		{name: "nearly always paused", first: 900 * time.Millisecond, run: 100 * time.Millisecond, pause: 900 * time.Millisecond},
	} {
		c := newListClock()
		c.read(1700 * time.Millisecond)
		c.pause(v.first)
		began := c.now
		for c.now.Sub(began) < 5*time.Second {
			for end := c.now.Add(v.run); c.now.Before(end); c.run(updateInterval) {
				if held := c.now.Sub(began); !c.isCurrent() && held > 1500*time.Millisecond {
					t.Fatalf("%s: requests are still held after %s", v.name, held)
				}
			}
			c.pause(v.pause)
		}
	}
}

// A list that was read in a wait, but confirmed before it, must not count as awaited once it is
// old: requests went by a list of any age at the next pause.
func TestListReadInWaitGetsOld(t *testing.T) {
	c := newListClock()
	c.read(1500 * time.Millisecond)
	c.pause(400 * time.Millisecond)
	if c.isCurrent() {
		t.Error("a list of 1.9 s is current after a pause")
	}
	c.run(50 * time.Millisecond)
	c.read(500 * time.Millisecond)
	if !c.isCurrent() {
		t.Error("a list of 0.5 s isn't current")
	}
	c.run(4 * time.Second)
	c.pause(400 * time.Millisecond)
	if c.isCurrent() {
		t.Error("a list of 4.9 s is current after a pause")
	}
}

// Lists that are too old when they come, as from a store that answers late, must not prolong the
// wait with each one: requests were held for as long as they came.
func TestLateListsDoNotProlongListWait(t *testing.T) {
	for _, age := range []time.Duration{1200 * time.Millisecond, 1700 * time.Millisecond, 2400 * time.Millisecond} {
		c := newListClock()
		c.run(time.Second)
		c.read(age)
		released := c.now
		for range 60 {
			c.pause(310 * time.Millisecond)
			for range 5 {
				if held := c.now.Sub(released); !c.isCurrent() && held > 1700*time.Millisecond {
					t.Fatalf("lists of %s: requests are still held after %s", age, held)
				} else if c.isCurrent() {
					released = c.now
				}
				c.run(100 * time.Millisecond)
			}
			c.read(age)
		}
	}
}
