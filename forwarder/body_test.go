package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A caller that stops sending its body must get a response at the timeout of the
// route, and no part of the request may reach an endpoint.
func TestBodyStopsComing(t *testing.T) {
	f, all := newHandler(t, 1)
	all[0].script = &script{}
	s := httptest.NewServer(f)
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	timeout := configuration().Routes[0].Timeout
	_, _ = io.WriteString(c, "POST /any/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: id-1\r\nContent-Length: 9\r\n\r\nbody")
	_ = c.SetReadDeadline(began.Add(timeout + 500*time.Millisecond))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("after %s: %v", time.Since(began), err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d", r.StatusCode)
	}
	if got := summarizeRequests(all); got != "  sent 0 ran 0\n" {
		t.Errorf("the endpoint got %q", got)
	}
}
