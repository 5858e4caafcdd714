package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
)

// guardTimeout is far above what any exchange of these tests takes.
const guardTimeout = 20 * time.Second

// serveGuarded serves on loopback with a budget.
func serveGuarded(t *testing.T, b *listener.Budget, h http.HandlerFunc) net.Addr {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: guardTimeout}
	d := &listener.Drainer{Server: s, Listener: b.Guard(s, l, listener.Callers)}
	go func() { _ = d.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr()
}

func dialGuarded(t *testing.T, a net.Addr) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(guardTimeout))
	return c, bufio.NewReader(c)
}

func readStatus(r *bufio.Reader) (int, error) {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode, err
}

// Guards against a budget that refuses what is within the limits: headers of 16,384 bytes as long
// and as short lines, a large body, and several of them on one connection with idle time between.
func TestGuardServesWithinLimits(t *testing.T) {
	const headerBytes = 16_384
	b := &listener.Budget{Descriptors: 40, Memory: 16 << 20, Log: zerolog.Nop()}
	a := serveGuarded(t, b, func(w http.ResponseWriter, q *http.Request) {
		if n, err := io.Copy(io.Discard, q.Body); err != nil || n != q.ContentLength {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	c, r := dialGuarded(t, a)
	var short strings.Builder
	for i := 0; short.Len() < headerBytes-100; i++ {
		fmt.Fprintf(&short, "%x:\r\n", i)
	}
	for _, lines := range []string{"X: " + strings.Repeat("x", headerBytes-100) + "\r\n", short.String(), ""} {
		for _, size := range []int{0, 4 << 20} {
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", size, lines, strings.Repeat("x", size))
			if status, err := readStatus(r); err != nil || status != http.StatusOK {
				t.Fatalf("%d bytes of headers, %d of a body: %d, %v", len(lines), size, status, err)
			}
		}
	}
	if n := b.Closed(); len(n) != 0 {
		t.Errorf("closed: %v", n)
	}
	_ = c.Close()
	awaitNone(t, b)
}

// Guards against heads without end: they are answered, counted and given back.
func TestGuardRefusesLongHead(t *testing.T) {
	b := &listener.Budget{Descriptors: 40, Log: zerolog.Nop()}
	a := serveGuarded(t, b, func(http.ResponseWriter, *http.Request) {})
	c, r := dialGuarded(t, a)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", listener.MaxHeadBytes+8<<10))
	if status, err := readStatus(r); err != nil || status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("%d, %v", status, err)
	}
	if n := b.Closed()[listener.Closing{Class: listener.Callers, Reason: "head-too-large"}]; n != 1 {
		t.Errorf("%d were counted", n)
	}
	awaitNone(t, b)
}

// Guards against a connection that is held without end by a body that never arrives and that no
// handler reads.
func TestGuardEndsWaitForBody(t *testing.T) {
	b := &listener.Budget{Descriptors: 40, Log: zerolog.Nop()}
	a := serveGuarded(t, b, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	c, r := dialGuarded(t, a)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
	if status, err := readStatus(r); err != nil || status != http.StatusNotFound {
		t.Errorf("%d, %v", status, err)
	}
	awaitNone(t, b)
}

// Guards against idle connections that keep new callers out.
func TestGuardMakesRoom(t *testing.T) {
	b := &listener.Budget{Descriptors: 8, Log: zerolog.Nop()}
	a := serveGuarded(t, b, func(http.ResponseWriter, *http.Request) {})
	for i := range 20 {
		c, r := dialGuarded(t, a)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if status, err := readStatus(r); err != nil || status != http.StatusOK {
			t.Fatalf("caller %d: %d, %v", i, status, err)
		}
	}
	if n, _ := b.Used(); n > 6 {
		t.Errorf("%d connections are open", n)
	}
}

// awaitNone waits until no connection is counted.
func awaitNone(t *testing.T, b *listener.Budget) {
	t.Helper()
	for until := time.Now().Add(guardTimeout); ; time.Sleep(10 * time.Millisecond) {
		connections, bytes := b.Used()
		if connections == 0 && bytes == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections with %d bytes are still counted", connections, bytes)
		}
	}
}
