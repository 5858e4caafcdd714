package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A gateway that reads a request after its caller disconnected must not forward it
// over a kept-alive connection, where no dial delay lets the server notice the
// close first.
func TestLateReadOfLeftCaller(t *testing.T) {
	e := &scriptedEndpoints{}
	g := newTestGateway(t, e)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(10 * time.Millisecond)
		g.callerRoutes().ServeHTTP(w, q)
	}))
	defer s.Close()
	for range 2 {
		q, err := http.NewRequest(http.MethodPost, s.URL+"/booking/deposits", strings.NewReader("{}"))
		check(t, err)
		q.Header.Set("Authorization", "Bearer "+testKey)
		r, err := http.DefaultClient.Do(q)
		check(t, err)
		_, _ = io.Copy(io.Discard, r.Body)
		check(t, r.Body.Close())
	}
	before := e.String()
	if !strings.Contains(before, "attempts=2 ran=2") {
		t.Fatal(before)
	}
	for range 200 {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		check(t, err)
		_, _ = io.WriteString(c, "POST /booking/deposits HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 2\r\n\r\n{}")
		check(t, c.Close())
	}
	time.Sleep(300 * time.Millisecond)
	if after := e.String(); after != before {
		t.Errorf("requests of disconnected callers reached the endpoints: %s, want %s", after, before)
	}
}
