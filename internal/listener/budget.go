package listener

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Class is a group of connections with a guaranteed share of the budget of the process.
type Class int

const (
	// Callers are the clients of the service.
	Callers Class = iota
	// Peers are other processes of this system.
	Peers
	// Operators use the operator API, the metrics and the readiness check.
	Operators
	classes
)

func (k Class) String() string { return [...]string{"callers", "peers", "operators"}[k] }

// resource is what connections use up.
type resource int

const (
	descriptors resource = iota
	memory
	resources
)

func (r resource) String() string { return [...]string{"descriptors", "memory"}[r] }

// Reasons for closing a connection beside an exhausted resource.
const (
	headTooLarge = "head-too-large"
	headLate     = "head-late"
)

const (
	// headTime is the longest time that clients within the limits take for a head.
	headTime = 3 * time.Second
	// unreadTime is how long the write of a response may wait before its connection may be closed
	// to make room. It is a fifth of what the senders of responses allow.
	unreadTime = time.Second
	// quietTime is the time without a byte from which an opaque connection may be closed to make
	// room. Agents and gateways send something every 2 s.
	quietTime = 10 * time.Second
	// logInterval is the shortest time between two log lines of a budget.
	logInterval = 10 * time.Second
)

const (
	// memoryDivisor sets the share of the instance's memory that connections may hold. Buffered
	// bodies have a quarter; with GOGC at 50 both take up to 0.68 of it, and the process the rest.
	memoryDivisor = 5
	// largeBytes is the growth from which a head or body is closed before idle connections are. The
	// heads of ordinary requests take a few KiB.
	largeBytes = 64 << 10
	// defaultMemory is what connections may hold beyond connectionBytes each where the memory of
	// the instance isn't known.
	defaultMemory = 64 << 20
	// connectionBytes is what an idle connection takes: its goroutine and two buffers of 4 KiB.
	connectionBytes = 12 << 10
)

// shares holds the part of the budget that each class gets in any case, as one part in shares.
var shares = [classes]int64{Callers: 3, Peers: 6, Operators: 24}

// Budget limits what the connections that others open to a process use: three quarters of its
// descriptors, and a part of its memory. When it is exhausted it closes the connections of which
// the least is lost, and refuses new ones if there is none. A request that is complete is cut
// only if its response isn't read. The exported fields are set before the first connection.
type Budget struct {
	// Descriptors is the maximum number of open files of the process, Memory the bytes of its
	// instance, or 0 if they aren't known.
	Descriptors int
	Memory      int64
	Log         zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// served holds the classes for which there are listeners.
	served [classes]bool
	held   map[*connection]struct{}
	used   [resources][classes]int64
	closed map[Closing]uint64
	// unlogged is the number of closed connections since the last line, at logged.
	unlogged uint64
	logged   time.Time
}

// Closing names why connections were closed or refused.
type Closing struct {
	Class  Class
	Reason string
}

func (b *Budget) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// total returns what all connections may use of a resource.
func (b *Budget) total(r resource) int64 {
	files := int64(b.Descriptors) * 3 / 4
	switch {
	case r == descriptors:
		return files
	case b.Memory > 0:
		return b.Memory / memoryDivisor
	}
	return defaultMemory + files*connectionBytes
}

// admit returns the connection, or nil if there is no room for it.
func (b *Budget) admit(c *connection) *connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == nil {
		b.held = make(map[*connection]struct{})
	}
	c.phase, c.since, c.bytes = phaseHead, b.now(), c.base
	for r, n := range [resources]int64{descriptors: 1, memory: c.base} {
		if !b.makeRoom(resource(r), c.class, n, nil) {
			b.note(c, resource(r).String())
			return nil
		}
	}
	b.held[c] = struct{}{}
	b.used[descriptors][c.class]++
	b.used[memory][c.class] += c.base
	return c
}

// grow adds n bytes to what a connection takes. It returns false if the connection has been closed,
// or is closed now because no other one gives way.
func (b *Budget) grow(c *connection, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.dropped {
		return false
	}
	if !b.makeRoom(memory, c.class, n, c) {
		b.drop(c, memory.String())
		return false
	}
	c.bytes += n
	b.used[memory][c.class] += n
	return true
}

// shrink takes up to n bytes off what an opaque connection takes beyond its base.
func (b *Budget) shrink(c *connection, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.dropped {
		return
	}
	n = min(n, c.bytes-c.base)
	c.bytes -= n
	b.used[memory][c.class] -= n
}

// enter notes the phase that begins. In phaseIdle a connection takes its base alone.
func (b *Budget) enter(c *connection, p phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.dropped {
		return
	}
	c.phase, c.since, c.arrived = p, b.now(), true
	if p == phaseIdle {
		b.used[memory][c.class] -= c.bytes - c.base
		c.bytes = c.base
	}
}

// write notes the begin or end of a write.
func (b *Budget) write(c *connection, begins bool) {
	at := int64(0)
	if begins {
		at = b.now().UnixNano()
	}
	c.unread.Store(at)
}

// remove notes the end of a connection.
func (b *Budget) remove(c *connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.dropped {
		return
	}
	if c.phase == phaseHead && b.now().Sub(c.since) > headTime {
		b.note(c, headLate)
	}
	b.forget(c)
}

func (b *Budget) forget(c *connection) {
	c.dropped = true
	delete(b.held, c)
	b.used[descriptors][c.class]--
	b.used[memory][c.class] -= c.bytes
}

// drop closes a connection.
func (b *Budget) drop(c *connection, reason string) {
	b.forget(c)
	b.note(c, reason)
	c.close()
}

// isDropped reports whether the connection has been closed or its end noted.
func (b *Budget) isDropped(c *connection) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.dropped
}

// refuse counts a connection whose head exceeds the limit.
func (b *Budget) refuse(c *connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(c, headTooLarge)
}

// note counts a connection that is closed or refused, and logs it unless the last line is recent.
func (b *Budget) note(c *connection, reason string) {
	if b.closed == nil {
		b.closed = make(map[Closing]uint64)
	}
	b.closed[Closing{c.class, reason}]++
	b.unlogged++
	if now := b.now(); now.Sub(b.logged) >= logInterval {
		b.Log.Warn().Stringer("class", c.class).Str("reason", reason).Str("address", c.address).Uint64("closed", b.unlogged).Msg("connections-closed")
		b.logged, b.unlogged = now, 0
	}
}

// Reserve takes n bytes for a request of a class whose connection is opaque, and reports whether
// there is room. Release gives them back.
func (b *Budget) Reserve(k Class, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.makeRoom(memory, k, n, nil) {
		return false
	}
	b.used[memory][k] += n
	return true
}

// Release gives back what Reserve took.
func (b *Budget) Release(k Class, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[memory][k] -= n
}

// Used returns the number of open connections and the bytes that they hold, of all classes.
func (b *Budget) Used() (connections, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range classes {
		connections += b.used[descriptors][k]
		bytes += b.used[memory][k]
	}
	return connections, bytes
}

// Closed returns the number of connections that were closed or refused, by class and reason.
func (b *Budget) Closed() map[Closing]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[Closing]uint64, len(b.closed))
	for k, n := range b.closed {
		m[k] = n
	}
	return m
}
