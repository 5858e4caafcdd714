package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// stoppingGateway is a gateway whose planned stop takes a second.
type stoppingGateway struct {
	gateway *Gateway
	servers *servers
}

// newStoppingGateway returns a gateway that serves callers and peers.
func newStoppingGateway(t *testing.T, e *scriptedEndpoints) *stoppingGateway {
	t.Helper()
	g, s := newTestServers(t, e)
	g.StopTimeout = time.Second
	go func() { _ = s.callers.Serve() }()
	go func() { _ = s.peers.Serve() }()
	return &stoppingGateway{g, s}
}

// stop makes the planned stop and ends all connections, as the exit of the process does.
func (s *stoppingGateway) stop() {
	s.gateway.stop(s.servers)
	_ = s.servers.callers.Server.Close()
	_ = s.servers.peers.Server.Close()
}

// sendRaw writes a request as it is.
func sendRaw(t *testing.T, l net.Listener, request string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	check(t, err)
	t.Cleanup(func() { _ = c.Close() })
	check(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, strings.ReplaceAll(request, "\n", "\r\n"))
	check(t, err)
	return c
}

// readAnswer returns what a caller needs of the answer.
func readAnswer(c net.Conn) string {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	out := fmt.Sprintf("%d %s", r.StatusCode, r.Header.Get(header.Outcome))
	if r.Header.Get(header.RetryAfter) != "" {
		out += " retry-after"
	}
	if strings.Contains(string(b), "event: error\n") {
		out += " error-event"
	}
	if err != nil {
		out += " broken-off"
	}
	return out
}

// awaitAttempts waits until the endpoints have got n attempts.
func (e *scriptedEndpoints) awaitAttempts(n int) {
	for range 500 {
		e.mu.Lock()
		seen := len(e.seen)
		e.mu.Unlock()
		if seen >= n {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	// The caller gets the beginning of a stream.
	time.Sleep(200 * time.Millisecond)
}

// raw returns a request as it is sent.
func raw(method, path, headers, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\nHost: h\nAuthorization: Bearer %s\n%sContent-Length: %d\n\n%s", method, path, testKey, headers, len(body), body)
}

// A call that still runs at the end of a gateway's planned stop must get an answer that says
// whether it may have run; its connection was closed without one.
func TestEndOfStopAnswersCalls(t *testing.T) {
	post := raw("POST", "/booking/deposits", "", "{}")
	chat := `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	for name, c := range map[string]struct {
		request, script string
		attempts        int
		peer            bool
		want            string
	}{
		"once":          {post, "slow 4000 whole", 1, false, "504 unknown"},
		"repeatable":    {raw("GET", "/booking/balance", "", ""), "slow 4000 whole", 1, false, "504 failed"},
		"keyed":         {raw("POST", "/booking/deposits", "Idempotency-Key: k\n", "{}"), "slow 4000 whole", 1, false, "504 unknown"},
		"stream":        {raw("POST", completionsPath, "", chat), "stream v1 2 slow 4000 4", 1, false, "200  error-event"},
		"silent stream": {raw("POST", completionsPath, "", chat), "slow 4000 stream v1 2", 1, false, "504 failed"},
		"body":          {strings.TrimSuffix(post, "}"), "whole", 0, false, "503 not-run retry-after"},
		"of a peer":     {raw("POST", "/booking/deposits", header.RequestID+": r\n", "{}"), "slow 4000 whole", 1, true, "502 unknown"},
		"stream of a peer": {
			raw("POST", completionsPath, header.RequestID+": r\n", chat), "stream v1 2 slow 4000 4", 1, true, "200 run broken-off",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &scriptedEndpoints{script: []string{c.script}}
			g := newStoppingGateway(t, e)
			l := g.servers.callers.Listener
			if c.peer {
				l = g.servers.peers.Listener
			}
			conn := sendRaw(t, l, c.request)
			e.awaitAttempts(c.attempts)
			go g.stop()
			if got := readAnswer(conn); got != c.want {
				t.Errorf("the caller got %q, want %q", got, c.want)
			}
		})
	}
}

// A call that waits for an endpoint at the end of the stop was not run, and must be told so.
func TestEndOfStopAnswersWaitingCalls(t *testing.T) {
	const calls = 30
	e := &scriptedEndpoints{script: strings.Split(strings.TrimSpace(strings.Repeat("slow 4000 whole\n", calls)), "\n")}
	g := newStoppingGateway(t, e)
	var conns []net.Conn
	for range calls {
		conns = append(conns, sendRaw(t, g.servers.callers.Listener, raw("POST", "/booking/deposits", "", "{}")))
	}
	e.awaitAttempts(10)
	go g.stop()
	n := make(map[string]int)
	for _, c := range conns {
		n[readAnswer(c)]++
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	unknown, refused := n["504 unknown"], n["503 not-run retry-after"]+n["429 not-run retry-after"]
	if unknown < e.ran || unknown+refused != calls || n["503 not-run retry-after"] == 0 {
		t.Errorf("the callers got %v, and %d calls ran", n, e.ran)
	}
}

// A connection to the relay that sends nothing must not hold up the end of a planned stop.
func TestStopBesideSilentRelayConnection(t *testing.T) {
	g := newStoppingGateway(t, &scriptedEndpoints{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	go func() { _ = g.servers.relay.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	check(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(200 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		g.stop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(g.gateway.StopTimeout + handshakeTimeout + 2*time.Second):
		t.Error("the stop hasn't ended")
	}
}
