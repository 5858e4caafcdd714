package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// answerHead begins the answers of TestCutAnswers.
const answerHead = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s-1\r\n"

// cutShape is a whole answer that is cut after each byte.
type cutShape struct {
	name, route, method string
	head, body          string
	// endsAtClose lists the lengths of the body after which the caller takes it for whole
	// if the endpoint closes the connection, though more was to come: the protocol has no
	// other mark of the end of an answer without a length.
	endsAtClose func(n int) bool
}

func cutShapes() []cutShape {
	const (
		events  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		chunks  = "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
		trailed = "5\r\nhello\r\n0\r\nX-Sum: 12\r\n\r\n"
		refusal = "HTTP/1.1 503 Busy\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\n"
		stream  = answerHead + "Content-Type: text/event-stream\r\n"
	)
	eventChunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(events)/2, events[:len(events)/2], len(events)/2, events[len(events)/2:])
	between := func(n int) bool { return n%(len(events)/2) == 0 }
	always := func(int) bool { return true }
	return []cutShape{
		{name: "length", head: answerHead + "Content-Length: 12\r\n\r\n", body: "hello, world"},
		{name: "length last", head: answerHead + "Content-Type: text/plain\r\nConnection: close\r\nContent-Length: 12\r\n\r\n", body: "hello, world"},
		{name: "line feeds", head: strings.ReplaceAll(answerHead, "\r", "") + "Content-Length: 5\n\n", body: "hello"},
		{name: "folded", head: answerHead + "X-More: a\r\n b\r\n\tc\r\nContent-Length: 5\r\n\r\n", body: "hello"},
		{name: "chunks", head: answerHead + "Transfer-Encoding: chunked\r\n\r\n", body: chunks},
		{name: "trailer", head: answerHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: trailed},
		{name: "close", head: answerHead + "\r\n", body: "hello", endsAtClose: always},
		{name: "announced close", head: answerHead + "Connection: close\r\n\r\n", body: "hello", endsAtClose: always},
		{name: "events in chunks", head: stream + "Transfer-Encoding: chunked\r\n\r\n", body: eventChunks},
		{name: "resumable events in chunks", route: "resume", head: stream + "Transfer-Encoding: chunked\r\n\r\n", body: eventChunks},
		{name: "events with length", head: stream + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)), body: events},
		{name: "events until close", head: stream + "\r\n", body: events, endsAtClose: between},
		{name: "refusal", head: refusal, body: "busy"},
		{name: "failure", head: strings.Replace(answerHead, "200 OK", "500 Broken", 1) + "Content-Length: 3\r\n\r\n", body: "bad"},
		{name: "no content", head: strings.Replace(answerHead, "200 OK", "204 No Content", 1) + "\r\n"},
		{name: "not modified", method: http.MethodGet, head: strings.Replace(answerHead, "200 OK", "304 Not Modified", 1) + "Content-Length: 9\r\n\r\n"},
		{name: "head", method: http.MethodHead, head: answerHead + "Content-Length: 12\r\n\r\n"},
		{name: "interim", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + answerHead + "Content-Length: 5\r\n\r\n", body: "hello"},
	}
}

// An answer that its endpoint cuts at any byte must not look whole to the caller, a refusal
// of which a part is missing isn't believed, and an answer that pauses there arrives whole.
func TestCutAnswers(t *testing.T) {
	for _, s := range cutShapes() {
		t.Run(strings.ReplaceAll(s.name, " ", "-"), func(t *testing.T) { s.run(t) })
	}
}

// The ways in which an answer is cut. Each one has an answer for each cut.
const (
	cutClosed = iota
	cutReset
	cutPaused
	cutWays
)

func (s *cutShape) run(t *testing.T) {
	whole := s.head + s.body
	var answers []rawAnswer
	for n := range len(whole) + 1 {
		answers = append(answers,
			rawAnswer{bytes: whole[:n]}, rawAnswer{bytes: whole[:n], reset: true},
			rawAnswer{bytes: whole[:n], rest: whole[n:], pause: 30 * time.Millisecond})
	}
	got := s.askAll(t, newRawEndpoint(t, answers), len(answers))
	want := got[cutWays*len(whole)+cutClosed]
	if want.broken || want.status == 0 || want.status == http.StatusBadGateway {
		t.Fatalf("the whole answer gives the caller %s", want)
	}
	for i, g := range got {
		s.check(t, i/cutWays, i%cutWays, g, want)
	}
}

// askAll returns what the callers get, some of them at once.
func (s *cutShape) askAll(t *testing.T, e *rawEndpoint, n int) []callerAnswer {
	route, method := s.route, s.method
	if route == "" {
		route = "once"
	}
	if method == "" {
		method = http.MethodPost
	}
	client := newPlainClient(t)
	got := make([]callerAnswer, n)
	var all sync.WaitGroup
	slots := make(chan struct{}, 48)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			got[i] = e.ask(client, route, method, i)
			<-slots
		})
	}
	all.Wait()
	return got
}

// check checks what a caller got of the first n bytes.
func (s *cutShape) check(t *testing.T, n, way int, got, want callerAnswer) {
	t.Helper()
	name := [cutWays]string{"closed", "reset", "paused"}[way]
	body := n - len(s.head)
	switch {
	case way == cutPaused:
		if got != want {
			t.Errorf("%s after %d bytes: the caller got %s, want %s", name, n, got, want)
		}
	case way == cutClosed && body >= 0 && s.endsAtClose != nil && s.endsAtClose(body):
		if want := (callerAnswer{status: want.status, signed: true, body: s.body[:body]}); got != want {
			t.Errorf("%s after %d bytes: the caller got %s, want %s", name, n, got, want)
		}
	case way == cutReset && s.endsAtClose != nil:
		if !isKnownBroken(got) {
			t.Errorf("%s after %d bytes: the caller got %s, want a failure", name, n, got)
		}
	case body < 0 && got.status != http.StatusBadGateway:
		t.Errorf("%s after %d bytes, within the head: the caller got %s, want 502", name, n, got)
	case got != want && !isKnownBroken(got):
		t.Errorf("%s after %d bytes: the caller got %s, want %s or a failure", name, n, got, want)
	}
}

// isKnownBroken reports whether the caller knows that it has no whole answer of an endpoint,
// and nothing says that the request hasn't run.
func isKnownBroken(a callerAnswer) bool {
	return a.broken || a.status == 0 || !a.signed && a.status == http.StatusBadGateway
}
