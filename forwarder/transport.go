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

// Timeouts of connections.
const (
	// dialTimeout is well below the second that callers allow for a connection. A lost
	// SYN is retransmitted only after a second, so it counts as a failed dial.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged, or a window of zero last.
	// A path that is silent for two seconds and then goes on must keep its connections:
	// callers wait that long for an event. The kernel doubles the time between
	// retransmissions, so the second one may come just before the two seconds have passed
	// and the third one after 7/3 of them. It sends none when the time is over.
	userTimeout = 4700 * time.Millisecond
	// probeIdle and probeInterval set the TCP keep-alive probes, which detect a dead
	// endpoint while the gateway waits for its response. The kernel takes whole seconds.
	// It ends the connection at the first probe that is due after userTimeout, whatever
	// probeCount is, so that a request has its last second left for a truthful response.
	probeIdle     = time.Second
	probeInterval = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
)

const (
	// probeCount gives the same time where userTimeout isn't considered.
	probeCount = 4
	// maxIdlePerEndpoint bounds the idle connections to one endpoint and maxIdleTotal
	// those to all endpoints, as they share the file descriptors with the callers'
	// connections.
	maxIdlePerEndpoint = 24
	maxIdleTotal       = 1024
	// bufferSize is the size in bytes of the buffers of a connection. Most requests and
	// events are smaller.
	bufferSize = 2 << 10
	// maxResponseHeaderBytes bounds the headers of a response together with those of
	// the interim responses before it.
	maxResponseHeaderBytes = 64 << 10
)

// connection is a connection to an endpoint.
type connection struct {
	net.Conn
	r *bufio.Reader
	// madeAt is when the connection had been made.
	madeAt    time.Time
	idleUntil time.Time
	// readLimited reports whether at most readRemaining more bytes may be read.
	readLimited   bool
	readRemaining int
	// beforeRead is called before each read from the network; it may be nil.
	beforeRead func() error
}

// errReadLimit ends a response that exceeds the read limit of its connection.
var errReadLimit = errors.New("response exceeds the read limit")

// limitReads allows at most n more bytes to be read, until unlimitReads is called.
func (c *connection) limitReads(n int) { c.readLimited, c.readRemaining = true, n }

func (c *connection) unlimitReads() { c.readLimited = false }

// Read implements io.Reader.
func (c *connection) Read(b []byte) (int, error) {
	if c.beforeRead != nil {
		if err := c.beforeRead(); err != nil {
			return 0, err
		}
	}
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

// Transport is a pool of idle connections to endpoints. The zero value is ready to use.
type Transport struct {
	// Dial opens a connection to an endpoint; nil means TCP with the timeouts of this
	// package.
	Dial func(ctx context.Context, a netip.AddrPort) (net.Conn, error)

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// idleCount is the number of idle connections to all endpoints.
	idleCount int
}

// open returns an idle connection if there is one and fresh is not set, and otherwise
// dials a new one. An error means that the dial failed.
func (t *Transport) open(ctx context.Context, a netip.AddrPort, fresh bool) (*connection, error) {
	if !fresh {
		if c := t.takeIdle(a); c != nil {
			return c, nil
		}
	}
	dial := t.Dial
	if dial == nil {
		dial = dialTCP
	}
	c, err := dial(ctx, a)
	if err != nil {
		return nil, &Error{Op: "connect to " + a.String(), Kind: classifier.Unavailable, Err: err}
	}
	made := &connection{Conn: c, madeAt: time.Now()}
	made.r = bufio.NewReaderSize(made, bufferSize)
	return made, nil
}

func dialTCP(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUserTimeout,
	}
	return d.DialContext(ctx, "tcp4", a.String())
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(e, err)
}

// abort resets the connection and discards unsent data. Otherwise the kernel could
// still deliver the request after its caller has disconnected, once a network
// partition heals.
func (c *connection) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// This fails only if the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// takeIdle returns an idle connection that can be reused, or nil. It closes those that
// can't.
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

// isReusable reports whether the connection is open and has no unread data.
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

// putIdle adds a connection to the pool after a complete response, or closes it if the
// pool is full or data is left unread.
func (t *Transport) putIdle(a netip.AddrPort, c *connection, keepAlive string) {
	idle := defaultIdleTimeout
	if s, ok := keepAliveTimeout(keepAlive); ok {
		// The endpoint's idle timer starts when it has sent the response, before the
		// gateway's, so only 70% of its timeout are used.
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

// Kept returns the number of idle connections to all endpoints.
func (t *Transport) Kept() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleCount
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(v string) (time.Duration, bool) {
	for p := range strings.SplitSeq(v, ",") {
		k, n, ok := strings.Cut(strings.TrimSpace(p), "=")
		if s, err := strconv.Atoi(n); ok && err == nil && strings.EqualFold(k, "timeout") {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}

// Sweep closes the connections whose idle timeout has passed.
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
