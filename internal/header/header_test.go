package header_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// Guards against a retry by http.Transport, which resends a POST that carries
// Idempotency-Key and no body when a reused connection breaks: a booking would
// run twice although the caller sent it once.
func TestIdempotencyKeyIsNotRepeatedByTheTransport(t *testing.T) {
	var runs atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		if q.Header.Get(header.IdempotencyKey) == "" {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	send := func(key string) error {
		q, err := http.NewRequest(http.MethodPost, s.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		q.GetBody = nil
		if key != "" {
			header.SetIdempotencyKey(q.Header, key)
		}
		r, err := s.Client().Do(q)
		if err == nil {
			_ = r.Body.Close()
		}
		return err
	}
	// The first request leaves a keep-alive connection for the second one.
	if err := send(""); err != nil {
		t.Fatal(err)
	}
	if err := send("k"); err == nil {
		t.Fatal("the broken connection was not reported")
	}
	if n := runs.Load(); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// A deadline beyond the limit must count as the limit, also if it overflows a duration: it had
// passed at once, or, if negative, was hours away.
func TestRemaining(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"": time.Minute, "x": time.Minute, "1500": 1500 * time.Millisecond, "60001": time.Minute, "-1": -time.Millisecond,
		"9223372036854775807": time.Minute, "9223372036855": time.Minute, "-9223372036855": -time.Minute,
	} {
		h := http.Header{}
		h.Set(header.DeadlineMS, v)
		if d := header.Remaining(h, time.Minute); d != want {
			t.Errorf("%q: %s, want %s", v, d, want)
		}
	}
}
