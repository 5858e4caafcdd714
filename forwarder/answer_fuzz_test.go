package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// fuzzedEndpoint answers each request with the same bytes and closes the connection.
type fuzzedEndpoint struct {
	net.Listener
	answer atomic.Pointer[[]byte]
	ran    atomic.Int32
	// foreign counts the requests that the gateway must not have made.
	foreign atomic.Int32
}

func newFuzzedEndpoint(f *testing.F) *fuzzedEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	e := &fuzzedEndpoint{Listener: l}
	f.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return e
}

func (e *fuzzedEndpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	e.ran.Add(1)
	if q.Header.Get(headers.Instance) != "i0" || q.Header.Get("Authorization") != "" {
		e.foreign.Add(1)
	}
	_, _ = io.Copy(io.Discard, q.Body)
	_, _ = c.Write(*e.answer.Load())
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// deadlineRecorder is a recorder with the deadlines of a connection.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// ask serves one request with a new handler, as a handler avoids an endpoint that has failed.
func (e *fuzzedEndpoint) ask(t *testing.T, q *http.Request) (w *httptest.ResponseRecorder) {
	h := handlerOf(stateOf(e.Addr().(*net.TCPAddr).AddrPort()))
	h.Log = zerolog.Nop()
	w = httptest.NewRecorder()
	defer func() {
		// An aborted handler closes the caller's connection, so that the answer is no whole one.
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			w.Code = 0
		default:
			t.Fatalf("the handler panicked: %v", v)
		}
	}()
	h.ServeHTTP(deadlineRecorder{w}, q)
	return w
}

// Guards against bytes of an endpoint that end the handler, pass as a signed answer without a
// signature or to another request, make a call run twice, or let the gateway say that a call
// wasn't run which the endpoint got.
func FuzzAnswer(f *testing.F) {
	head := "X-Id: id-1\r\nX-Signature: s\r\n"
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=9223372036\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream; a=\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nX-Cold: 9223372036854775807\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 042 What\r\n" + head + "Content-Length: 0\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\nContent-Encoding: gzip;q=0,br\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(s), uint8(0))
		f.Add([]byte(s), uint8(1))
		f.Add([]byte(s), uint8(2))
	}
	e := newFuzzedEndpoint(f)
	f.Fuzz(func(t *testing.T, b []byte, route uint8) {
		name := []string{"any", "once", "resume"}[route%3]
		e.answer.Store(&b)
		e.ran.Store(0)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		q := httptest.NewRequestWithContext(ctx, http.MethodPost, "/"+name+"/x", strings.NewReader("body"))
		q.Host = "h"
		q.Header.Set("Authorization", "Bearer key")
		q.Header.Set(headers.RequestID, "id-1")
		begun := time.Now()
		w := e.ask(t, q)
		if d := time.Since(begun); d > 2*routeTimeout+time.Second {
			t.Fatalf("the answer took %s", d)
		}
		ran, signed, text := e.ran.Load(), w.Header().Get(headers.Signature) != "", bytes.ToLower(b)
		refuses := bytes.Contains(text, []byte("x-not-run"))
		if e.foreign.Load() > 0 || ran > 1 && name == "once" && !refuses {
			t.Fatalf("%s ran %d times", name, ran)
		}
		if w.Code/100 == 2 && (!signed || !bytes.Contains(text, []byte("id-1"))) {
			t.Fatalf("%s: status %d, signed %t, of %q", name, w.Code, signed, b)
		}
		// The gateway's own refusals have a Retry-After.
		if w.Header().Get("Retry-After") != "" && ran > 0 && !refuses && !bytes.Contains(text, []byte("retry-after")) {
			t.Fatalf("%s ran and was refused as not run, of %q", name, b)
		}
	})
}

// Guards against a request that ends the handler, or reaches an endpoint in another form than
// the gateway's own. The input is the request as its caller writes it.
func FuzzRequest(f *testing.F) {
	head := "Host: h\r\nAuthorization: Bearer key\r\n"
	for _, s := range []string{
		"POST /once/x HTTP/1.1\r\n" + head + "Content-Length: 4\r\nX-Tokens: 9223372036854775807,1\r\n\r\nbody",
		"GET /any/x?%zz HTTP/1.1\r\n" + head + "X-Deadline: 9223372036854775807\r\nX-Instance: other\r\n\r\n",
		"GET http://other/resume/x HTTP/1.1\r\n" + head + "Last-Event-Id: \x80\r\nAccept-Encoding: *;q=0\r\nTe: trailers\r\n\r\n",
		"HEAD /any/../once/ HTTP/1.1\r\n" + head + "X-Deadline: -1\r\nConnection: X-Instance, close\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\n" + head + "\r\n",
		"POST /any/x HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\nX-Instance: t\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	e := newFuzzedEndpoint(f)
	answer := []byte("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
	e.answer.Store(&answer)
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		e.ran.Store(0)
		w := e.ask(t, q)
		if e.foreign.Load() > 0 || e.ran.Load() > 2 {
			t.Fatalf("ran %d times", e.ran.Load())
		}
		if w.Code != 0 && w.Code < 200 {
			t.Fatalf("status %d", w.Code)
		}
	})
}
