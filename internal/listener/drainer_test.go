package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
)

// drain serves with connections on which the given parts were sent, and begins to drain. The
// handler of the path /slow takes the given time. Its results are the connections, and how
// long Drain took.
func drain(t *testing.T, slow time.Duration, parts ...string) ([]net.Conn, <-chan time.Duration) {
	l, err := listener.Open(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan struct{}, len(parts))
	d := &listener.Drainer{Listener: l, Server: &http.Server{
		ReadHeaderTimeout: 5 * time.Second,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/slow" {
				time.Sleep(slow)
			}
		}),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				accepted <- struct{}{}
			}
		},
	}}
	go func() { _ = d.Serve() }()
	t.Cleanup(func() { _ = d.Server.Close() })
	var conns []net.Conn
	for _, p := range parts {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, p)
		conns = append(conns, c)
	}
	for range parts {
		select {
		case <-accepted:
		case <-time.After(10 * time.Second):
			t.Fatal("a connection isn't accepted within 10 s")
		}
	}
	time.Sleep(100 * time.Millisecond)
	took := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		if err := d.Drain(ctx); err != nil {
			t.Errorf("drain: %v", err)
		}
		took <- time.Since(began)
	}()
	return conns, took
}

// finish sends the rest of a request and returns the error if there is no answer.
func finish(c net.Conn, rest string) error {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, rest); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK || !r.Close {
		return fmt.Errorf("status %d, close %t", r.StatusCode, r.Close)
	}
	return nil
}

// A request that is read on a connection while others are still served must be answered,
// however late it comes.
func TestDrainAnswersLateRequest(t *testing.T) {
	conns, _ := drain(t, 4*time.Second, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", "", "GET / HTTP/1.1\r\n")
	time.Sleep(3300 * time.Millisecond)
	if err := finish(conns[1], "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Errorf("on an empty connection: %v", err)
	}
	if err := finish(conns[2], "Host: h\r\n\r\n"); err != nil {
		t.Errorf("after a part of the headers: %v", err)
	}
	if err := finish(conns[0], ""); err != nil {
		t.Errorf("the request that was served: %v", err)
	}
}

// A connection on which a part of a request has arrived must not be closed before the rest is
// there, but one that stays empty must not hold up the stop.
func TestDrainWaitsForBegunRequest(t *testing.T) {
	conns, took := drain(t, 0, "", "GET / HTTP/1.1\r\n")
	time.Sleep(1800 * time.Millisecond)
	if err := finish(conns[1], "Host: h\r\n\r\n"); err != nil {
		t.Errorf("after a part of the headers: %v", err)
	}
	if d := <-took; d < 1800*time.Millisecond {
		t.Errorf("drained after %s", d)
	}
	_, took = drain(t, 0, "")
	if d := <-took; d > 2500*time.Millisecond {
		t.Errorf("an empty connection held up the stop for %s", d)
	}
}
