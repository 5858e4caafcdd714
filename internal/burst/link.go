package burst

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// piece bounds the bytes that pass a link at a time, so that connections share
// it evenly.
const piece = 8 << 10

// link is a rate-limited link that serves its users in the order of arrival.
type link struct {
	// rate is in bytes per second.
	rate  float64
	bytes atomic.Int64
	// remote reserves the bytes where another process holds the link; nil
	// otherwise.
	remote func(n int) time.Duration
	// sleeps counts the waits, late those that ended more than slack too late
	// and so lost capacity of the link. Their share tells whether the machine is
	// too slow for the rate.
	sleeps, late atomic.Int64

	mu   sync.Mutex
	free time.Time
}

// slack is how long an idle link may make up for coarse timers.
const slack = 4 * time.Millisecond

// pass waits until n bytes have passed the link.
func (l *link) pass(n int) {
	l.bytes.Add(int64(n))
	begin := time.Now()
	reserve := l.reserve
	if l.remote != nil {
		reserve = l.remote
	}
	wait := reserve(n)
	if wait <= 0 {
		return
	}
	time.Sleep(wait)
	l.sleeps.Add(1)
	if time.Since(begin)-wait > slack {
		l.late.Add(1)
	}
}

// reserve returns the time after which n bytes have passed the link.
func (l *link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if t := now.Add(-slack); l.free.Before(t) {
		l.free = t
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free.Sub(now)
}

// host is the network side of an instance.
type host struct {
	send, receive *link
	// frozen is closed when the host stops without closing its connections.
	frozen chan struct{}

	mu    sync.Mutex
	dead  bool
	conns map[net.Conn]bool
}

func newHost(rate float64) *host {
	return &host{
		send: &link{rate: rate}, receive: &link{rate: rate},
		frozen: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
}

// kill closes all connections and refuses new ones.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead = true
	for c := range h.conns {
		_ = c.Close()
	}
}

// wrap returns a connection of the host that passes the links.
func (h *host) wrap(c net.Conn, send, receive []*link) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[c] = true
	if h.dead {
		_ = c.Close()
	}
	if t, ok := c.(*net.TCPConn); ok {
		// Small buffers keep the kernel from hiding the receiver's link.
		_ = t.SetReadBuffer(64 << 10)
		_ = t.SetWriteBuffer(64 << 10)
	}
	return &conn{Conn: c, host: h, send: send, receive: receive, closed: make(chan struct{})}
}

// conn is a connection that passes links in each direction.
type conn struct {
	net.Conn
	host          *host
	send, receive []*link
	// reach returns when the other side can be reached or the channel is
	// closed; nil where it always can.
	reach  func(done <-chan struct{})
	once   sync.Once
	closed chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), piece)])
	c.block()
	for _, l := range c.receive {
		l.pass(n)
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	total := 0
	for {
		p := b[:min(len(b), piece)]
		c.block()
		for _, l := range c.send {
			l.pass(len(p))
		}
		n, err := c.Conn.Write(p)
		total += n
		b = b[n:]
		if err != nil || len(b) == 0 {
			return total, err
		}
	}
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.host.mu.Lock()
	delete(c.host.conns, c.Conn)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

// block stops the connection of a frozen host until it is closed, and that to a
// side cut off until it can be reached.
func (c *conn) block() {
	select {
	case <-c.host.frozen:
		<-c.closed
	default:
	}
	if c.reach != nil {
		c.reach(c.closed)
	}
}

// listener accepts connections of a host.
type listener struct {
	net.Listener
	host *host
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.host.wrap(c, []*link{l.host.send}, nil), nil
}
