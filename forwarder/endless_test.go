package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// flood writes begin, then part repeatedly until the peer closes the connection, and
// counts the bytes of begin and of the parts written.
func (b *fakeEndpoint) flood(c net.Conn, begin, part string) {
	n, err := io.WriteString(c, begin)
	parts := []byte(strings.Repeat(part, 1+(32<<10)/len(part)))
	for err == nil {
		b.floodedBytes.Add(int64(n))
		time.Sleep(time.Millisecond)
		n, err = c.Write(parts)
	}
}

// endless returns the beginning and the repeated part of the endless response that the
// step names, or empty strings for another step.
func endless(name, id string) (begin, part string) {
	own := "X-Id: " + id + "\r\nX-Signature: s\r\n"
	switch name {
	case "endless-line":
		return "HTTP/1.1 200 OK\r\nX-Id: ", "x"
	case "endless-headers":
		return "HTTP/1.1 200 OK\r\n" + own, "X-More: x\r\n"
	case "endless-interim":
		return "", "HTTP/1.1 100 Continue\r\n\r\n"
	case "endless-body":
		return "HTTP/1.1 200 OK\r\n" + own + "\r\n", "x"
	case "endless-length":
		return "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 1099511627776\r\n\r\n", "x"
	case "endless-chunks":
		return "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n" + strings.Repeat("x", 16) + "\r\n"
	case "endless-refusal":
		return "HTTP/1.1 503 Busy\r\n" + own + "X-Not-Run: 1\r\n\r\n", "x"
	case "endless-events":
		return "HTTP/1.1 200 OK\r\n" + own + "Content-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("x", 1000) + "\n\n"
	case "endless-event":
		return "HTTP/1.1 200 OK\r\n" + own + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"
	}
	return "", ""
}

// endlessTimeout is the timeout of the routes. It is far above the time that a gateway
// needs to read up to its limits, even on a busy machine.
const endlessTimeout = 9 * time.Second

// An endless response must neither fill the memory of a gateway nor keep its caller
// waiting until the deadline. Each script line is "ROUTE STEP AT-MOST": AT-MOST is how
// many KiB the endpoint may send until the gateway closes the connection, including
// data in the socket buffers.
func TestEndlessAnswers(t *testing.T) {
	c := configuration()
	for i := range c.Routes {
		c.Routes[i].Timeout = endlessTimeout
	}
	patient := resolver.New(c)
	datadriven.RunTest(t, "testdata/endless", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var route, step string
			var most int64
			if _, err := fmt.Sscan(line, &route, &step, &most); err != nil {
				t.Fatal(err)
			}
			f, all := newHandler(t, 1)
			f.Table = func() *resolver.Table { return patient }
			all[0].script = &script{steps: []string{step}}
			s := httptest.NewServer(f)
			began := time.Now()
			got := sendRequest(s.URL, route)
			s.Close()
			fmt.Fprintf(&out, "%s %s -> %s", route, step, got)
			if n := all[0].floodedBytes.Load() >> 10; n > most {
				fmt.Fprintf(&out, ", %d KiB were taken", n)
			}
			if d := time.Since(began); d > endlessTimeout-time.Second {
				fmt.Fprintf(&out, ", only after %s", d)
			}
			out.WriteString("\n")
		}
		return out.String()
	})
}

// Guards against concurrent endless responses that together exceed the buffer limit of the handler.
func TestEndlessAnswersTogether(t *testing.T) { checkBufferLimit(t, "once", "endless-body", 40, 10) }

// Guards against unfinished events of many streams that fill the memory of a gateway: each may
// have a megabyte, and a gateway may carry hundreds (processes that end by themselves, LOST).
func TestEndlessEventsTogether(t *testing.T) {
	checkBufferLimit(t, "resume", "endless-event", 400, 100)
}

