package listener

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// MaxHeadBytes limits the head of a request, also where a higher limit is configured. Clients
	// send at most 16,384 bytes of headers; the rest is for the request line.
	MaxHeadBytes = 64 << 10
	// headSlack is what net/http reads beyond MaxHeaderBytes.
	headSlack = 4 << 10
	// bodyTimeout is how long a body may take that its handler doesn't read; those that read it
	// set a time of their own. Without it net/http waits for such a body without end.
	bodyTimeout = 5 * time.Second
	// uncountedBody is the part of a body that is counted here; what is longer is counted where
	// it is read (receiver.UncountedBytes).
	uncountedBody = 32 << 10
	// Parsed, a head takes about lineBytes for each of its lines and headFactor times its bytes:
	// a line of 4 bytes takes an entry in the map of headers. Under TLS lines aren't seen, and
	// secureFactor stands for both.
	lineBytes    = 160
	headFactor   = 3
	secureFactor = 10
	// secureBytes is what a connection with TLS or HTTP/2 takes while it is idle.
	secureBytes = 48 << 10
)

// Guard is a listener whose connections count in a budget.
type Guard struct {
	net.Listener
	Budget *Budget
	Class  Class
	// opaque is set for connections whose requests aren't told apart, secure for TLS.
	opaque, secure bool
	// conns holds the open connections of an opaque server by their remote addresses.
	conns sync.Map
	// drains is set in a planned stop. Responses then end their connections.
	drains atomic.Bool
}

// drain makes further responses end their connections, closes idle ones, and reports whether a
// request arrives or is in progress.
func (g *Guard) drain() (busy bool) {
	g.drains.Store(true)
	return g.Budget.closeIdle(g)
}

// Received tells that n bytes of an opaque connection have been processed. Until then what is read
// counts in the budget, as the server may hold it until a message is complete.
func (g *Guard) Received(remote net.Addr, n int64) {
	if c, ok := g.conns.Load(remote.String()); ok {
		g.Budget.shrink(c.(*conn).held, n)
	}
}

// GuardOpaque returns a listener for a server that isn't one of net/http.
func (b *Budget) GuardOpaque(l net.Listener, k Class) *Guard {
	b.serve(k)
	return &Guard{Listener: l, Budget: b, Class: k, opaque: true}
}

// Guard returns a listener for the server, and lets the server tell the budget what its connections
// do. The other fields of the server are set before.
func (b *Budget) Guard(s *http.Server, l net.Listener, k Class) *Guard {
	b.serve(k)
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = MaxHeadBytes
	}
	state, connContext := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, v http.ConnState) {
		if g := guarded(c); g != nil {
			g.observe(v)
		}
		if state != nil {
			state(c, v)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, guarded(c))
	}
	s.Handler = watchBodies(s.Handler)
	return &Guard{Listener: l, Budget: b, Class: k, secure: s.TLSConfig != nil}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (g *Guard) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		v := &conn{Conn: c, guard: g}
		v.held = &connection{class: g.Class, guard: g, base: connectionBytes, close: func() { _ = c.Close() }}
		if g.opaque || g.secure {
			v.held.base = secureBytes
		}
		if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
			v.held.address = a.IP.String()
		}
		if g.Budget.admit(v.held) != nil {
			if g.opaque {
				g.conns.Store(c.RemoteAddr().String(), v)
			}
			return v, nil
		}
		_ = c.Close()
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// conn is an accepted connection.
type conn struct {
	net.Conn
	guard *Guard
	held  *connection
	// running is set while no head is read.
	running atomic.Bool
	// head is the number of bytes of the head that is being read. Only the reader uses it.
	head int
	// seen is set when a byte has arrived.
	seen atomic.Bool
}

// guarded returns the connection under those of TLS, or nil if it is another one.
func guarded(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	g, _ := c.(*conn)
	return g
}

func (c *conn) observe(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.running.Store(true)
		c.guard.Budget.enter(c.held, phaseRun)
	case http.StateIdle:
		c.seen.Store(false)
		c.running.Store(false)
		c.guard.Budget.enter(c.held, phaseIdle)
	}
}

// Read implements net.Conn. It fails when the budget has no room for more of a head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n == 0 || c.running.Load():
	case c.guard.opaque:
		c.guard.Budget.enter(c.held, phaseOpaque)
		if !c.guard.Budget.grow(c.held, int64(n)) {
			return 0, net.ErrClosed
		}
	case !c.readHead(p[:n]):
		return 0, net.ErrClosed
	}
	return n, err
}

// readHead counts a part of a head.
func (c *conn) readHead(p []byte) bool {
	b := c.guard.Budget
	if !c.seen.Swap(true) {
		c.head = 0
		b.enter(c.held, phaseHead)
	}
	// net/http reads no more than this of a head.
	const limit = MaxHeadBytes + headSlack
	if c.head < limit && c.head+len(p) >= limit && !c.guard.secure {
		b.refuse(c.held)
	}
	c.head += len(p)
	cost := headFactor*len(p) + lineBytes*bytes.Count(p, []byte{'\n'})
	if c.guard.secure {
		cost = secureFactor * len(p)
	}
	return b.grow(c.held, int64(cost))
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.guard.Budget.write(c.held, true)
	defer c.guard.Budget.write(c.held, false)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.Budget.remove(c.held)
	if c.guard.opaque {
		c.guard.conns.CompareAndDelete(c.RemoteAddr().String(), c)
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http end its side first, so that the response to a request that is not read
// whole arrives.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}

// watchBodies returns a handler that tells the budget which requests lack a part of their body. It
// doesn't run a request whose connection was closed before, and ends connections in a planned stop.
func watchBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c, _ := q.Context().Value(connKey{}).(*conn)
		if c != nil && q.ProtoMajor == 1 {
			if c.guard.Budget.isDropped(c.held) {
				panic(http.ErrAbortHandler)
			}
			if c.guard.drains.Load() {
				w.Header().Set("Connection", "close")
			}
		}
		if c == nil || q.Body == nil || q.Body == http.NoBody || q.ProtoMajor > 1 {
			next.ServeHTTP(w, q)
			return
		}
		// A writer without deadlines, as in tests, has no connection that could block.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		c.guard.Budget.enter(c.held, phaseBody)
		// The server goes on using the body of its own request.
		own := *q
		own.Body = &body{ReadCloser: q.Body, conn: c}
		next.ServeHTTP(w, &own)
	})
}

// body counts what is read of a body.
type body struct {
	io.ReadCloser
	conn *conn
	read int
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if more := min(n, uncountedBody-b.read); more > 0 {
		b.read += more
		// Twice, as buffers grow by copying.
		if !b.conn.guard.Budget.grow(b.conn.held, 2*int64(more)) {
			return 0, net.ErrClosed
		}
	}
	if err != nil {
		b.conn.guard.Budget.enter(b.conn.held, phaseRun)
	}
	return n, err
}
