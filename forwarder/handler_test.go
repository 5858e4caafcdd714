package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

var headers = forwarder.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Instance: "X-Instance", Version: "X-Version", Account: "X-Account",
	Urgency: "X-Urgency", Signature: "X-Signature", NotRun: "X-Not-Run", Cold: "X-Cold", Tokens: "X-Tokens", LengthHint: "X-Hint", ResumeFrom: "Last-Event-Id", PromptParts: "X-Parts",
}

// largeBody is the length of the body of the step "large". It exceeds what the sockets of a
// connection buffer.
const largeBody = 7 << 20

// avoidTime exceeds the time for which the dispatcher avoids an endpoint that refused.
const avoidTime = 100 * time.Millisecond

// script is the list of steps with which endpoints respond to requests, in the order of
// arrival.
type script struct {
	mu    sync.Mutex
	steps []string
}

func (s *script) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		return "ok"
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

// fakeEndpoint is an endpoint that responds to each request with the next step of a
// script. It writes raw bytes, so that responses can be malformed in any way.
type fakeEndpoint struct {
	net.Listener
	mu     sync.Mutex
	script *script
	// seen holds a summary of each request.
	seen []string
	ran  int
	// lastID holds the request id of the last response on each connection.
	lastID map[net.Conn]string
	// onHold is called with the connection of a request whose step is "hold".
	onHold func(net.Conn)
	// release is closed when the requests whose step is "wait" are answered, and those whose step
	// is "unfinished-event" are broken off.
	release chan struct{}
	// floodedBytes counts the bytes sent in endless responses.
	floodedBytes atomic.Int64
}

func newFakeEndpoint(t *testing.T) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeEndpoint{Listener: l, lastID: make(map[net.Conn]string), release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *fakeEndpoint) address() netip.AddrPort { return b.Addr().(*net.TCPAddr).AddrPort() }

func (b *fakeEndpoint) next(q *http.Request, body string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.script.next()
	if !strings.HasPrefix(step, "refuse") && step != "misdirect" {
		b.ran++
	}
	s := fmt.Sprintf("%s %s instance=%s account=%s", q.Method, q.RequestURI, q.Header.Get(headers.Instance), q.Header.Get(headers.Account))
	if body != "" {
		s += " body=" + body
	}
	if q.Header.Get("Authorization") != "" {
		s += " KEY-PASSED-ON"
	}
	if v := q.Header.Get(headers.ResumeFrom); v != "" {
		s += " resume=" + v
	}
	if v := q.Header.Get(headers.Urgency); v != "" {
		s += " urgency=" + v
	}
	b.seen = append(b.seen, s)
	return step
}

func (b *fakeEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		if !b.answer(c, q, b.next(q, string(body))) {
			return
		}
	}
}

