package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// noticingEndpoint answers all requests in the same way, and says that it leaves or pauses.
type noticingEndpoint struct {
	mu     sync.Mutex
	answer func(w http.ResponseWriter, q *http.Request)
	got    int
}

func (e *noticingEndpoint) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	e.got++
	answer := e.answer
	e.mu.Unlock()
	w.Header().Set("X-Id", q.Header.Get("X-Id"))
	answer(w, q)
}

// take returns the number of requests since the last call.
func (e *noticingEndpoint) take() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.got
	e.got = 0
	return n
}

func (e *noticingEndpoint) set(answer func(w http.ResponseWriter, q *http.Request)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

func decodeNotice(_ int, h http.Header) (dispatcher.Notice, error) {
	n := dispatcher.Notice{Leaving: h.Get("X-Leaving") != ""}
	if v := h.Get("X-Pause"); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil {
			return n, errors.New("X-Pause is not a number")
		}
		n.Pause = time.Duration(ms) * time.Millisecond
	}
	return n, nil
}

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signature", "s")
	_, _ = w.Write([]byte("hello"))
}

func refuseWith(name, value string) func(w http.ResponseWriter, _ *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set(name, value)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newNoticingHandler returns a handler with two endpoints, and its URL.
func newNoticingHandler(t *testing.T) (*forwarder.Handler, [2]*noticingEndpoint, string) {
	state, _ := newState(t, 0, time.Now)
	var all [2]*noticingEndpoint
	addresses := make(map[string]netip.AddrPort)
	var items []connector.Item
	for i := range all {
		all[i] = &noticingEndpoint{answer: ok}
		s := httptest.NewServer(all[i])
		t.Cleanup(s.Close)
		id := fmt.Sprintf("i%d", i)
		addresses[id] = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		items = append(items, connector.Item{Key: id, Value: []byte("x"), Offset: 1})
	}
	state.DecodeEndpoint = func(id string, _ []byte) (*observer.Endpoint, error) {
		return &observer.Endpoint{ID: id, Service: "s", Address: addresses[id], Domain: "a", Region: "r", Slots: 4, Started: time.Unix(10, 0)}, nil
	}
	state.ApplyEndpoints(items, true)
	f := handlerOf(state)
	f.DecodeNotice, f.Log = decodeNotice, zerolog.Nop()
	return f, all, serve(t, f)
}

// An endpoint that leaves must get no request after any kind of response says so.
func TestLeavingIsNoticedInEveryResponse(t *testing.T) {
	stream := func(w http.ResponseWriter, body string) {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(body))
	}
	for name, answer := range map[string]func(w http.ResponseWriter, q *http.Request){
		"body":    ok,
		"refusal": refuseWith("X-Leaving", "1"),
		"failure": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"stream":  func(w http.ResponseWriter, _ *http.Request) { stream(w, "id: 1\ndata: x\n\n") },
		"unsigned": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("hello"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, all, url := newNoticingHandler(t)
			all[0].set(func(w http.ResponseWriter, q *http.Request) {
				w.Header().Set("X-Leaving", "1")
				answer(w, q)
			})
			for n := 0; all[0].take() == 0; n++ {
				if n == 1000 {
					t.Fatal("the endpoint gets no request")
				}
				sendRequest(url, "any")
			}
			for range 50 {
				if got := sendRequest(url, "any"); got != "200 hello" {
					t.Errorf("got %s", got)
				}
			}
			if n := all[0].take(); n > 0 {
				t.Errorf("%d requests reached the endpoint that leaves", n)
			}
		})
	}
}

// An endpoint that turns requests away for a time must get none of them, and a call that
// no endpoint can take must not spend the retry budget, nor wait for its deadline.
func TestPausedEndpointsGetNothing(t *testing.T) {
	const pause = 3 * time.Second
	f, all, url := newNoticingHandler(t)
	f.Budget = forwarder.Budget{Share: 0.001, Burst: func() float64 { return 1 }}
	for _, e := range all {
		e.set(refuseWith("X-Pause", "3000"))
	}
	start := time.Now()
	for n := 0; all[0].got+all[1].got < 2; n++ {
		if n == 1000 {
			t.Fatal("the endpoints get no request")
		}
		sendRequest(url, "any")
	}
	all[0].take()
	all[1].take()
	for range 20 {
		if got := sendRequest(url, "any"); got != "503 own retry-after" {
			t.Errorf("got %s", got)
		}
	}
	if d := time.Since(start); d > pause/2 {
		t.Errorf("the refusals took %s", d)
	}
	if a, b := all[0].take(), all[1].take(); a+b > 0 {
		t.Errorf("%d and %d requests were sent in the pause", a, b)
	}
	for _, e := range all {
		e.set(ok)
	}
	time.Sleep(pause)
	if got := sendRequest(url, "any"); got != "200 hello" {
		t.Errorf("after the pause: got %s", got)
	}
}

// A pause whose length can't be read must not keep the rest of the response from being used.
func TestNoticeThatCannotBeDecoded(t *testing.T) {
	_, all, url := newNoticingHandler(t)
	for _, e := range all {
		e.set(refuseWith("X-Pause", "soon"))
	}
	if got := sendRequest(url, "any"); got != "503 own retry-after" {
		t.Errorf("got %s", got)
	}
	if n := all[0].take() + all[1].take(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// A retry that no endpoint can take must leave the budget to later ones.
func TestBudgetIsNotSpentOnPausedEndpoints(t *testing.T) {
	const avoided = 70 * time.Millisecond
	f, all, url := newNoticingHandler(t)
	f.Budget = forwarder.Budget{Share: 0.001, Burst: func() float64 { return 1 }}
	all[0].set(refuseWith("X-Pause", "2500"))
	all[1].set(refuseWith("X-Other", "1"))
	for all[0].take() == 0 {
		sendRequest(url, "any")
		time.Sleep(avoided)
	}
	for range 6 {
		if got := sendRequest(url, "any"); got != "503 own retry-after" {
			t.Errorf("in the pause: got %s", got)
		}
		time.Sleep(avoided)
	}
	all[0].set(ok)
	time.Sleep(2500 * time.Millisecond)
	all[1].take()
	for n := 0; all[1].take() == 0; n++ {
		if n == 100 {
			t.Fatal("the other endpoint gets no request")
		}
		if got := sendRequest(url, "any"); got != "200 hello" {
			t.Errorf("after the pause: got %s", got)
		}
		time.Sleep(avoided)
	}
}

// A request must not be sent to an endpoint that said while its connection was opened that
// it leaves.
func TestLeavingWhileConnecting(t *testing.T) {
	f, all, url := newNoticingHandler(t)
	var first sync.Once
	f.Transport.Dial = func(_ context.Context, a netip.AddrPort) (net.Conn, error) {
		first.Do(func() { f.Dispatcher.Report(dispatcher.Report{Address: a, Started: time.Unix(10, 0), Leaving: true}) })
		return net.Dial("tcp", a.String())
	}
	for range 10 {
		if got := sendRequest(url, "once"); got != "200 hello" {
			t.Errorf("got %s", got)
		}
	}
	if a, b := all[0].take(), all[1].take(); min(a, b) != 0 || a+b != 10 {
		t.Errorf("%d and %d requests, want none at the endpoint that leaves", a, b)
	}
}
