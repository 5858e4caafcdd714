package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
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