// answer writes the response of a step and reports whether the connection stays open.
func (b *fakeEndpoint) answer(c net.Conn, q *http.Request, step string) bool {
	id := q.Header.Get(headers.RequestID)
	head := func(status, id, more string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\nX-Signature: s\r\n" + more
	}
	whole := head("200 OK", id, "Content-Length: 5\r\n\r\nhello")
	refusalOf := func(status, id string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	name, argument, _ := strings.Cut(step, " ")
	n, _ := strconv.Atoi(argument)
	out, keep := whole, true
	if begin, part := endless(name, id); part != "" {
		b.flood(c, begin, part)
		return false
	}
	if name == "unfinished-event" {
		n, _ := io.WriteString(c, head("200 OK", id, "Content-Type: text/event-stream\r\n\r\n")+strings.Repeat("data: "+strings.Repeat("x", 1017)+"\n", unfinishedEvent>>10))
		b.floodedBytes.Add(int64(n))
		<-b.release
		return false
	}
	switch name {
	case "refuse":
		out = refusalOf("503 Busy", id)
	case "refuse-more":
		out = refusalOf("503 Busy", id) + whole
	case "again":
		if last, ok := b.previousID(c); ok {
			out = refusalOf("503 Busy", last) + whole
		}
	case "foreign-refusal":
		out = "HTTP/1.1 100 Continue\r\n\r\n" + refusalOf("503 Busy", "other")
	case "two-ids":
		out = head("200 OK", id, "X-Id: other\r\nContent-Length: 5\r\n\r\nhello")
	case "upper-id":
		out = head("200 OK", strings.ToUpper(id), "Content-Length: 5\r\n\r\nhello")
	case "status":
		out = head(argument+" Status", id, "Content-Length: 3\r\n\r\nbad")
	case "misdirect":
		out = refusalOf("421 Misdirected", id)
	case "cold":
		out = head("200 OK", id, "X-Cold: "+argument+"\r\nContent-Length: 5\r\n\r\nhello")
	case "slow":
		time.Sleep(time.Duration(n) * time.Millisecond)
	case "wait":
		<-b.release
	case "fail":
		out = head("500 Broken", id, "Content-Length: 3\r\n\r\nbad")
	case "unproved":
		out = head("503 Busy", id, "Content-Length: 3\r\n\r\nbad")
	case "drop":
		return false
	case "end":
		_ = b.Close()
		return false
	case "end-at-close": // events until the connection and the process end
		_, _ = io.WriteString(c, head("200 OK", id, "Content-Type: text/event-stream\r\n\r\n")+events(argument))
		_ = b.Close()
		return false
	case "end-plain": // a body until the connection and the process end
		_, _ = io.WriteString(c, head("200 OK", id, "\r\nhel"))
		_ = b.Close()
		return false
	case "close": // events until the connection ends
		_, _ = io.WriteString(c, head("200 OK", id, "Content-Type: text/event-stream\r\n\r\n")+events(argument))
		return false
	case "close-inside":
		_, _ = io.WriteString(c, head("200 OK", id, "Content-Type: text/event-stream\r\n\r\n")+events(argument)+"id: 9\ndata: ha")
		return false
	case "large":
		out = head("200 OK", id, fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody)) + strings.Repeat("x", largeBody)
	case "hold":
		b.onHold(c)
		return false
	case "short":
		out, keep = head("200 OK", id, "Content-Length: 9\r\n\r\nhello"), false
	case "unsigned":
		out = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 5\r\n\r\nhello"
	case "foreign":
		out = head("200 OK", "other", "Content-Length: 5\r\n\r\nhello")
	case "garbage":
		out, keep = "\x01\x02\x03 what\r\n\r\n", false
	case "twice":
		out = whole + strings.Replace(whole, "hello", "other", 1)
	case "unframed":
		out, keep = head("200 OK", id, "\r\nhello"), false
	case "reset":
		_ = c.(*net.TCPConn).SetLinger(0)
		_, _ = io.WriteString(c, head("200 OK", id, "\r\nhello"))
		time.Sleep(20 * time.Millisecond)
		return false
	case "stream", "cut", "cut-inside", "silent", "pause", "pause-cut", "pause-on", "trickle", "comments":
		return b.stream(c, q, head, name, n)
	case "events":
		out = head("200 OK", id, fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(events(argument))))
		out += events(argument)
	case "events-cut":
		out = head("200 OK", id, "Content-Type: text/event-stream\r\nContent-Length: 999\r\n\r\n") + events(argument)
		keep = false
	}
	b.mu.Lock()
	b.lastID[c] = id
	b.mu.Unlock()
	_, _ = io.WriteString(c, out)
	return keep
}

// requests returns the number of requests that have arrived.
func (b *fakeEndpoint) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

