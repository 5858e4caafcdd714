package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// When the caller disconnects, the connection to the endpoint must be reset. After a
// plain close, the kernel would still deliver the request once a network partition
// heals.
func TestCallerLeaves(t *testing.T) {
	f, all := newHandler(t, 1)
	all[0].script = &script{steps: []string{"hold"}}
	ctx, cancel := context.WithCancel(context.Background())
	got, took := make(chan error, 1), make(chan time.Duration, 1)
	all[0].onHold = func(c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		left := time.Now()
		cancel()
		_, err := io.Copy(io.Discard, c)
		took <- time.Since(left)
		got <- err
	}
	s := httptest.NewServer(f)
	defer s.Close()
	if r, err := http.DefaultClient.Do(newRequest(ctx, s.URL, "any", "id-1")); err == nil {
		_ = r.Body.Close()
		t.Fatal("the caller got a response")
	}
	if err := <-got; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the endpoint got %v, want a connection reset", err)
	}
	if d := <-took; d > 500*time.Millisecond {
		t.Errorf("the endpoint got the reset only %s after its caller had left", d)
	}
}

// connKey is the context key of the connection of a request at a test server.
type connKey struct{}

// isClosedByCaller reports whether the close of the caller's connection has arrived at the
// kernel, which the server may not have noticed.
func isClosedByCaller(q *http.Request) bool {
	raw, err := q.Context().Value(connKey{}).(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	isClosed := false
	err = raw.Control(func(fd uintptr) {
		i, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = e != nil || i.State != unix.BPF_TCP_ESTABLISHED
	})
	return isClosed || err != nil
}

// A gateway that reads a request after its caller has disconnected must not forward
// it. On an idle connection there is no dial during which the server could notice the
// close.
func TestLateReadOfLeftCaller(t *testing.T) {
	f, all := newHandler(t, 1)
	all[0].script = &script{}
	const callers = 50
	var waits atomic.Bool
	ended := make(chan struct{}, callers)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if waits.Load() {
			defer func() { ended <- struct{}{} }()
			for !isClosedByCaller(q) {
				time.Sleep(time.Millisecond)
			}
		}
		f.ServeHTTP(w, q)
	}))
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(forwarder.WithCaller(ctx, c), connKey{}, c)
	}
	s.Start()
	defer s.Close()
	if got := sendRequest(s.URL, "any"); got != "200 hello" {
		t.Fatal(got)
	}
	waits.Store(true)
	for range callers {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /any/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: id-1\r\nContent-Length: 4\r\n\r\nbody")
		_ = c.Close()
	}
	for range callers {
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("a request isn't served within 10 s of the last one")
		}
	}
	if got := summarizeRequests(all); got != "  sent 1 ran 1\n" {
		t.Errorf("the endpoint got %q, want only the request of the connected caller", got)
	}
}
