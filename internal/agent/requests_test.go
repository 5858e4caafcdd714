package agent

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
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const declaration = `
failure-domains: [{name: tanta, region: delta}]
services: [{name: booking, prefix: /booking/, timeout: 2s, key-window: 1h}]
models: [{name: m, order-timeout: 30s}]
`

// target stands for an engine or a plain service, which does what a script says.
type target struct {
	script []string
	ran    atomic.Int32
}

// ServeHTTP answers one request: whole VERSION BOOT, status CODE VERSION BOOT,
// drop, cut, stall, raw or raw-reset BYTES, where "|" is the end of a line and "@" the
// lines that name version and boot, or stream BOOT EVENT..., where an event is a sequence number,
// "foreign-N", "end-N" or the silence "pause-MS". A dash leaves a header out; "resumes" before the
// events confirms the position asked for. "foreign" before it names another request, and
// "pause-MS" is a silence before the head.
func (s *target) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	s.ran.Add(1)
	name := func(version, boot string) {
		for k, v := range map[string]string{header.Version: version, header.BootID: boot} {
			if v != "-" {
				w.Header().Set(k, v)
			}
		}
	}
	script := s.script
	if script[0] == "foreign" {
		w.Header().Set(header.CallerID, "other")
		script = script[1:]
	}
	if ms, ok := strings.CutPrefix(script[0], "pause-"); ok {
		pause(ms)
		script = script[1:]
	}
	switch script[0] {
	case "whole":
		name(script[1], script[2])
		_, _ = io.WriteString(w, "answer")
	case "status":
		name(script[2], script[3])
		n, _ := strconv.Atoi(script[1])
		w.WriteHeader(n)
	case "cut":
		name("v1", "boot")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "ans")
	case "stall":
		name("v1", "boot")
		_, _ = io.WriteString(w, "ans")
		_ = http.NewResponseController(w).Flush()
		<-q.Context().Done()
	case "raw", "raw-reset":
		writeRaw(w, strings.Join(script[1:], " "), script[0] == "raw-reset")
	case "stream":
		name("v1", s.script[1])
		s.stream(w, q)
	default:
		panic(http.ErrAbortHandler)
	}
}

func pause(ms string) {
	n, _ := strconv.Atoi(ms)
	time.Sleep(time.Duration(n) * time.Millisecond)
}

