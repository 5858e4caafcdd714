package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/platformlog"
)

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

// raw returns a request as it is sent.
func raw(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\nHost: h\n%s: r\n%s: members\nContent-Length: %d\n\n%s",
		method, path, header.RequestID, header.Account, len(body), body)
}

// startGuard runs the guard of idempotency keys until the test ends.
func startGuard(t *testing.T, a *Agent) {
	t.Helper()
	l := httptest.NewServer(&platformlog.Log{})
	t.Cleanup(l.Close)
	a.LogURL = l.URL
	s := a.back.(*service)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.runGuard(ctx) // it ends with the context
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	// It is ready once it has read the log.
	time.Sleep(500 * time.Millisecond)
}

// readAnswer returns what a gateway needs of the answer.
func readAnswer(c net.Conn) string {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	out := fmt.Sprintf("%d %s", r.StatusCode, r.Header.Get(header.Outcome))
	if strings.Contains(string(b), "event: error\n") {
		out += " error-event"
	}
	if err != nil {
		out += " broken-off"
	}
	return out
}

// A request that still runs at the end of an agent's planned stop must get an answer that says
// whether it may have run; its connection was closed without one. The end of the stop must not
// come later than its time either.
func TestEndOfStopAnswersRequests(t *testing.T) {
	complete, body := raw("POST", "/v1/chat/completions", `{"model":"m"}`), raw("POST", "/booking/deposits", "{}")
	for name, c := range map[string]struct{ serves, request, script, want string }{
		"model":  {"model/m", complete, "pause-4000 whole v1 boot", "502 failed"},
		"stream": {"model/m", complete, "stream boot 0 1 pause-4000 2 end-3", "200 run error-event"},
		"post":   {"service/booking", body, "pause-4000 whole - -", "502 unknown"},
		"keyed": {
			"service/booking", strings.Replace(body, "\n", "\nIdempotency-Key: k\n", 1), "pause-4000 whole - -", "502 unknown",
		},
		"get":  {"service/booking", raw("GET", "/booking/balance", ""), "pause-4000 whole - -", "502 unknown"},
		"body": {"service/booking", strings.TrimSuffix(body, "}"), "whole - -", "503 not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			back := httptest.NewServer(&target{script: strings.Fields(c.script)})
			defer back.Close()
			a, outer := newListeningAgent(t, c.serves, back.URL)
			if name == "keyed" {
				startGuard(t, a)
			}
			d := &listener.Drainer{Server: outer.server, Listener: outer.listener}
			go func() { _ = d.Serve() }()
			conn := sendRaw(t, outer.listener, c.request)
			time.Sleep(500 * time.Millisecond)
			began := time.Now()
			stopped := make(chan time.Duration, 1)
			go func() {
				a.stop([]*listener.Drainer{d})
				stopped <- time.Since(began)
				_ = d.Server.Close()
			}()
			if got := readAnswer(conn); got != c.want {
				t.Errorf("the gateway got %q, want %q", got, c.want)
			}
			if took := <-stopped; took > a.StopTimeout+200*time.Millisecond {
				t.Errorf("the stop took %s of %s", took, a.StopTimeout)
			}
		})
	}
}
