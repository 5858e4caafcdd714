package listener

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// budgetClock is a clock that a test sets.
type budgetClock struct{ now time.Time }

func (c *budgetClock) pass(d time.Duration) { c.now = c.now.Add(d) }

// budgetBench is a budget with connections that note when they are closed.
type budgetBench struct {
	*Budget
	clock  budgetClock
	closed []string
}

// newBudgetBench returns a budget for 60 connections and a megabyte, with listeners of all classes.
func newBudgetBench() *budgetBench {
	b := &budgetBench{clock: budgetClock{time.Unix(1000, 0)}}
	b.Budget = &Budget{Descriptors: 80, Memory: memoryDivisor << 20, Log: zerolog.Nop(), Now: func() time.Time { return b.clock.now }}
	for k := range classes {
		b.serve(k)
	}
	return b
}

// open admits a connection of 1 KiB, or returns nil.
func (b *budgetBench) open(name string, k Class) *connection {
	c := &connection{class: k, base: 1 << 10, address: "10.0.0.1"}
	c.close = func() { b.closed = append(b.closed, name) }
	return b.admit(c)
}

// fill opens connections of a class in the given phase until there is no room for more.
func (b *budgetBench) fill(k Class, p phase) int {
	n := 0
	for b.fits(descriptors, k, 1) {
		b.enter(b.open("filled", k), p)
		n++
	}
	return n
}

func (b *budgetBench) expectClosed(t *testing.T, names ...string) {
	t.Helper()
	if !slices.Equal(b.closed, names) {
		t.Errorf("closed %q, not %q", b.closed, names)
	}
}

// Guards against a crowd of one class that takes the descriptors of the others: callers must leave
// room for peers and operators, and each of them for callers.
func TestBudgetKeepsShares(t *testing.T) {
	for k := range classes {
		b := newBudgetBench()
		n := b.fill(k, phaseRun)
		if b.open("more", k) != nil {
			t.Errorf("%s: connection %d was admitted", k, n+1)
		}
		for j := range classes {
			for range b.floor(descriptors, j) {
				if j != k && b.open("other", j) == nil {
					t.Errorf("%s: no room for %s", k, j)
				}
			}
		}
		b.expectClosed(t)
	}
}

// Guards against a guaranteed share that is lost while another class has borrowed it.
func TestBudgetTakesBack(t *testing.T) {
	b := newBudgetBench()
	b.served[Operators] = false
	b.fill(Callers, phaseIdle)
	b.served[Operators] = true
	if b.open("operator", Operators) == nil {
		t.Error("no room for an operator beside idle callers")
	}
	b.expectClosed(t, "filled")
}

// Guards against closing a connection of which more is lost than of another one, and against cutting
// a request whose response is read.
func TestBudgetOrder(t *testing.T) {
	b := newBudgetBench()
	enter := func(name string, p phase) *connection {
		c := b.open(name, Callers)
		b.enter(c, p)
		return c
	}
	enter("late head", phaseHead)
	b.clock.pass(headTime + time.Millisecond)
	enter("body", phaseBody)
	b.write(enter("unread", phaseRun), true)
	enter("idle", phaseIdle)
	b.clock.pass(unreadTime)
	enter("head", phaseHead)
	b.clock.pass(time.Millisecond)
	enter("idle later", phaseIdle)
	b.write(enter("read slowly", phaseRun), true)
	b.fill(Callers, phaseRun)
	want := []string{"late head", "idle", "idle later", "head", "unread", "body"}
	for range want {
		b.enter(b.open("new", Callers), phaseRun)
	}
	b.expectClosed(t, want...)
	if b.open("last", Callers) != nil {
		t.Error("a connection was admitted in place of a request that runs")
	}
	if n := b.Closed()[Closing{Callers, "descriptors"}]; n != uint64(len(want))+1 {
		t.Errorf("%d were counted", n)
	}
}

// Guards against large heads that take the memory of small ones: the largest is closed, also if it
// is the one that grows.
func TestBudgetClosesLargestHead(t *testing.T) {
	b := newBudgetBench()
	small, large, running := b.open("small", Callers), b.open("large", Callers), b.open("running", Callers)
	b.enter(running, phaseRun)
	for b.fits(memory, Callers, 4<<10) {
		b.grow(large, 4<<10)
	}
	if !b.grow(small, 4<<10) {
		t.Error("a small head found no room beside a large one")
	}
	b.expectClosed(t, "large")
	for !small.dropped {
		b.grow(small, 16<<10)
	}
	b.expectClosed(t, "large", "small")
	if connections, bytes := b.Used(); connections != 1 || bytes != running.base {
		t.Errorf("%d connections with %d bytes are counted", connections, bytes)
	}
}

// Guards against idle connections that take the memory of ordinary requests.
func TestBudgetClosesIdleForRequest(t *testing.T) {
	b := newBudgetBench()
	idle, running, c := b.open("idle", Callers), b.open("running", Callers), b.open("request", Callers)
	for b.fits(memory, Callers, 1<<10) {
		b.grow(running, 1<<10)
	}
	b.enter(running, phaseRun)
	b.enter(idle, phaseIdle)
	if !b.grow(c, 1<<10) {
		t.Error("a request found no room beside an idle connection")
	}
	b.expectClosed(t, "idle")
}