// writeRaw writes the bytes as they are and closes the connection.
func writeRaw(w http.ResponseWriter, b string, reset bool) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	b = strings.ReplaceAll(b, "@", header.Version+": v1|"+header.BootID+": boot|")
	_, _ = io.WriteString(c, strings.ReplaceAll(b, "|", "\r\n"))
	if reset {
		// The other side reads what was written before it gets the reset.
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

func (s *target) stream(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(header.CallerID)
	w.Header().Set("Content-Type", "text/event-stream")
	for _, e := range s.script[2:] {
		kind, n, _ := strings.Cut(e, "-")
		switch kind {
		case "resumes":
			w.Header().Set(header.ResumeFrom, q.Header.Get(header.ResumeFrom))
		case "pause":
			_ = http.NewResponseController(w).Flush()
			pause(n)
		case "foreign":
			_, _ = fmt.Fprintf(w, "id: other/%s\ndata: {}\n\n", n)
		case "end":
			_, _ = fmt.Fprintf(w, "event: end\nid: %s/%s\ndata: {\"count\":%s}\n\n", id, n, n)
		default:
			_, _ = fmt.Fprintf(w, "id: %s/%s\ndata: {\"n\":%s}\n\n", id, kind, kind)
		}
	}
}

// newTestAgent returns an agent that has read back version v1 of the engine's
// boot, and its handler for gateways.
func newTestAgent(t testing.TB, serves, url string) (*Agent, http.Handler) {
	t.Helper()
	a, outer := newListeningAgent(t, serves, url)
	return a, outer.server.Handler
}

// newListeningAgent returns such an agent with its server for gateways, which doesn't serve yet.
func newListeningAgent(t testing.TB, serves, url string) (*Agent, listening) {
	t.Helper()
	m, err := meter.New("agent-test")
	check(t, err)
	free := netip.MustParseAddrPort("127.0.0.1:0")
	a := &Agent{
		Node:   settings.Node{Instance: "engine-0", FailureDomain: "tanta", Region: "delta", StopTimeout: time.Second, Log: zerolog.Nop()},
		Serves: serves, Target: url, Listen: free, Local: free, OriginRegion: "delta",
		WeightsMemory: 1 << 20, Cold: 2, Most: 2, Metrics: m,
	}
	outer, local, err := a.prepare(context.Background())
	check(t, err)
	t.Cleanup(func() { _, _ = outer.listener.Close(), local.listener.Close() })
	d, err := recorder.ParseDeclaration([]byte(declaration))
	check(t, err)
	record(t, a, d.Changes()...)
	a.gate.Open("v1", "boot")
	return a, outer
}

// record applies the next record of the log.
func record(t testing.TB, a *Agent, c ...recorder.Change) {
	t.Helper()
	r := recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: "anna", Changes: c}
	b, err := r.Encode()
	check(t, err)
	check(t, a.replica.Apply(a.replica.Current().Offset+1, b))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// set brings the agent into the state of a case.
func set(t *testing.T, a *Agent, state string) {
	t.Helper()
	switch state {
	case "out":
		record(t, a, recorder.Change{Kind: recorder.TakeDomainOut, Object: "tanta"})
	case "out-and-in":
		record(t, a, recorder.Change{Kind: recorder.TakeDomainOut, Object: "tanta"})
		record(t, a, recorder.Change{Kind: recorder.BringDomainIn, Object: "tanta"})
	case "drained":
		record(t, a, recorder.Change{Kind: recorder.DrainEndpoint, Object: "engine-0"})
	case "other-drained":
		record(t, a, recorder.Change{Kind: recorder.DrainEndpoint, Object: "engine-1"})
	case "leaving":
		a.leaving.Store(true)
	case "closed":
		a.gate.Close("loading")
	case "full":
		for a.limit.Acquire() {
		}
	default:
		t.Fatalf("unknown state %q", state)
	}
}

var (
	ids   = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`)
	ports = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)
	blank = regexp.MustCompile(`\n+`)
)

// Guards against work that an endpoint must not take, against answers from
// another version or boot than was read back, against mixed or cut streams, against
// cut answers that look whole, and against "not run" for a call that the target got. Each case is one request:
// its arguments are the agent's state and the request's headers, its input is
// what the target does.
func TestRequests(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
		s := &target{script: strings.Fields(d.Input)}
		back := httptest.NewServer(s)
		defer back.Close()
		if d.Input == "down" {
			back.Close()
		}
		serves, method, path, body := "model/m", "POST", "/v1/chat/completions", `{"model":"m"}`
		switch d.Cmd {
		case "model":
		case "post":
			serves, path = "service/booking", "/booking/deposits"
		case "head":
			serves, method, path, body = "service/booking", "HEAD", "/booking/balance", ""
		case "get":
			serves, method, path, body = "service/booking", "GET", "/booking/balance", ""
		default:
			d.Fatalf(t, "unknown request")
		}
		a, h := newTestAgent(t, serves, back.URL)
		q := httptest.NewRequest(method, path, strings.NewReader(body))
		q.Header.Set(header.RequestID, "r")
		for _, v := range d.CmdArgs {
			switch v.Key {
			case "state":
				set(t, a, v.Vals[0])
			case "pinned":
				q.Header.Set(header.Version, v.Vals[0])
			case "resume":
				q.Header.Set(header.ResumeFrom, v.Vals[0])
			case "left":
				q.Header.Set(header.DeadlineMS, v.Vals[0])
			case "key":
				header.SetIdempotencyKey(q.Header, v.Vals[0])
				q.Header.Set(header.IdempotencyKey, v.Vals[0])
			default:
				d.Fatalf(t, "unknown argument %s", v.Key)
			}
		}
		return answer(h, q) + fmt.Sprintf("ran=%d %s\n", s.ran.Load(), gate(a))
	})
}

func gate(a *Agent) string {
	if _, open := a.gate.IsOpen(); open {
		return "gate=open"
	}
	return "gate=closed"
}

// answer serves the request and returns what a gateway needs of the answer.
func answer(h http.Handler, q *http.Request) string {
	w := httptest.NewRecorder()
	cut := ""
	func() {
		defer func() {
			if recover() != nil {
				cut = " cut"
			}
		}()
		h.ServeHTTP(w, q)
	}()
	if w.Header().Get(header.RequestID) != q.Header.Get(header.RequestID) {
		cut += " unnamed"
	}
	if q.Method == http.MethodHead {
		cut += " length=" + w.Header().Get("Content-Length")
	}
	b := strings.TrimSpace(blank.ReplaceAllString(ports.ReplaceAllString(ids.ReplaceAllString(w.Body.String(), "ID"), "ADDRESS"), "\n"))
	return fmt.Sprintf("%d outcome=%s reason=%s version=%s%s\n%s\n", w.Code, w.Header().Get(header.Outcome),
		w.Header().Get(header.Reason), w.Header().Get(header.Version), cut, b)
}
