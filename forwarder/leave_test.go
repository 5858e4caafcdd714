package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// When the caller disconnects, the connection to the endpoint must be reset. After a
// plain close, the kernel would still deliver the request once a network partition
// heals.
func TestCallerLeaves(t *testing.T) {
	f, all := newHandler(t, 1)
	all[0].script = &script{steps: []string{"hold"}}
	got := make(chan error, 1)
	all[0].onHold = func(c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := io.Copy(io.Discard, c)
		got <- err
	}
	s := httptest.NewServer(f)
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	q := newRequest(ctx, s.URL, "any", "id-1")
	time.AfterFunc(100*time.Millisecond, cancel)
	began := time.Now()
	if r, err := http.DefaultClient.Do(q); err == nil {
		_ = r.Body.Close()
		t.Fatal("the caller got a response")
	}
	if err := <-got; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the endpoint got %v, want a connection reset", err)
	}
	if d := time.Since(began); d > 600*time.Millisecond {
		t.Errorf("the endpoint got the reset only after %s", d)
	}
}

// A gateway that reads a request after its caller has disconnected must not forward
// it. On an idle connection there is no dial during which the server could notice the
// close.
func TestLateReadOfLeftCaller(t *testing.T) {
	f, all := newHandler(t, 1)
	all[0].script = &script{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(10 * time.Millisecond)
		f.ServeHTTP(w, q)
	}))
	s.Config.ConnContext = forwarder.WithCaller
	s.Start()
	defer s.Close()
	if got := sendRequest(s.URL, "any"); got != "200 hello" {
		t.Fatal(got)
	}
	for range 50 {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /any/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: id-1\r\nContent-Length: 4\r\n\r\nbody")
		_ = c.Close()
	}
	time.Sleep(300 * time.Millisecond)
	if got := summarizeRequests(all); got != "  sent 1 ran 1\n" {
		t.Errorf("the endpoint got %q, want only the request of the connected caller", got)
	}
}
