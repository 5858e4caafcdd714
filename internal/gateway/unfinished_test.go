package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// unfinished sends as many MiB of an answer and then nothing until release is closed. It begins
// when all of so many calls have arrived: the gateway sends fewer calls to endpoints that fail.
func (e *scriptedEndpoints) unfinished(w http.ResponseWriter, q *http.Request, mib, calls int) {
	for deadline := time.Now().Add(20 * time.Second); e.countRuns() < calls && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	part := []byte(strings.Repeat("x", 1<<20))
	for range mib {
		n, err := w.Write(part)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
	_ = http.NewResponseController(w).Flush()
	select {
	case <-e.release:
	case <-q.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (e *scriptedEndpoints) countRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran
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

// Guards against answers that fill the memory of a gateway together although each of them keeps
// to its own limit (processes that end by themselves, LOST): those for which there is no room
// fail at once, the others don't, and all room is given back.
func TestUnfinishedAnswers(t *testing.T) {
	const (
		calls = 16
		// Each answer takes a buffer of 8 MiB.
		most = 8
	)
	e := &scriptedEndpoints{release: make(chan struct{})}
	for range calls {
		e.script = append(e.script, "unfinished 5 16")
	}
	g := newTestGateway(t, e)
	d, err := recorder.ParseDeclaration([]byte(strings.NewReplacer("KEY", recorder.DigestOf([]byte(testKey)).String(), "timeout: 4s", "timeout: 5m").Replace(declaration)))
	check(t, err)
	r := recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: "anna", Changes: d.Changes()}
	b, err := r.Encode()
	check(t, err)
	check(t, g.replica.Apply(2, b))
	routes := g.callerRoutes()
	results := make(chan *httptest.ResponseRecorder, calls)
	for range calls {
		go func() {
			q := httptest.NewRequest(http.MethodPost, "/booking/deposits", strings.NewReader("{}"))
			q.Header.Set("Authorization", "Bearer "+testKey)
			w := httptest.NewRecorder()
			routes.ServeHTTP(w, q)
			results <- w
		}()
	}
	for deadline := time.Now().Add(20 * time.Second); calls-len(results) > most && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	awaitStandstill(func() int64 { return e.sent.Load() + g.buffers.Used() + int64(len(results)) })
	if n := calls - len(results); n > most || n == 0 {
		t.Errorf("%d answers are kept in memory, want 1 to %d", n, most)
	}
	close(e.release)
	failed := 0
	for range calls {
		switch w := <-results; {
		case w.Code == http.StatusBadGateway && strings.Contains(w.Body.String(), header.Unknown):
			failed++
		default:
			t.Errorf("status %d, %s", w.Code, w.Body)
		}
	}
	if n := e.countRuns(); failed != calls || n != calls {
		t.Errorf("%d calls ran, and %d failed, want %d", n, failed, calls)
	}
	if n := g.buffers.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved after the last response", n)
	}
}