// Guards against heads of whole requests that take all memory: what grows must be refused then,
// and the memory is free again when they have ended.
func TestBudgetCountsRequests(t *testing.T) {
	b := newBudgetBench()
	c := b.open("running", Callers)
	for b.fits(memory, Callers, 1<<10) {
		b.grow(c, 1<<10)
	}
	b.enter(c, phaseRun)
	if b.open("new", Callers) != nil {
		t.Error("a connection was admitted without memory")
	}
	if b.Reserve(Callers, 1<<10) {
		t.Error("memory was reserved twice")
	}
	b.enter(c, phaseIdle)
	if !b.Reserve(Callers, 1<<10) {
		t.Error("the head of a request that has ended is still counted")
	}
	b.Release(Callers, 1<<10)
	b.remove(c)
	if connections, bytes := b.Used(); connections != 0 || bytes != 0 {
		t.Errorf("%d connections with %d bytes are counted", connections, bytes)
	}
}

// Guards against closing streams of agents, which send something every 2 s, for a crowd that
// connects and is silent.
func TestBudgetKeepsBusyStreams(t *testing.T) {
	b := newBudgetBench()
	busy, quiet := b.open("busy", Peers), b.open("quiet", Peers)
	b.enter(busy, phaseOpaque)
	b.enter(quiet, phaseOpaque)
	b.fill(Peers, phaseRun)
	if b.open("new", Peers) != nil {
		t.Error("a connection was admitted in place of one that has just sent something")
	}
	b.clock.pass(quietTime)
	b.enter(busy, phaseOpaque)
	if b.open("new", Peers) == nil {
		t.Error("no connection was admitted in place of a quiet one")
	}
	b.expectClosed(t, "quiet")
}

// Guards against messages that arrive on opaque connections and are never whole: the largest is
// closed, and one that was processed isn't counted.
func TestBudgetClosesUnfinishedMessage(t *testing.T) {
	b := newBudgetBench()
	whole, unfinished := b.open("whole", Peers), b.open("unfinished", Peers)
	for _, c := range []*connection{whole, unfinished} {
		b.enter(c, phaseOpaque)
		b.grow(c, largeBytes)
	}
	b.grow(whole, largeBytes)
	b.shrink(whole, 3*largeBytes)
	if whole.bytes != whole.base {
		t.Errorf("%d bytes are counted of a processed message", whole.bytes-whole.base)
	}
	for b.fits(memory, Peers, 1<<10) {
		b.grow(unfinished, 1<<10)
	}
	if b.open("new", Peers) == nil {
		t.Error("no connection was admitted in place of an unfinished message")
	}
	b.expectClosed(t, "unfinished")
}

// Guards against limits that existing deployments, which don't know their memory, would meet with
// idle connections.
func TestBudgetWithoutMemory(t *testing.T) {
	b := &Budget{Descriptors: 400}
	b.serve(Callers)
	for range 300 {
		c := b.admit(&connection{base: connectionBytes, close: func() { t.Fatal("closed") }})
		if c == nil {
			t.Fatal("refused")
		}
		b.enter(c, phaseIdle)
	}
}

// Guards against a crowd that fills the log.
func TestBudgetLogsSeldom(t *testing.T) {
	var out strings.Builder
	b := newBudgetBench()
	b.Log = zerolog.New(&out)
	b.fill(Callers, phaseRun)
	for range 100 {
		b.open("new", Callers)
		b.clock.pass(150 * time.Millisecond)
	}
	if n := strings.Count(out.String(), "\n"); n != 2 {
		t.Errorf("%d lines in 15 s", n)
	}
	if !strings.Contains(out.String(), `"class":"callers","reason":"descriptors","address":"10.0.0.1","closed":`) {
		t.Error(out.String())
	}
}

// Guards against a planned stop that ends while the first bytes of a further request have been read
// and aren't counted yet: the connection would be closed as idle, and the request cut.
func TestCloseIdleAwaitsArrivedRequest(t *testing.T) {
	b := newBudgetBench()
	g := &Guard{Budget: b.Budget}
	open := func(name string) *connection {
		c := b.open(name, Callers)
		c.guard = g
		return c
	}
	open("nothing read")
	b.enter(open("idle"), phaseIdle)
	if b.closeIdle(g) {
		t.Error("busy with a new and an idle connection")
	}
	b.expectClosed(t, "idle")
	c := open("arrives")
	b.enter(c, phaseIdle)
	b.enter(c, phaseHead)
	if !b.closeIdle(g) {
		t.Error("not busy with a request that has begun to arrive")
	}
	b.clock.pass(headTime)
	if b.closeIdle(g) {
		t.Error("busy with a head that is late")
	}
	b.expectClosed(t, "idle")
}
