package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// freshTimeout is how long a connection that was accepted is waited for in a planned
	// stop until it has sent a request.
	freshTimeout = 3 * time.Second
	// drainInterval is the interval at which connections are checked in a planned stop.
	drainInterval = 10 * time.Millisecond
)

// Drainer serves HTTP and stops without cutting off a request. http.Server.Shutdown alone
// closes a connection without an answer if the headers of its first request are read after
// the call.
type Drainer struct {
	Server   *http.Server
	Listener net.Listener

	mu sync.Mutex
	// fresh holds the time of acceptance of connections of which no request has been read.
	fresh map[net.Conn]time.Time
}

// Serve accepts connections until Drain or Server.Close is called, and returns nil then.
func (d *Drainer) Serve() error {
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
	if s != http.StateNew {
		delete(d.fresh, c)
		return
	}
	if d.fresh == nil {
		d.fresh = make(map[net.Conn]time.Time)
	}
	d.fresh[c] = time.Now()
}

// Drain accepts no more connections, waits for the first request of each one that was
// accepted, and then for all requests in progress, until ctx is done.
func (d *Drainer) Drain(ctx context.Context) error {
	err := d.Listener.Close()
	d.Server.SetKeepAlivesEnabled(false)
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for d.hasFresh() && ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return errors.CombineErrors(d.Server.Shutdown(ctx), err)
}

// hasFresh reports whether a first request is still waited for on a connection.
func (d *Drainer) hasFresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.fresh {
		if time.Since(at) < freshTimeout {
			return true
		}
	}
	return false
}
