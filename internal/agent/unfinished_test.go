package agent

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// unfinishedTarget sends the beginning of an answer and then nothing until release is closed.
type unfinishedTarget struct {
	begin   []byte
	release chan struct{}
	sent    atomic.Int64
}

func (u *unfinishedTarget) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set(header.Version, "v1")
	w.Header().Set(header.BootID, "boot")
	if strings.HasPrefix(string(u.begin), "id:") {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for part := range bytes.Lines(u.begin) {
		n, err := w.Write(part)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
	_ = http.NewResponseController(w).Flush()
	select {
	case <-u.release:
	case <-q.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// awaitStandstill waits until progress returns the same value for half a second.
func awaitStandstill(progress func() int64) {
	last, since := progress(), time.Now()
	for time.Since(since) < 500*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		if n := progress(); n != last {
			last, since = n, time.Now()
		}
	}
}

// Guards against answers that fill the memory of an agent together although each of them keeps
// to its own limit (processes that end by themselves, LOST): those for which there is no room
// fail at once, the others don't, and all room is given back.
func TestUnfinishedAnswers(t *testing.T) {
	const (
		calls = 20
		// answerBytes takes a buffer of 8 MiB.
		answerBytes = 5 << 20
		most        = 8
	)
	line := strings.Repeat("x", 1<<20-1) + "\n"
	u := &unfinishedTarget{begin: []byte(strings.Repeat(line, answerBytes>>20)), release: make(chan struct{})}
	s := httptest.NewServer(u)
	defer s.Close()
	release := sync.OnceFunc(func() { close(u.release) })
	defer release()
	a, handler := newTestAgent(t, "service/booking", s.URL)
	a.limit.Cold, a.limit.Max = calls, calls
	a.limit.Reset("test")
	d, err := recorder.ParseDeclaration([]byte(strings.Replace(declaration, "timeout: 2s", "timeout: 5m", 1)))
	check(t, err)
	record(t, a, d.Changes()...)
	results := make(chan int, calls)
	for range calls {
		go func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/booking/deposits", strings.NewReader("{}")))
			results <- w.Code
		}()
	}
	for deadline := time.Now().Add(20 * time.Second); calls-len(results) > most && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	awaitStandstill(func() int64 { return u.sent.Load() + a.buffers.Used() + int64(len(results)) })
	if n := calls - len(results); n > most || n == 0 {
		t.Errorf("%d answers are kept in memory, want 1 to %d", n, most)
	}
	release()
	for range calls {
		if n := <-results; n != http.StatusBadGateway {
			t.Errorf("status %d", n)
		}
	}
	if n := a.buffers.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved after the last response", n)
	}
}

// Guards against unfinished events of streams that the agent keeps without counting them.
func TestUnfinishedEvent(t *testing.T) {
	data := "id: r/0\n" + strings.Repeat("data: "+strings.Repeat(" ", 999)+"\n", 100)
	u := &unfinishedTarget{begin: []byte(data), release: make(chan struct{})}
	s := httptest.NewServer(u)
	defer s.Close()
	release := sync.OnceFunc(func() { close(u.release) })
	defer release()
	a, handler := newTestAgent(t, "model/m", s.URL)
	ended := make(chan string, 1)
	go func() {
		defer func() { ended <- fmt.Sprint(recover()) }()
		q := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"m"}`))
		q.Header.Set(header.RequestID, "r")
		q.Header.Set(header.Version, "v1")
		handler.ServeHTTP(httptest.NewRecorder(), q)
	}()
	deadline := time.Now().Add(10 * time.Second)
	for a.buffers.Used() < 100_000 {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are reserved for an event of %d", a.buffers.Used(), len(data))
		}
		time.Sleep(time.Millisecond)
	}
	release()
	if v := <-ended; v != http.ErrAbortHandler.Error() {
		t.Errorf("the stream ended with %s", v)
	}
	if n := a.buffers.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved after the stream", n)
	}
}
