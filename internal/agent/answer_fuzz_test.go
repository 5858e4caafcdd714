package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// rawTarget answers each request with its bytes and closes the connection.
type rawTarget struct {
	answer atomic.Pointer[[]byte]
	ran    atomic.Int32
}

func (r *rawTarget) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	r.ran.Add(1)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = c.Write(*r.answer.Load())
	// What the agent doesn't read must not make a reset of the end of the connection.
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// Guards against bytes of an engine or a service that end the handler, make it say "not-run"
// of a call that the target got, or pass as an answer of another version.
func FuzzAnswer(f *testing.F) {
	head := header.Version + ": v1\r\n" + header.BootID + ": boot\r\n"
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n:\r\n0\r\n\r\n",
		"HTTP/1.1 042 What\r\n" + head + "Content-Length: 2\r\n\r\nno",
		"HTTP/1.1 999 What\r\n" + head + "Retry-After: -1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + header.Version + ": v2\r\n\r\n{}",
	} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	target := &rawTarget{}
	s := httptest.NewServer(target)
	f.Cleanup(s.Close)
	a, engine := newTestAgent(f, "model/m", s.URL)
	_, service := newTestAgent(f, "service/booking", s.URL)
	f.Fuzz(func(t *testing.T, b []byte, model bool) {
		target.answer.Store(&b)
		target.ran.Store(0)
		h, q := service, httptest.NewRequest(http.MethodPost, "/booking/deposits", strings.NewReader("{}"))
		if model {
			a.gate.Open("v1", "boot")
			h, q = engine, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"m"}`))
		}
		q.Header.Set(header.RequestID, "r")
		w := httptest.NewRecorder()
		func() {
			defer func() {
				if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // It is what a handler panics with.
					panic(v)
				}
			}()
			h.ServeHTTP(w, q)
		}()
		outcome := w.Header().Get(header.Outcome)
		if target.ran.Load() > 1 || target.ran.Load() == 1 && outcome == header.NotRun || w.Code < 200 {
			t.Fatalf("ran %d times, status %d, outcome %s", target.ran.Load(), w.Code, outcome)
		}
		if model && w.Code == http.StatusOK && outcome == header.Run && w.Header().Get(header.Version) != "v1" {
			t.Fatalf("an answer of version %q", w.Header().Get(header.Version))
		}
	})
}
