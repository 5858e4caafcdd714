package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A gateway must frame each answer so that its caller sees whether it is whole: with a length, or
// in chunks whose last one follows only a whole stream. A caller reads what arrives until the
// connection is closed; wantEnd are the last bytes of it.
func TestFrameOfAnswers(t *testing.T) {
	const stream = "OK|Content-Type: text/event-stream"
	for _, c := range []struct{ answer, length, wantEnd string }{
		{"OK|Content-Length: 5||hello", "5", "\r\n\r\nhello"},
		{"OK|Transfer-Encoding: chunked||5|hello|0||", "5", "\r\n\r\nhello"},
		{"OK||hello", "5", "\r\n\r\nhello"},
		{"OK||", "0", "\r\n\r\n"},
		{"HTTP/1.1 204 No Content|X-Id: id-1|X-Signature: s-1|Content-Length: 5||", "", "\r\n\r\n"},
		{"OK|Content-Length: 9||hello", "15", "\r\n\r\nnot-idempotent\n"},
		{stream + "|Transfer-Encoding: chunked||b|data: a|||0||", "", "data: a\r\n\r\n\r\n0\r\n\r\n"},
		{stream + "|Transfer-Encoding: chunked||b|data: a|||", "", "data: a\r\n\r\n\r\n"},
		{stream + "|Transfer-Encoding: chunked||b|data: a|||0|", "", "data: a\r\n\r\n\r\n"},
		{stream + "|Content-Length: 12||data: a||", "", "data: a\r\n\r\n\r\n"},
		{stream + "||data: a||", "", "data: a\r\n\r\n\r\n0\r\n\r\n"},
		{stream + "||data: a||RESET", "", "data: a\r\n\r\n\r\n"},
		{stream + "||data: a||data: b", "", "data: a\r\n\r\n\r\n"},
	} {
		e := newRawEndpoint(t, []rawAnswer{parseRawAnswer(c.answer)})
		got := askOnWire(t, e)
		head, _, _ := strings.Cut(got, "\r\n\r\n")
		if c.length != "" && !strings.Contains(head, "\r\nContent-Length: "+c.length) {
			t.Errorf("%s: the caller got %q, want the length %s", c.answer, got, c.length)
		}
		if !strings.HasSuffix(got, c.wantEnd) {
			t.Errorf("%s: the caller got %q, want the end %q", c.answer, got, c.wantEnd)
		}
	}
}

// askOnWire returns the bytes that a caller gets for the first answer until its connection ends.
func askOnWire(t *testing.T, e *rawEndpoint) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(e.front, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer key\r\n"+
		"X-Id: id-1\r\n%s: 0\r\nContent-Length: 0\r\n\r\n", caseHeader)
	b, _ := io.ReadAll(c)
	return string(b)
}
