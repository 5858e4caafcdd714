package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
)

// drained is a guarded server that is drained.
type drained struct {
	*listener.Drainer
	mu  sync.Mutex
	ran map[string]bool
}

func newDrained(t *testing.T) *drained {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &drained{ran: make(map[string]bool)}
	s := &http.Server{ReadHeaderTimeout: guardTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		d.mu.Lock()
		d.ran[q.URL.Path] = true
		d.mu.Unlock()
		_, _ = io.WriteString(w, "a")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, "b")
	})}
	b := &listener.Budget{Descriptors: 1000, Memory: 64 << 20, Log: zerolog.Nop()}
	d.Drainer = &listener.Drainer{Server: s, Listener: b.Guard(s, l, listener.Callers)}
	go func() { _ = d.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return d
}

func (d *drained) drain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), guardTimeout)
	defer cancel()
	if err := d.Drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
}

// ask sends a request on a connection and reports whether the whole response arrived.
func ask(c net.Conn, r *bufio.Reader, path string) bool {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	status, err := readStatus(r)
	return err == nil && status == http.StatusOK
}

// Guards against a planned stop that closes a connection on which a further request is being read.
func TestDrainAnswersHalfReadFurtherRequest(t *testing.T) {
	d := newDrained(t)
	c, r := dialGuarded(t, d.Listener.Addr())
	if !ask(c, r, "/first") {
		t.Fatal("no response to the first request")
	}
	_, _ = io.WriteString(c, "GET /half HTTP/1.1\r\n")
	time.Sleep(100 * time.Millisecond)
	time.AfterFunc(200*time.Millisecond, func() { _, _ = io.WriteString(c, "Host: h\r\n\r\n") })
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.drain(t)
	}()
	if status, err := readStatus(r); err != nil || status != http.StatusOK {
		t.Errorf("the further request got status %d, %v", status, err)
	}
	<-done
}

// Guards against a planned stop that closes a connection on which a request has arrived since it
// was seen to be idle: the request runs, and its caller gets a part of the response or none.
func TestDrainCutsNoRequestOnIdleConnection(t *testing.T) {
	const rounds, conns = 80, 60
	cut := 0
	for range rounds {
		d := newDrained(t)
		var g sync.WaitGroup
		var mu sync.Mutex
		for i := range conns {
			c, r := dialGuarded(t, d.Listener.Addr())
			g.Go(func() {
				defer func() { _ = c.Close() }()
				for n := 0; ; n++ {
					path := "/" + strconv.Itoa(i) + "/" + strconv.Itoa(n)
					if ask(c, r, path) {
						continue
					}
					d.mu.Lock()
					ran := d.ran[path]
					d.mu.Unlock()
					if ran {
						mu.Lock()
						cut++
						mu.Unlock()
					}
					return
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
		d.drain(t)
		g.Wait()
	}
	if cut > 0 {
		t.Errorf("%d requests in %d stops ran and got no whole response", cut, rounds)
	}
}
