package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// A log that calls a request that the end of a planned stop cut one that its caller left can't
// show what callers lost.
func TestLogTellsStoppedFromCallerLeft(t *testing.T) {
	for name, cut := range map[string]bool{"stopped": true, "caller-left": false} {
		var log bytes.Buffer
		f, all := newHandler(t, 1)
		f.Log = zerolog.New(&log)
		var outcomes []string
		f.Observe = func(r forwarder.Result) { outcomes = append(outcomes, r.Outcome) }
		all[0].script = &script{steps: []string{"wait"}}
		s := httptest.NewServer(f)
		done := make(chan string, 1)
		go func() { done <- sendRequest(s.URL, "once") }()
		await(t, "request at the endpoint", func() bool { return all[0].requests() == 1 })
		if n := 0; cut {
			if n = f.Cut(); n != 1 {
				t.Errorf("%s: %d calls were cut, want 1", name, n)
			}
		}
		s.CloseClientConnections()
		<-done
		s.Close()
		close(all[0].release)
		if len(outcomes) != 1 || outcomes[0] != name || !bytes.Contains(log.Bytes(), []byte(`"outcome":"`+name+`"`)) {
			t.Errorf("%s: outcomes %q, the log says %s", name, outcomes, log.Bytes())
		}
	}
}

// sendUntil sends a request that has the given time to its deadline, and returns the status.
func sendUntil(url, route string, d time.Duration) int {
	q, _ := http.NewRequest(http.MethodPost, url+"/"+route+"/x", strings.NewReader("body"))
	q.Host = "h"
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(headers.RequestID, "id-1")
	if d > 0 {
		q.Header.Set(headers.Deadline, strconv.FormatInt(d.Milliseconds(), 10))
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode
}

// A gateway that stops must pass on no request that may not end, and refuse none that does.
func TestStopRefusesWhatMayNotEnd(t *testing.T) {
	for _, c := range []struct {
		route    string
		known    int
		deadline time.Duration
		status   int
	}{
		{"once", 4, 0, http.StatusServiceUnavailable},
		{"once", 0, 600 * time.Millisecond, http.StatusOK},
		{"any", 0, 0, http.StatusServiceUnavailable},
		{"any", 0, 600 * time.Millisecond, http.StatusOK},
		{"any", 4, 0, http.StatusOK},
		{"resume", 4, 0, http.StatusServiceUnavailable},
		{"resume", 0, 600 * time.Millisecond, http.StatusOK},
	} {
		f, all := newHandler(t, 1)
		all[0].script = &script{}
		url := serve(t, f)
		for range c.known {
			sendRequest(url, c.route)
		}
		summarizeRequests(all)
		f.Stop(time.Now().Add(routeTimeout / 2))
		if got := sendUntil(url, c.route, c.deadline); got != c.status {
			t.Errorf("%s with %d known and a deadline of %s: status %d, want %d", c.route, c.known, c.deadline, got, c.status)
		}
		if got := summarizeRequests(all); (got == "  sent 1 ran 1\n") != (c.status == http.StatusOK) {
			t.Errorf("%s with %d known and a deadline of %s: the endpoint got %q", c.route, c.known, c.deadline, got)
		}
	}
}

// A further attempt that may not end before the stop must not be made, and the answer must say
// whether the request may have run.
func TestStopMakesNoFurtherAttempt(t *testing.T) {
	for answer, want := range map[string]string{
		"": "502 own",
		"HTTP/1.1 503 Busy\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n": "503 own retry-after",
	} {
		f, all := newHandler(t, 2)
		s := &script{steps: []string{"hold"}}
		for _, b := range all {
			b.script = s
			b.onHold = func(c net.Conn) {
				f.Stop(time.Now())
				_, _ = io.WriteString(c, answer)
			}
		}
		if got := sendRequest(serve(t, f), "any"); got != want {
			t.Errorf("the caller got %q after %q, want %q", got, answer, want)
		}
		if got := summarizeRequests(all); !strings.HasPrefix(got, "  sent 1 ") {
			t.Errorf("the endpoints got %q, want one request", got)
		}
	}
}

// A request that has waited for a slot until it may not end any more must not be sent.
func TestStopWhileQueued(t *testing.T) {
	f, all := newHandlerWithTimeout(t, 1, slotsTimeout)
	var mu sync.Mutex
	outcomes := make(map[string]int)
	f.Observe = func(r forwarder.Result) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[r.Outcome]++
	}
	got := fillSlots(t, f, all[0])
	f.Stop(time.Now().Add(slotsTimeout / 2))
	close(all[0].release)
	answers := make(map[string]int)
	for range 5 {
		answers[<-got]++
	}
	if answers["200 hello"] != 4 || answers["503 own retry-after"] != 1 {
		t.Errorf("the callers got %v", answers)
	}
	if got := summarizeRequests(all); got != "  sent 4 ran 4\n" {
		t.Errorf("the endpoint got %q, want the four requests that were not queued", got)
	}
	await(t, "five observed calls", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return outcomes["served"]+outcomes["stopping"] == 5
	})
	if outcomes["stopping"] != 1 {
		t.Errorf("outcomes %v, want one request refused because of the stop", outcomes)
	}
}

