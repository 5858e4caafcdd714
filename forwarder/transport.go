package forwarder

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Times of connections.
const (
	// dialTimeout is well below the second that callers allow for a connection; a
	// lost opening packet is sent again after a second, so it counts as failed.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged. Callers give up
	// a silent stream after two seconds.
	userTimeout = 1200 * time.Millisecond
	// probeIdle and probeInterval of keep-alive probes find a dead endpoint while
	// the gateway waits for its answer.
	probeIdle     = time.Second
	probeInterval = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept where the endpoint
	// names no time.
	defaultIdleTimeout = 4 * time.Second
)

const (
	probeCount = 3
	// maxIdlePerEndpoint bounds the idle connections to one endpoint, and maxIdleAll those to all
	// endpoints, which share the descriptors with callers.
	maxIdlePerEndpoint = 24
	maxIdleTotal       = 1024
	// bufferSize is the size of the buffers of a connection; requests and events
	// are smaller.
	bufferSize = 2 << 10
	// maxResponseHeaderBytes bounds the headers of a response with the interim ones before it, in
	// bytes.
	maxResponseHeaderBytes = 64 << 10
)

// connection is a connection to an endpoint.
type connection struct {
	net.Conn
	r         *bufio.Reader
	idleUntil time.Time
	// readLimited tells that at most left further bytes are read from the network.
	readLimited   bool
	readRemaining int
}

// errReadLimit ends a response of which more bytes came than it may have.
var errReadLimit = errors.New("the response doesn't end")

// limitReads bounds the bytes that are read from now on; unlimit lifts the bound.
func (c *connection) limitReads(n int) { c.readLimited, c.readRemaining = true, n }

func (c *connection) unlimitReads() { c.readLimited = false }

// Read implements io.Reader.
func (c *connection) Read(b []byte) (int, error) {
	if !c.readLimited {
		return c.Conn.Read(b)
	}
	if c.readRemaining <= 0 {
		return 0, errReadLimit
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readRemaining)])
	c.readRemaining -= n
	return n, err
}

// Transport keeps idle connections to endpoints. The zero value is ready.
type Transport struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// idleCount is the number of idle connections.
	idleCount int
}

// open returns a connection; an idle one unless fresh is set. An error means that
// no connection was made.
func (t *Transport) open(ctx context.Context, a netip.AddrPort, fresh bool) (*connection, error) {
	if !fresh {
		if c := t.takeIdle(a); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp4", a.String())
	if err != nil {
		return nil, &Error{Op: "connect to " + a.String(), Kind: classifier.Unavailable, Err: err}
	}
	made := &connection{Conn: c}
	made.r = bufio.NewReaderSize(made, bufferSize)
	return made, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(e, err)
}

// abort closes the connection and drops what was not yet delivered. Otherwise the
// kernel would go on to deliver a request behind a cut link after its caller left.
func (c *connection) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// A connection that is closed already needs nothing.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// takeIdle returns an idle connection that is open and silent, or nil.
func (t *Transport) takeIdle(a netip.AddrPort) *connection {
	for {
		t.mu.Lock()
		l := t.idle[a]
		if len(l) == 0 {
			t.mu.Unlock()
			return nil
		}
		c := l[len(l)-1]
		t.idle[a] = l[:len(l)-1]
		t.idleCount--
		t.mu.Unlock()
		if time.Now().Before(c.idleUntil) && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

// isReusable reports whether the connection is open and nothing lies on it.
func (c *connection) isReusable() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		_, e := peek(fd)
		silent = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}

// putIdle keeps a connection on which a response ended.
func (t *Transport) putIdle(a netip.AddrPort, c *connection, keepAlive string) {
	idle := defaultIdleTimeout
	if s, ok := keepAliveTimeout(keepAlive); ok {
		// The endpoint counts from its own end of the response.
		idle = s * 7 / 10
	}
	c.idleUntil = time.Now().Add(idle)
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = make(map[netip.AddrPort][]*connection)
	}
	if len(t.idle[a]) >= maxIdlePerEndpoint || t.idleCount >= maxIdleTotal {
		_ = c.Close()
		return
	}
	t.idle[a] = append(t.idle[a], c)
	t.idleCount++
}

// Kept returns the number of idle connections.
func (t *Transport) Kept() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleCount
}

// keepAliveTimeout reads the timeout of a Keep-Alive header.
func keepAliveTimeout(v string) (time.Duration, bool) {
	for p := range strings.SplitSeq(v, ",") {
		k, n, ok := strings.Cut(strings.TrimSpace(p), "=")
		if s, err := strconv.Atoi(n); ok && err == nil && strings.EqualFold(k, "timeout") {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}

// Sweep closes the connections that were idle for too long.
func (t *Transport) Sweep() {
	now := time.Now()
	var old []*connection
	t.mu.Lock()
	for a, l := range t.idle {
		kept := l[:0]
		for _, c := range l {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
				t.idleCount--
			}
		}
		if t.idle[a] = kept; len(kept) == 0 {
			delete(t.idle, a)
		}
	}
	t.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
