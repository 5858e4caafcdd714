package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// A caller that doesn't read must not hold a slot of an endpoint, a connection and a
// goroutine for as long as it stays connected.
func TestCallerStopsReading(t *testing.T) {
	for _, step := range []string{"endless-events", "large"} {
		t.Run(step, func(t *testing.T) {
			f, all := newHandler(t, 1)
			f.WriteTimeout = 300 * time.Millisecond
			all[0].script = &script{steps: []string{step}}
			c := sendSlowly(t, serve(t, f), "resume", 4<<10)
			defer func() { _ = c.Close() }()
			time.Sleep(200 * time.Millisecond)
			ended := time.Now().Add(4 * time.Second)
			for inFlight(f.Dispatcher) > 0 || f.BufferedBytes() > 0 {
				if time.Now().After(ended) {
					t.Fatal("the call holds its slot or its buffers though its caller doesn't read")
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// A caller that reads slowly, but goes on reading, must get its whole response.
func TestCallerReadsSlowly(t *testing.T) {
	f, all := newHandler(t, 1)
	f.WriteTimeout = time.Second
	all[0].script = &script{steps: []string{"large"}}
	c := sendSlowly(t, serve(t, f), "any", 256<<10)
	defer func() { _ = c.Close() }()
	read := 0
	b := make([]byte, 256<<10)
	for read < largeBody {
		n, err := c.Read(b)
		if read += n; err != nil {
			t.Fatalf("%d of %d bytes: %v", read, largeBody, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func inFlight(d *dispatcher.Dispatcher) int {
	n := 0
	for _, s := range d.Status() {
		n += s.InFlight
	}
	return n
}

// sendSlowly sends a request on a connection with a receive buffer of the given size and reads nothing.
func sendSlowly(t *testing.T, url, route string, buffer int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", url[len("http://"):])
	if err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).SetReadBuffer(buffer); err != nil {
		t.Fatal(err)
	}
	_, err = io.WriteString(c, fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: id-1\r\nContent-Length: 4\r\n\r\nbody", route))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// slowFlush is the response to a caller that takes the given time to accept the first part.
type slowFlush struct {
	http.ResponseWriter
	delay time.Duration
}

func (w *slowFlush) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FlushError implements the interface that http.ResponseController looks for.
func (w *slowFlush) FlushError() error {
	time.Sleep(w.delay)
	w.delay = 0
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// An endpoint that waits for a slow caller isn't silent: it was avoided, and a second one was asked
// as well. The event that it sends meanwhile exceeds the buffers of the connection.
func TestSlowCallerIsNotSilence(t *testing.T) {
	f, all := newHandlerWithTimeout(t, 2, 4*time.Second)
	tries := 0
	f.Observe = func(r forwarder.Result) { tries = r.Tries }
	sc := &script{steps: []string{"hold"}}
	for _, b := range all {
		b.script = sc
		b.onHold = func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n")
			time.Sleep(900 * time.Millisecond)
			_, _ = io.WriteString(c, "id: 2\ndata: "+strings.Repeat("x", 900<<10)+"\n\n")
		}
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.ServeHTTP(&slowFlush{w, 1350 * time.Millisecond}, q)
	}))
	got := sendRequest(s.URL, "resume")
	s.Close()
	if len(got) < 900<<10 || strings.Contains(got, "BROKEN OFF") {
		t.Errorf("the caller got %.100q", got)
	}
	if got := summarizeRequests(all); got != "  sent 1 ran 1\n" || tries != 1 {
		t.Errorf("%d tries, and the endpoints got %q, want one request", tries, got)
	}
}