// slotsTimeout is the timeout of the routes where slots are full. It leaves a queued request
// more time in the queue than a busy machine needs.
const slotsTimeout = 8 * time.Second

// fillSlots sends four requests, which take the slots of an endpoint until its release, and one
// that is queued after them. It returns their responses.
func fillSlots(t *testing.T, f *forwarder.Handler, b *fakeEndpoint) <-chan string {
	t.Helper()
	b.script = &script{steps: []string{"wait", "wait", "wait", "wait"}}
	url := serve(t, f)
	got := make(chan string, 5)
	for i := range 4 {
		go func() { got <- sendRequestWithID(url, "any", fmt.Sprint(i)) }()
	}
	await(t, "four requests at the endpoint", func() bool { return b.requests() == 4 })
	go func() { got <- sendRequestWithID(url, "once", "queued") }()
	await(t, "a request in the queue", func() bool { return f.Dispatcher.Status()[0].Queued == 1 })
	return got
}

// A request that the end of a planned stop cuts must be told whether it may have run. Before,
// its connection was closed without an answer.
func TestStopAnswersWhatItCuts(t *testing.T) {
	for _, c := range []struct{ route, step, want string }{
		{"once", "slow 900", "504 own"},
		{"any", "slow 900", "504 own"},
		{"resume", "pause 900", "200 id: 1|data: e1 BROKEN OFF"},
		{"once", "hold", "504 own"},
	} {
		f, all := newHandler(t, 1)
		all[0].script = &script{steps: []string{c.step}}
		reset := make(chan error, 1)
		all[0].onHold = func(c net.Conn) {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, err := io.Copy(io.Discard, c)
			reset <- err
		}
		begun, cut := make(chan struct{}), make(chan time.Time, 1)
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotFirstResponseByte: func() {
			if c.route == "resume" {
				close(begun)
			}
		}})
		go func() {
			if c.route == "resume" {
				<-begun
			}
			for all[0].requests() == 0 {
				time.Sleep(time.Millisecond)
			}
			cut <- time.Now()
			f.Cut()
		}()
		if got := receive(newRequest(ctx, serve(t, f), c.route, "id-1")); got != c.want {
			t.Errorf("%s, %s: the caller got %q, want %q", c.route, c.step, got, c.want)
		}
		select {
		case at := <-cut:
			if d := time.Since(at); d > 500*time.Millisecond {
				t.Errorf("%s, %s: the caller got its answer only %s after the cut", c.route, c.step, d)
			}
		default:
			t.Errorf("%s, %s: the caller got its answer before the cut", c.route, c.step)
		}
		if c.step != "hold" {
			continue
		}
		if err := <-reset; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the endpoint got %v, want a connection reset", err)
		}
	}
}

// A request that waits for a slot at the end of a planned stop, or for a connection, has never
// been sent; an answer that says that it may have run keeps its caller from a repetition.
func TestCutRefusesWhatWasNeverSent(t *testing.T) {
	f, all := newHandlerWithTimeout(t, 1, slotsTimeout)
	got := fillSlots(t, f, all[0])
	// As in a gateway, Stop comes first: a slot that the cut frees isn't used any more.
	f.Stop(time.Now())
	f.Cut()
	release := all[0].release
	time.AfterFunc(900*time.Millisecond, func() { close(release) })
	answers := make(map[string]int)
	for range 5 {
		answers[<-got]++
	}
	if answers["504 own"] != 4 || answers["503 own retry-after"] != 1 {
		t.Errorf("the callers got %v", answers)
	}
	f, all = newHandlerWithTimeout(t, 1, slotsTimeout)
	all[0].script = &script{}
	for range 4 {
		// A cut doesn't free these slots.
		r := dispatcher.Request{Service: "s", Deadline: time.Now().Add(time.Second), Match: resolver.Match{Route: &resolver.Route{}}}
		if _, err := f.Dispatcher.Acquire(t.Context(), r); err != nil {
			t.Fatal(err)
		}
	}
	url, queued := serve(t, f), make(chan string, 1)
	go func() { queued <- sendRequest(url, "once") }()
	await(t, "a request in the queue", func() bool { return f.Dispatcher.Status()[0].Queued == 1 })
	f.Cut()
	if got := <-queued; got != "503 own retry-after" {
		t.Errorf("the queued caller got %q", got)
	}
	f, all = newHandler(t, 1)
	all[0].script = &script{}
	f.Transport = &forwarder.Transport{Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		go f.Cut()
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	if got := sendRequest(serve(t, f), "once"); got != "503 own retry-after" {
		t.Errorf("the caller got %q though no connection was made", got)
	}
}

// A request of whose body a part is missing at the end of a planned stop hasn't run, and is
// refused rather than held until its connection is closed.
func TestCutWhileBodyIsRead(t *testing.T) {
	f, all := newHandler(t, 1)
	all[0].script = &script{}
	c, err := net.Dial("tcp", strings.TrimPrefix(serve(t, f), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: id-1\r\nContent-Length: 4\r\n\r\nbo")
	time.AfterFunc(100*time.Millisecond, func() { f.Cut() })
	_ = c.SetReadDeadline(time.Now().Add(routeTimeout / 2))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || summarizeRequests(all) != "  sent 0 ran 0\n" {
		t.Errorf("status %d, want 503 with Retry-After and nothing sent", r.StatusCode)
	}
}
