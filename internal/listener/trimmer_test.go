package listener_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
)

// get sends a GET request on a connection and returns the status, or 0 on failure.
func get(c net.Conn, path string) int {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// Guards against callers that exhaust the file descriptors by keeping one connection
// open for each attempt. Idle connections must be closed above the limit, while one
// with a request in progress stays open.
func TestIdleConnectionsExhaustDescriptors(t *testing.T) {
	const most, callers = 8, 100
	trim := &listener.Trimmer{Most: most}
	release := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/held" {
			<-release
		}
	}))
	s.Config.ConnState = trim.ConnState
	s.Start()
	defer s.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	held := make(chan int, 1)
	c := dial()
	go func() { held <- get(c, "/held") }()
	time.Sleep(50 * time.Millisecond)
	for i := range callers {
		if got := get(dial(), "/"); got != http.StatusOK {
			t.Fatalf("caller %d got status %d", i, got)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if n, trimmed := trim.Count(); n > most || trimmed < callers-most {
		t.Errorf("%d connections are open, %d were closed; the bound is %d", n, trimmed, most)
	}
	close(release)
	if got := <-held; got != http.StatusOK {
		t.Errorf("the request in progress got status %d", got)
	}
}

// reactivatingConn is a connection whose next request arrives while it is being closed.
type reactivatingConn struct {
	net.Conn
	trimmer *listener.Trimmer
	// active is closed once the server has recorded the request.
	active chan struct{}
	// served reports whether the request was recorded before the connection was closed.
	served bool
}

// Close implements net.Conn.
func (c *reactivatingConn) Close() error {
	go func() {
		c.trimmer.ConnState(c, http.StateActive)
		close(c.active)
	}()
	select {
	case <-c.active:
		c.served = true
	case <-time.After(100 * time.Millisecond):
	}
	return nil
}

// A request that arrives while its idle connection is chosen must not be served and its
// connection closed then: its caller would get no answer.
func TestRequestMeetsTrim(t *testing.T) {
	trim := &listener.Trimmer{Most: 1}
	c := &reactivatingConn{trimmer: trim, active: make(chan struct{})}
	trim.ConnState(c, http.StateIdle)
	trim.ConnState(new(net.TCPConn), http.StateNew)
	<-c.active
	if c.served {
		t.Error("a connection was closed after its request had begun")
	}
}
