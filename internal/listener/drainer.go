package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// freshTimeout is how long a connection that was accepted is waited for in a planned
	// stop until it has sent a request, and emptyTimeout the same while no byte has arrived.
	freshTimeout = 3 * time.Second
	emptyTimeout = time.Second
	// drainInterval is the interval at which connections are checked in a planned stop.
	drainInterval = 10 * time.Millisecond
	// ExitMargin is the part of the time of a planned stop that is reserved for the process
	// to exit.
	ExitMargin = 700 * time.Millisecond
	// answerTimeout is the part of ExitMargin in which the requests that a planned stop has
	// cut are answered.
	answerTimeout = 300 * time.Millisecond
)

// Drainer serves HTTP and stops without cutting off a request. http.Server.Shutdown alone
// closes a connection without an answer if the headers of its first request are read after
// the call.
type Drainer struct {
	Server   *http.Server
	Listener net.Listener

	mu sync.Mutex
	// secure reports whether the server uses TLS, and so HTTP/2. Serve sets it, as net/http
	// sets a TLS configuration in any case.
	secure bool
	// fresh holds the time of acceptance of connections of which no request has been read,
	// and active the connections with a request in progress.
	fresh  map[net.Conn]time.Time
	active map[net.Conn]struct{}
}

// Serve accepts connections until Drain or Server.Close is called, and returns nil then.
func (d *Drainer) Serve() error {
	d.mu.Lock()
	d.secure = d.Server.TLSConfig != nil
	d.mu.Unlock()
	next := d.Server.ConnState
	d.Server.ConnState = func(c net.Conn, s http.ConnState) {
		d.observe(c, s)
		if next != nil {
			next(c, s)
		}
	}
	return Serve(d.Server, d.Listener)
}

func (d *Drainer) observe(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fresh == nil {
		d.fresh, d.active = make(map[net.Conn]time.Time), make(map[net.Conn]struct{})
	}
	delete(d.fresh, c)
	delete(d.active, c)
	switch s {
	case http.StateNew:
		d.fresh[c] = time.Now()
	case http.StateActive:
		d.active[c] = struct{}{}
	}
}

// Drain accepts no more connections, and waits for all requests in progress and those that
// arrive meanwhile, until ctx is done. It may be called again then.
func (d *Drainer) Drain(ctx context.Context) error {
	err := d.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	// SetKeepAlivesEnabled and Shutdown close a connection that was idle when they looked, although
	// a request may have been read from it since. A guard knows with certainty, but not under
	// TLS, where it doesn't see requests.
	g, _ := d.Listener.(*Guard)
	if g != nil && (g.secure || g.opaque) {
		g = nil
	}
	if g == nil {
		d.Server.SetKeepAlivesEnabled(false)
	}
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for g != nil && g.drain() || d.isAwaited() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
	d.closeFresh()
	return errors.CombineErrors(d.Server.Shutdown(ctx), err)
}

// DrainAll drains the servers until the given time. Then it calls cut, which ends the requests
// in progress and returns their number, and waits for the answers that they get.
func DrainAll(servers []*Drainer, until time.Time, cut func() int) (int, error) {
	drain := func(ctx context.Context) error {
		var g errgroup.Group
		for _, d := range servers {
			g.Go(func() error { return d.Drain(ctx) })
		}
		return g.Wait()
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	err := drain(ctx)
	n := cut()
	if err != nil {
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		_ = drain(ctx)
	}
	return n, err
}

// isAwaited reports whether the server has to go on, as it serves a request or waits for the
// first one on a connection. From Shutdown on, requests are read and not answered.
func (d *Drainer) isAwaited() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// With HTTP/2, callers open no new connections before Shutdown tells them.
	if !d.secure && len(d.active) > 0 {
		return true
	}
	for c, at := range d.fresh {
		if age := time.Since(at); age < emptyTimeout || age < freshTimeout && !isEmpty(c) {
			return true
		}
	}
	return false
}

// closeFresh closes the connections on which no request has arrived.
func (d *Drainer) closeFresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.fresh {
		_ = c.Close() // fails if the caller has closed it
	}
}

// isEmpty reports whether it is known that no byte has arrived on a connection.
func isEmpty(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		i, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		empty = e == nil && i.Bytes_received == 0
	})
	return empty && err == nil
}
