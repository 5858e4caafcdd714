package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// When the caller leaves, the connection to the endpoint must be reset: a plain
// close would let the kernel deliver the request later, behind a link that was cut.
func TestCallerLeaves(t *testing.T) {
	f, all := newFront(t, 1)
	all[0].script = &script{steps: []string{"hold"}}
	got := make(chan error, 1)
	all[0].held = func(c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := io.Copy(io.Discard, c)
		got <- err
	}
	s := httptest.NewServer(f)
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/any/x", strings.NewReader("body"))
	q.Host = "h"
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(headers.RequestID, "id-1")
	time.AfterFunc(100*time.Millisecond, cancel)
	began := time.Now()
	if r, err := http.DefaultClient.Do(q); err == nil {
		_ = r.Body.Close()
		t.Fatal("the caller got an answer")
	}
	if err := <-got; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the endpoint saw %v, not a reset", err)
	}
	if d := time.Since(began); d > 600*time.Millisecond {
		t.Errorf("the endpoint learned of it after %s", d)
	}
}
