package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/router"
	"github.com/eelgrassdrift/eelgrassdrift/streamer"
)

const testKey = "test-key"

const declaration = `
failure-domains: [{name: tanta, region: delta}]
client-accounts: [{name: members, key-digests: [KEY], requests-per-second: 1000, burst: 1000, concurrency: 100, weight: 1}]
services: [{name: booking, prefix: /booking/, timeout: 4s, key-window: 1h}]
models: [{name: m, order-timeout: 30s}]
`

// leavingTime is how long after its answer the agent of a leaving endpoint leaves.
const leavingTime = 500 * time.Millisecond

// scriptedEndpoints fakes two endpoints that answer attempts as a script says.
type scriptedEndpoints struct {
	mu     sync.Mutex
	script []string
	// seen holds the endpoint of each attempt and the position it resumes from.
	seen []string
	// ran counts the attempts that were not refused.
	ran int
	// sent counts the bytes of unfinished answers, which end when release is closed.
	sent    atomic.Int64
	release chan struct{}
	// report tells the gateway an endpoint's state.
	report func(name string, state router.State)
	// detach tells the gateway that an endpoint's agent has left.
	detach func(name string)
}

// next returns the script line of this attempt. After the last line, endpoints
// answer with a complete response.
func (e *scriptedEndpoints) next(name string, q *http.Request) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := "whole"
	if n := len(e.seen); n < len(e.script) {
		s = e.script[n]
	}
	e.seen = append(e.seen, name+q.Header.Get(header.ResumeFrom))
	if !strings.HasPrefix(s, "refuse") && !strings.HasPrefix(s, "old refuse") {
		e.ran++
	}
	return strings.Fields(s)
}

