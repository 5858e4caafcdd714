package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

// An endpoint that answers before it has read the request's body and closes resets the connection.
// A part of its answer must not look whole, and the whole one must arrive if it reads on.
func TestEarlyAnswer(t *testing.T) {
	const tries = 8
	for _, c := range []struct {
		name, answer string
		readsOn      bool
		want         []string
	}{
		{"reads on", "OK|Content-Length: 5||hello", true, []string{"200 hello"}},
		{"length", "OK|Content-Length: 5||hello", false, []string{"200 hello", "502 own"}},
		{"short", "OK|Content-Length: 9||hello", false, []string{"502 own"}},
		{"until close", "OK||hel", false, []string{"502 own"}},
		{"events until close", "OK|Content-Type: text/event-stream||data: a||", false, []string{"200 data: a BROKEN OFF", "502 own", "connection closed"}},
		{"refusal", "HTTP/1.1 503 Busy|X-Id: id-1|X-Not-Run: 1|Content-Length: 0||", false, []string{"503 own retry-after", "502 own"}},
	} {
		for n := range tries {
			l := serveEarly(t, parseRawAnswer(c.answer).bytes, c.readsOn)
			f := handlerOf(stateOf(l.Addr().(*net.TCPAddr).AddrPort()))
			s := httptest.NewServer(f)
			got := sendLargeRequest(t, s.URL, 16<<10<<(6*(n%2)))
			s.Close()
			if !slices.Contains(c.want, got) {
				t.Errorf("%s: the caller got %q, want one of %q", c.name, got, c.want)
			}
		}
	}
}

// serveEarly serves one request: it answers as soon as the head of the request has arrived.
func serveEarly(t *testing.T, answer string, readsOn bool) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		if readsOn {
			_, _ = io.Copy(io.Discard, q.Body)
		}
	}()
	return l
}

// sendLargeRequest sends a request whose body of n bytes exceeds what a server reads with the head.
func sendLargeRequest(t *testing.T, url string, n int) string {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/once/x", strings.NewReader(strings.Repeat("x", n)))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h"
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(headers.RequestID, "id-1")
	return receive(q)
}
