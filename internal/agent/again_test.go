package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// serveAgain answers each request with its path. Before that it writes the last answer of the
// connection once more.
func serveAgain(c net.Conn) {
	defer func() { _ = c.Close() }()
	last := ""
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.URL.Path), q.URL.Path)
		if _, err := io.WriteString(c, last+answer); err != nil {
			return
		}
		last = answer
	}
}

// An answer that a service writes once more must not be taken for that of the next call.
func TestServiceAnswersAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveAgain(c)
		}
	}()
	_, h := newTestAgent(t, "service/booking", "http://"+l.Addr().String())
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for i := range 3 {
			path := fmt.Sprintf("/booking/%d", i)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader("")))
			if w.Body.String() != path {
				t.Errorf("%s %s: status %d, answer %q", method, path, w.Code, w.Body)
			}
		}
	}
}