// serve answers one attempt by its script line: whole [VERSION], refuse REASON,
// empty STATUS, fail, unknown, drop, cut, unfinished MIB CALLS, bare, invalid STATUS, or stream VERSION FRAMES [cut] or
// [quiet MS FRAMES] or [gone MS FRAMES] or [late MS FRAMES], of which "late" pauses without a
// report. "foreign" before it answers another request, "old" leaves the request id out, "quiet MS"
// is silent before it answers, "slow MS" the same while the agent reports it ready, and the agent
// of "leaving" leaves after the answer. "raw" closes the connection after the bytes, in which "|"
// is the end of a line and "@" the lines of an agent's answer.
func (e *scriptedEndpoints) serve(name string, w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	s := append(e.next(name, q), "", "", "", "")
	h := w.Header()
	h.Set(header.Outcome, header.Run)
	h.Set(header.Version, "v1")
	h.Set(header.RequestID, q.Header.Get(header.RequestID))
	switch s[0] {
	case "foreign":
		h.Set(header.RequestID, "other")
		s = s[1:]
	case "old":
		h.Del(header.RequestID)
		s = s[1:]
	case "quiet", "gone":
		e.quiet(q, name, s[1], s[0] == "gone")
		s = s[2:]
	case "slow":
		wait(q, s[1])
		s = s[2:]
	case "leaving":
		time.AfterFunc(leavingTime, func() { e.detach(name) })
		s = s[1:]
	}
	switch s[0] {
	case "empty":
		n, _ := strconv.Atoi(s[1])
		w.WriteHeader(n)
	case "whole":
		if s[1] != "" {
			h.Set(header.Version, s[1])
		}
		_, _ = io.WriteString(w, "answer")
	case "refuse":
		h.Set(header.Outcome, header.NotRun)
		h.Set(header.Reason, s[1])
		h.Set(header.RetryAfter, "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "fail", "unknown":
		h.Set(header.Outcome, map[string]string{"fail": header.Failed, "unknown": header.Unknown}[s[0]])
		w.WriteHeader(http.StatusBadGateway)
	case "invalid":
		n, _ := strconv.Atoi(s[1])
		h.Set(header.Outcome, header.NotRun)
		w.WriteHeader(n)
		_, _ = io.WriteString(w, "invalid")
	case "bare":
		h.Del(header.Outcome)
		_, _ = io.WriteString(w, "answer")
	case "cut":
		h.Set("Content-Length", "100")
		_, _ = io.WriteString(w, "ans")
	case "unfinished":
		n, _ := strconv.Atoi(s[1])
		calls, _ := strconv.Atoi(s[2])
		e.unfinished(w, q, n, calls)
	case "raw":
		writeRaw(w, q, strings.Join(s[1:], " "))
	case "stream":
		h.Set(header.Version, s[1])
		to := writeStream(w, q, 0, s[2])
		switch s[3] {
		case "late":
			n, _ := strconv.Atoi(s[4])
			time.Sleep(time.Duration(n) * time.Millisecond)
			to = writeStream(w, q, to, s[5])
		case "quiet", "gone":
			e.quiet(q, name, s[4], s[3] == "gone")
			to = writeStream(w, q, to, s[5])
		}
		if s[3] == "slow" {
			wait(q, s[4])
			to = writeStream(w, q, to, s[5])
		}
		if s[3] == "cut" {
			panic(http.ErrAbortHandler)
		}
		endStream(w, q, to)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeRaw(w http.ResponseWriter, q *http.Request, b string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	b = strings.ReplaceAll(strings.TrimSpace(b), "@", header.Outcome+": run|"+header.Version+": v1|"+
		header.RequestID+": "+q.Header.Get(header.RequestID)+"|")
	_, _ = io.WriteString(c, strings.ReplaceAll(b, "|", "\r\n"))
	_ = c.Close()
}

// quiet is an endpoint that falls silent and then goes on. Its agent reports it as a lost
// engine or, if gone is set, leaves for another gateway meanwhile.
func (e *scriptedEndpoints) quiet(q *http.Request, name, ms string, gone bool) {
	if gone {
		e.detach(name)
	} else {
		e.report(name, router.Empty)
	}
	wait(q, ms)
	e.report(name, router.Ready)
}

// wait waits for the given number of milliseconds, unless the gateway ends the attempt.
func wait(q *http.Request, ms string) {
	n, _ := strconv.Atoi(ms)
	select {
	case <-time.After(time.Duration(n) * time.Millisecond):
	case <-q.Context().Done():
	}
}

// writeStream writes the frames from the given number, or from the one at which the
// request resumes, up to another, and returns that.
func writeStream(w http.ResponseWriter, q *http.Request, from uint64, frames string) uint64 {
	from = max(from, uint64(header.Int(q.Header, header.ResumeFrom, 0)))
	s := &streamer.Writer{Out: w, Form: streamer.Hop, Request: q.Header.Get(header.RequestID), From: from}
	to := uint64(0)
	_, _ = fmt.Sscan(frames, &to)
	for n := from; n < to; n++ {
		_ = s.Frame(streamer.Frame{Request: s.Request, Sequence: n, Data: fmt.Appendf(nil, `{"n":%d}`, n)})
	}
	return max(from, to)
}

func endStream(w http.ResponseWriter, q *http.Request, n uint64) {
	s := &streamer.Writer{Out: w, Form: streamer.Hop, Request: q.Header.Get(header.RequestID), From: n}
	_ = s.Frame(streamer.Frame{Request: s.Request, Sequence: n, End: true, Count: n})
}

// newTestGateway returns a gateway that knows two endpoints for a model and for
// a service.
func newTestGateway(t testing.TB, e *scriptedEndpoints) *Gateway {
	t.Helper()
	g, _ := newTestServers(t, e)
	return g
}

// newTestServers returns the gateway with its servers, which don't serve yet.
func newTestServers(t testing.TB, e *scriptedEndpoints) (*Gateway, *servers) {
	t.Helper()
	m, err := meter.New("gateway-test")
	check(t, err)
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	g := &Gateway{
		Node:    settings.Node{Instance: "gateway-0", FailureDomain: "tanta", Region: "delta", Log: zerolog.Nop()},
		Callers: any0, Operators: any0, Relay: any0, Peers: any0,
		RequestTimeout: 4 * time.Second, AccountShare: 1, Metrics: m,
	}
	l, err := g.listen(context.Background())
	check(t, err)
	for _, v := range []net.Listener{l.callers, l.operators, l.relay, l.peers} {
		t.Cleanup(func() { _ = v.Close() })
	}
	all, err := g.prepare(l)
	check(t, err)
	d, err := recorder.ParseDeclaration([]byte(strings.ReplaceAll(declaration, "KEY", recorder.DigestOf([]byte(testKey)).String())))
	check(t, err)
	r := recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: "anna", Changes: d.Changes()}
	b, err := r.Encode()
	check(t, err)
	check(t, g.replica.Apply(1, b))
	addresses := make(map[string]netip.AddrPort)
	for _, n := range []string{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { e.serve(n, w, q) }))
		t.Cleanup(s.Close)
		addresses[n] = netip.MustParseAddrPort(s.Listener.Addr().String())
		addEndpoints(g, n, addresses[n], 1, router.Ready)
	}
	sequence := atomic.Uint64{}
	sequence.Store(1)
	e.report = func(name string, state router.State) {
		addEndpoints(g, name, addresses[name], sequence.Add(1), state)
	}
	e.detach = func(name string) {
		g.table.Remove(endpointName(name, "model/m"))
		g.table.Remove(endpointName(name, "service/booking"))
	}
	return g, all
}

// addEndpoints updates the status of the endpoints of a stand-in for the model and the service.
func addEndpoints(g *Gateway, name string, address netip.AddrPort, sequence uint64, state router.State) {
	for _, serves := range []string{"model/m", "service/booking"} {
		g.table.Update(router.Endpoint{
			Instance: endpointName(name, serves), FailureDomain: "tanta", Region: "delta", Serves: serves,
			Address: address, BootID: "boot", Sequence: sequence, State: state, Version: "v1", Limit: 10, Seen: time.Now(),
		})
	}
}

