package policysim

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times, equal times in the order in
// which they were added.
type clock struct {
	now    time.Duration
	events events
	added  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

// after runs f when d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.added++
	heap.Push(&c.events, event{c.now + max(d, 0), c.added, f})
}

// run executes the events until the time has come.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// time returns the wall clock of the run.
func (c *clock) time() time.Time { return time.Unix(1_800_000_000, 0).Add(c.now) }
