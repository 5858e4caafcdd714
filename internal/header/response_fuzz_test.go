package header_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// Responses that HTTP doesn't allow, and some that it does.
var (
	invalidResponses = []string{
		"HTTP/1.1 000 Failed", "HTTP/1.1 000", "HTTP/1.1 099 x", "HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 -01 x", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 ", "HTTP/1.1",
		" 200 OK", "200 OK", "HTTP/1 200 OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6",
	}
	validResponses = []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 404 Not Found", "HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5",
		"HTTP/1.1 599 x", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5",
	}
)

// readStatus returns the status of a response that is valid.
func readStatus(head string) (int, error) {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
	if err != nil {
		return 0, err
	}
	_ = r.Body.Close()
	return r.StatusCode, header.CheckResponse(r)
}

// Guards against responses with a status that callers can't be given, such as 000.
func TestCheckResponse(t *testing.T) {
	for _, head := range invalidResponses {
		if status, err := readStatus(head + "\r\n\r\n"); err == nil {
			t.Errorf("%q was taken for status %d", head, status)
		}
	}
	for _, head := range validResponses {
		if _, err := readStatus(head + "\r\n\r\n"); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
}

// FuzzCheckResponse guards against a status line or headers that make a status which HTTP doesn't
// allow look like the answer.
func FuzzCheckResponse(f *testing.F) {
	for _, head := range append(invalidResponses, validResponses...) {
		f.Add(head + "\r\n\r\n")
	}
	f.Fuzz(func(t *testing.T, head string) {
		status, err := readStatus(head)
		if err != nil {
			return
		}
		version, rest, _ := strings.Cut(head, " ")
		digits := strings.TrimLeft(rest, " ")
		if !strings.HasPrefix(version, "HTTP/1.") || len(digits) < 3 || digits[0] < '2' || digits[0] > '5' || status/100 != int(digits[0]-'0') {
			t.Errorf("%q was taken for status %d", head, status)
		}
	})
}