func endpointName(name, serves string) recorder.Name { return recorder.Name(name + "-" + serves[:5]) }

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// requests holds the requests that testdata/attempts names.
var requests = map[string]struct{ method, path, body, key string }{
	"model":   {"POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hello"}]}`, ""},
	"stream":  {"POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`, ""},
	"booking": {"POST", "/booking/deposits", "{}", ""},
	"keyed":   {"POST", "/booking/deposits", "{}", "key-1"},
	"balance": {"GET", "/booking/balance", "", ""},
	"head":    {"HEAD", "/booking/balance", "", ""},
}

// Guards against responses that are mixed from several attempts, truncated or of
// another version, against running a non-idempotent call twice, and against the
// outcome "not-run" for a request that may have run, and against answers that are
// lost because their endpoint was silent for a moment. Each case is one request; each
// line of its script is the response of an endpoint to one attempt. "alone" leaves one
// endpoint, "no-retries" takes the budget, "dial" is how long the first connection takes,
// "limit" is the time limit of a request, "accepts" how long the caller takes to accept each
// of the first two parts of its response.
func TestAttempts(t *testing.T) {
	datadriven.RunTest(t, "testdata/attempts", func(t *testing.T, d *datadriven.TestData) string {
		q, ok := requests[d.Cmd]
		if !ok {
			d.Fatalf(t, "unknown request")
		}
		e := &scriptedEndpoints{}
		if d.Input != "" {
			e.script = strings.Split(d.Input, "\n")
		}
		g := newTestGateway(t, e)
		if d.HasArg("retries") {
			for range 100 {
				g.budget.Offer()
			}
		}
		if d.HasArg("no-retries") {
			g.budget.Share = -1
		}
		if d.HasArg("dial") {
			var ms int
			d.ScanArgs(t, "dial", &ms)
			g.dialer.ControlContext = slowOnce(time.Duration(ms) * time.Millisecond)
		}
		if d.HasArg("limit") {
			var ms int
			d.ScanArgs(t, "limit", &ms)
			g.RequestTimeout = time.Duration(ms) * time.Millisecond
		}
		if d.HasArg("alone") {
			e.detach("b")
		}
		h := g.callerRoutes()
		if d.HasArg("accepts") {
			var ms int
			d.ScanArgs(t, "accepts", &ms)
			h = forSlowCaller(h, time.Duration(ms)*time.Millisecond)
		}
		s := httptest.NewServer(h)
		defer s.Close()
		r, err := http.NewRequest(q.method, s.URL+q.path, strings.NewReader(q.body))
		check(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		if q.key != "" {
			r.Header.Set(header.IdempotencyKey, q.key)
		}
		a, err := http.DefaultClient.Do(r)
		check(t, err)
		defer func() { _ = a.Body.Close() }()
		b, err := io.ReadAll(a.Body)
		out := fmt.Sprintf("%d version=%s retry-after=%s %v", a.StatusCode, a.Header.Get(header.Version),
			a.Header.Get(header.RetryAfter), e)
		if err != nil {
			out += " cut"
		}
		if q.method == http.MethodHead {
			out += fmt.Sprintf(" length=%d", a.ContentLength)
		}
		return out + "\n" + strings.TrimSpace(blank.ReplaceAllString(ids.ReplaceAllString(string(b), "ID"), "\n")) + "\n"
	})
}

// slowOnce returns a control function for a dialer whose first connection takes d.
func slowOnce(d time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	var once atomic.Bool
	return func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		if once.Swap(true) {
			return nil
		}
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// slowCaller is the response to a caller that takes a while to accept some parts of it.
type slowCaller struct {
	http.ResponseWriter
	delay time.Duration
	// parts is the number of parts for which the caller takes the delay.
	parts int
}

// forSlowCaller returns a handler whose caller takes d for each of the first two parts.
func forSlowCaller(h http.Handler, d time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		h.ServeHTTP(&slowCaller{ResponseWriter: w, delay: d, parts: 2}, q)
	})
}

func (w *slowCaller) accept() {
	if w.parts > 0 {
		w.parts--
		time.Sleep(w.delay)
	}
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *slowCaller) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *slowCaller) Write(b []byte) (int, error) {
	w.accept()
	return w.ResponseWriter.Write(b)
}

// FlushError sends buffered data. http.ResponseController calls it.
func (w *slowCaller) FlushError() error {
	w.accept()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// String returns the number of attempts, of those that were not refused, and of
// the endpoints that were tried.
func (e *scriptedEndpoints) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := make(map[byte]bool)
	for _, s := range e.seen {
		n[s[0]] = true
	}
	return fmt.Sprintf("attempts=%d ran=%d endpoints=%d", len(e.seen), e.ran, len(n))
}

var (
	ids   = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`)
	blank = regexp.MustCompile(`\n+`)
)