// await waits until a state is reached.
func await(t *testing.T, what string, isReached func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !isReached(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func (b *fakeEndpoint) previousID(c net.Conn) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, ok := b.lastID[c]
	return id, ok
}

// events returns an event for each word: "7" has this id and data, "-" data and no id, "text"
// neither.
func events(words string) string {
	var b strings.Builder
	for w := range strings.FieldsSeq(words) {
		switch w {
		case "-":
			b.WriteString("data: error\n\n")
		case "text":
			b.WriteString("HTTP/1.1 500 Broken\n\n")
		default:
			fmt.Fprintf(&b, "id: %s\ndata: e%s\n\n", w, w)
		}
	}
	return b.String()
}

// stream writes n events after the one from which the stream resumes; for the step
// "pause" it writes two events, n milliseconds apart. After these, "pause-cut" breaks off and
// "pause-on" writes a third one later.
func (b *fakeEndpoint) stream(c net.Conn, q *http.Request, head func(string, string, string) string, name string, n int) bool {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	pause := time.Duration(0)
	if strings.HasPrefix(name, "pause") {
		pause, n = time.Duration(n)*time.Millisecond, 2
	}
	_, _ = io.WriteString(c, head("200 OK", q.Header.Get(headers.RequestID), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	chunk := func(s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }
	for i := from + 1; i <= from+n; i++ {
		chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
		if i < from+n {
			time.Sleep(pause)
		}
	}
	switch name {
	case "cut", "pause-cut":
		return false
	case "pause-on":
		time.Sleep(200 * time.Millisecond)
		chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", from+n+1, from+n+1))
	case "cut-inside":
		chunk(fmt.Sprintf("id: %d\ndata: half", from+n+1))
		return false
	case "silent":
		time.Sleep(3 * time.Second)
		return false
	case "trickle":
		return b.repeat(chunk, "retry: 9\n", 350*time.Millisecond)
	case "comments":
		// The time-out for the next event, 1.2 s, is in the middle between the first ones and
		// the second ones.
		return b.repeat(chunk, strings.Repeat(": alive\n\n", 3), 800*time.Millisecond)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return true
}

// repeat writes a part of a stream ten times and breaks off.
func (b *fakeEndpoint) repeat(chunk func(string), part string, every time.Duration) bool {
	for range 10 {
		time.Sleep(every)
		chunk(part)
	}
	return false
}

// unfinishedEvent is the size in bytes of the event of the step "unfinished-event", which has no
// end: as much as a gateway keeps of one event, less a part for its buffers.
const unfinishedEvent = 900 << 10

// routeTimeout is the timeout of the routes of most tests.
const routeTimeout = 2 * time.Second

// configuration returns a configuration with one route for each resolver.Repeat.
func configuration() *resolver.Configuration { return configurationWithTimeout(routeTimeout) }

func configurationWithTimeout(timeout time.Duration) *resolver.Configuration {
	route := func(name string, repeat resolver.Repeat) resolver.Route {
		return resolver.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Targets: []resolver.Target{{Service: "s", Weight: 1}},
			Repeat: repeat, Timeout: timeout, Aim: 400 * time.Millisecond, Gap: 100 * time.Millisecond, Attempts: 2,
		}
	}
	return &resolver.Configuration{
		Routes:   []resolver.Route{route("any", resolver.Repeatable), route("once", resolver.AtMostOnce), route("resume", resolver.Resumable)},
		Services: []resolver.Service{{Name: "s"}},
		Accounts: []resolver.Account{{Name: "members", Keys: []string{"key"}}},
	}
}

func newHandler(t *testing.T, backends int) (*forwarder.Handler, []*fakeEndpoint) {
	return newHandlerWithTimeout(t, backends, routeTimeout)
}

func newHandlerWithTimeout(t *testing.T, backends int, timeout time.Duration) (*forwarder.Handler, []*fakeEndpoint) {
	state, all := newStateWithTimeout(t, backends, timeout, time.Now)
	return handlerOf(state), all
}

// newState returns a state with the configuration and fake endpoints.
func newState(t *testing.T, backends int, now func() time.Time) (*observer.State, []*fakeEndpoint) {
	return newStateWithTimeout(t, backends, routeTimeout, now)
}

func newStateWithTimeout(t *testing.T, backends int, timeout time.Duration, now func() time.Time) (*observer.State, []*fakeEndpoint) {
	state := &observer.State{
		Decode: func(string, []byte) (*observer.Decision, error) {
			return &observer.Decision{Configuration: configurationWithTimeout(timeout)}, nil
		},
		Now: now, Log: zerolog.Nop(),
	}
	state.ApplyOperator([]connector.Item{{Key: "c", Value: []byte("x")}}, time.Time{})
	var all []*fakeEndpoint
	var items []connector.Item
	for i := range backends {
		all = append(all, newFakeEndpoint(t))
		items = append(items, connector.Item{Key: fmt.Sprintf("i%d", i), Value: []byte("x")})
	}
	state.DecodeEndpoint = func(key string, _ []byte) (*observer.Endpoint, error) {
		n, _ := strconv.Atoi(key[1:])
		return &observer.Endpoint{ID: key, Service: "s", Address: all[n].address(), Domain: "a", Region: "r", Slots: 4}, nil
	}
	state.ApplyEndpoints(items, true)
	return state, all
}

func handlerOf(state *observer.State) *forwarder.Handler {
	d := &dispatcher.Dispatcher{Domain: "a", Region: "r", State: state}
	d.Update()
	return &forwarder.Handler{
		Headers: headers, Dispatcher: d, Transport: &forwarder.Transport{}, Table: state.Table, Log: zerolog.Nop(),
		Budget: forwarder.Budget{Share: 1, Burst: func() float64 { return 100 }},
	}
}

// serve serves the handler until the end of the test, and returns its URL.
func serve(t *testing.T, f *forwarder.Handler) string {
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.URL
}

// A truncated response must not look complete to the caller, a request must not run
// more often than its route allows, and a request that may have run must not be
// reported as refused. Each script line is "ROUTE: STEP, STEP ..."; the endpoint that
// gets the next attempt takes the next step. The output shows the response to the
// caller and what the endpoints received.
func TestHandler(t *testing.T) {
	datadriven.RunTest(t, "testdata/front", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		backends := 2
		if d.HasArg("alone") {
			backends = 1
		}
		timeout := routeTimeout
		if d.HasArg("long") {
			timeout = 6 * time.Second
		}
		f, all := newHandlerWithTimeout(t, backends, timeout)
		s := httptest.NewServer(f)
		n := 1
		for line := range strings.Lines(d.Input) {
			if d.HasArg("alone") {
				time.Sleep(avoidTime)
			}
			if !d.HasArg("kept") {
				// The dispatcher avoids a failed endpoint for a while, so each line gets
				// new ones.
				s.Close()
				f, all = newHandlerWithTimeout(t, backends, timeout)
				s = httptest.NewServer(f)
			}
			route, steps, _ := strings.Cut(strings.TrimSpace(line), ": ")
			script := &script{steps: strings.Split(steps, ", ")}
			for _, b := range all {
				b.script = script
			}
			fmt.Fprintf(&out, "%s -> %s\n", route, sendRequestWithID(s.URL, route, requestID(d, n)))
			n++
			out.WriteString(summarizeRequests(all))
		}
		s.Close()
		return out.String()
	})
}

// summarizeRequests returns and clears what the endpoints received. It leaves out which
// of them got a request, as that is random.
func summarizeRequests(all []*fakeEndpoint) string {
	ran, seen := 0, 0
	var resumes []string
	for _, b := range all {
		b.mu.Lock()
		ran += b.ran
		seen += len(b.seen)
		for _, s := range b.seen {
			if strings.Contains(s, "KEY-PASSED-ON") || !strings.Contains(s, "account=members") {
				resumes = append(resumes, "WRONG "+s)
			}
			if _, r, ok := strings.Cut(s, "resume="); ok {
				resumes = append(resumes, "resume="+r)
			}
		}
		b.ran, b.seen = 0, nil
		b.mu.Unlock()
	}
	return strings.TrimRight(fmt.Sprintf("  sent %d ran %d %s", seen, ran, strings.Join(resumes, " ")), " ") + "\n"
}

// requestID returns the id of the n-th request of a group: the same one for all requests
// unless the group says otherwise.
func requestID(d *datadriven.TestData, n int) string {
	switch {
	case d.HasArg("no-ids"):
		return ""
	case d.HasArg("own-ids"):
		return fmt.Sprintf("id-%d", n)
	}
	return "id-1"
}

// newRequest returns a request on a route. It tries to name its account itself.
func newRequest(ctx context.Context, url, route, id string) *http.Request {
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/"+route+"/x?y=1", strings.NewReader("body"))
	q.Host = "h"
	q.Header.Set("Authorization", "Bearer key")
	if id != "" {
		q.Header.Set(headers.RequestID, id)
	}
	q.Header.Set(headers.Account, "forged")
	return q
}

func sendRequest(url, route string) string { return sendRequestWithID(url, route, "id-1") }

func sendRequestWithID(url, route, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return receive(newRequest(ctx, url, route, id))
}

// receive sends the request and summarizes the response.
func receive(q *http.Request) string {
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return "connection closed"
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	text := strings.ReplaceAll(strings.TrimSpace(string(b)), "\n", "|")
	if r.Header.Get(headers.Signature) == "" {
		text = "own"
	}
	out := fmt.Sprintf("%d %s", r.StatusCode, text)
	if err != nil {
		out += " BROKEN OFF"
	}
	if r.Header.Get("Retry-After") != "" {
		out += " retry-after"
	}
	return out
}
