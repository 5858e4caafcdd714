package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A caller that sends its body a byte at a time must get a response at the time limit of a
// request. It held its connection and the memory of the body for as long as it went on.
func TestBodyTrickles(t *testing.T) {
	g := newTestGateway(t, &scriptedEndpoints{})
	g.RequestTimeout = 300 * time.Millisecond
	s := httptest.NewServer(g.callerRoutes())
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	check(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /booking/deposits HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 1000\r\n\r\n")
	check(t, err)
	go func() {
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	check(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response at the time limit: %v", err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d", r.StatusCode)
	}
}