// checkBufferLimit lets as many callers as given send a request on the route at the same time. The
// endpoints answer each of them with the step.
func checkBufferLimit(t *testing.T, route, step string, callers, backends int) {
	t.Helper()
	f, all := newHandler(t, backends)
	for _, b := range all {
		b.script = &script{steps: slicesOf(step, 2*callers)}
	}
	s := httptest.NewServer(f)
	defer s.Close()
	results := make(chan string, callers)
	for range callers {
		go func() { results <- sendRequest(s.URL, route) }()
	}
	most := int64(0)
	for n := 0; n < callers; {
		select {
		case <-results:
			n++
		case <-time.After(time.Millisecond):
			most = max(most, f.BufferedBytes())
		}
	}
	if most > receiver.MaxBufferedBytes {
		t.Errorf("%d bytes were buffered; the limit is %d", most, receiver.MaxBufferedBytes)
	}
	if n := f.BufferedBytes(); n != 0 {
		t.Errorf("%d bytes are still reserved after the last response", n)
	}
}

// Guards against memory of unfinished events that the buffer limit doesn't count (LOST). The
// endpoints stop in the middle of an event, and the memory is read when nothing moves any more:
// what is allocated during a garbage collection counts as in use, whether it is or not.
func TestUnfinishedEventsInMemory(t *testing.T) {
	const (
		callers = 400
		// streamBytes is what a stream may take beside the event.
		streamBytes = 128 << 10
	)
	f, all := newHandler(t, callers/4)
	c := configurationWithTimeout(5 * time.Minute)
	for i := range c.Routes {
		c.Routes[i].Attempts = 1
	}
	patient := resolver.New(c)
	f.Table = func() *resolver.Table { return patient }
	release := make(chan struct{})
	for _, b := range all {
		b.script, b.release = &script{steps: slicesOf("unfinished-event", 2*callers)}, release
	}
	s := httptest.NewServer(f)
	defer s.Close()
	before := settledBytes()
	results := make(chan string, callers)
	sent := func() int64 {
		n := int64(len(results))
		for _, b := range all {
			n += b.floodedBytes.Load()
		}
		return n
	}
	// One after the other, or they refuse each other the space and few are left in the end.
	for range callers {
		n := sent()
		go func() { results <- receive(newRequest(t.Context(), s.URL, "resume", "id-1")) }()
		await(t, "a further event is sent", func() bool { return sent() > n })
	}
	awaitStandstill(func() int64 { return sent() + f.BufferedBytes() })
	if limit, n := before+receiver.MaxBufferedBytes+callers*streamBytes, liveBytes(); n > limit {
		t.Errorf("%d MiB of memory are in use, want at most %d", n>>20, limit>>20)
	}
	if n := f.BufferedBytes(); n < receiver.MaxBufferedBytes/4 {
		t.Errorf("%d bytes are buffered; the streams don't come near the limit of %d", n, receiver.MaxBufferedBytes)
	}
	close(release)
	for range callers {
		<-results
	}
	if n := f.BufferedBytes(); n != 0 {
		t.Errorf("%d bytes are still reserved after the last response", n)
	}
}

// awaitStandstill waits until progress returns the same value for half a second.
func awaitStandstill(progress func() int64) {
	last, since := progress(), time.Now()
	for time.Since(since) < 500*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		if n := progress(); n != last {
			last, since = n, time.Now()
		}
	}
}

// liveBytes returns the size of the memory in use, without garbage.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// settledBytes returns liveBytes once it hasn't fallen for a second, as what earlier tests held is released
// after their end: a difference from a higher value would hide what a test holds.
func settledBytes() uint64 {
	const settled, steps, maxSteps = 64 << 10, 10, 100
	lowest, since := liveBytes(), 0
	for range maxSteps {
		time.Sleep(100 * time.Millisecond)
		since++
		if now := liveBytes(); now+settled < lowest {
			lowest, since = now, 0
		}
		if since == steps {
			break
		}
	}
	return lowest
}

func slicesOf(s string, n int) []string {
	l := make([]string, n)
	for i := range l {
		l[i] = s
	}
	return l
}
