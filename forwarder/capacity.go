package forwarder

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
)

// The load that Capacity addresses: gateways with 136 MB and 28 Mbit/s beside some with more, to
// which callers come unevenly. What one gateway can't take another one can.
const (
	// bufferShare is the part of the memory for bodies that are held until they are whole or sent,
	// on both sides, and callShare that for calls under way. The rest is for connections, the
	// tables and the program: about 50 MB in a fleet of 65 gateways.
	bufferShare = 0.25
	callShare   = 0.25
	// callBytes is what a call takes besides: a body and an answer of receiver.UncountedBytes, the
	// buffers of two connections and the stacks.
	callBytes = 96 << 10
	// minBuffers holds one request and its answer at their limits while their buffers grow.
	minBuffers = 32 << 20
	// minCalls is the least number of calls that are taken.
	minCalls = 16
	// maxLinkWait is how long the bytes that have passed before may take the link until a further
	// body is refused. It would arrive that much later, and callers wait for two seconds.
	maxLinkWait = 500 * time.Millisecond
	// maxClearTime bounds the time that the link is taken to need for what has passed. It keeps
	// conversions to time.Duration defined, and is longer than any single body or answer takes.
	maxClearTime = time.Minute
)

// Reasons of refusals because the gateway itself can take no more.
const (
	tooManyCalls  = "too-many-calls"
	linkFull      = "link-full"
	noRoomForBody = "no-room-for-body"
)

// Capacity is what a gateway takes, by the memory and the link of its instance. It decides
// without sockets; its methods may be called concurrently.
type Capacity struct {
	// Buffers bounds the bytes of bodies and answers that are held, and Calls the calls under way;
	// 0 means receiver.MaxBufferedBytes and no bound.
	Buffers int64
	Calls   int
	// Link is the number of bytes per second in each direction; 0 if it isn't known.
	Link float64
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu    sync.Mutex
	calls int
	// clearAt is when the link has carried the bytes that have been read and written so far.
	clearAt time.Time
	refused map[string]int64
}

// NewCapacity returns the capacity of a gateway with the memory in bytes and the link in bytes per
// second; 0 means that a figure isn't known, and bounds nothing.
func NewCapacity(memory int64, link float64) *Capacity {
	c := &Capacity{Link: link}
	if memory > 0 {
		c.Buffers = min(max(int64(bufferShare*float64(memory)), minBuffers), receiver.MaxBufferedBytes)
		c.Calls = max(minCalls, int(callShare*float64(memory)/callBytes))
	}
	return c
}

// Take adds a call with a body of the given length, of which the gateway holds buffered bytes
// for others, unless it can't take it. It returns the reason then, and else "". A length
// below 0 isn't known. The announced length takes nothing of the link, since the caller may never
// send that much: bytes are counted by Carry.
func (c *Capacity) Take(length, buffered int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := ""
	switch {
	case c.Calls > 0 && c.calls >= c.Calls:
		reason = tooManyCalls
	case c.Buffers > 0 && length > receiver.UncountedBytes && buffered > 0 && buffered+length > c.Buffers:
		reason = noRoomForBody
	case c.Link > 0 && (length < 0 || length > receiver.UncountedBytes) && c.clearAt.Sub(c.now()) > maxLinkWait:
		reason = linkFull
	}
	if reason != "" {
		if c.refused == nil {
			c.refused = make(map[string]int64)
		}
		c.refused[reason]++
		return reason
	}
	c.calls++
	return ""
}

// Return takes a call off the number of those under way.
func (c *Capacity) Return() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
}

// Carry records bytes that pass the link in both directions, as a body or an answer does.
func (c *Capacity) Carry(n int) {
	if c.Link <= 0 || n <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.clearAt.Before(now) {
		c.clearAt = now
	}
	seconds := min(float64(n)/c.Link, maxClearTime.Seconds())
	c.clearAt = c.clearAt.Add(time.Duration(seconds * float64(time.Second)))
	if latest := now.Add(maxClearTime); c.clearAt.After(latest) {
		c.clearAt = latest
	}
}

// CapacityUse is what of a Capacity is taken.
type CapacityUse struct {
	Calls int
	// LinkWait is the time until the link has carried what has been read and written.
	LinkWait time.Duration
	// Refused counts the refused calls by reason.
	Refused map[string]int64
}

// Use returns what is taken now.
func (c *Capacity) Use() CapacityUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := CapacityUse{Calls: c.calls, LinkWait: max(0, c.clearAt.Sub(c.now())), Refused: make(map[string]int64, len(c.refused))}
	for k, n := range c.refused {
		u.Refused[k] = n
	}
	return u
}

func (c *Capacity) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// SetCapacity bounds what the handler takes. It is called before the first request.
func (f *Handler) SetCapacity(c *Capacity) { f.capacity, f.buffers.Limit = c, c.Buffers }

// acquireCapacity adds the call to those under way, or refuses it as not run before its body is read.
func (c *call) acquireCapacity(q *http.Request) bool {
	p := c.handler.capacity
	if p == nil {
		return true
	}
	if reason := p.Take(q.ContentLength, c.handler.buffers.Used()); reason != "" {
		c.refuse(reason, otherGatewayRetryAfter)
		return false
	}
	return true
}

// linkReader counts the bytes of a body as they arrive.
type linkReader struct {
	io.Reader
	capacity *Capacity
}

func (r *linkReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.capacity.Carry(n)
	return n, err
}

// linkWriter counts the bytes of an answer as they are written.
type linkWriter struct {
	http.ResponseWriter
	capacity *Capacity
}

func (w *linkWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.capacity.Carry(n)
	return n, err
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *linkWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// returnCapacity takes the call off those under way.
func (c *call) returnCapacity() {
	if p := c.handler.capacity; p != nil {
		p.Return()
	}
}
