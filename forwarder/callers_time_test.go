package forwarder

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// requestAt returns a call of a request that arrives at start with a deadline in ms, and an
// empty one for none.
func requestAt(f *Handler, start time.Time, r *resolver.Route, deadline string) *call {
	c := &call{handler: f, start: start}
	q := &http.Request{Method: http.MethodPost, RequestURI: "/r/", Header: http.Header{}}
	if deadline != "" {
		q.Header.Set(f.Headers.Deadline, deadline)
	}
	q.Header.Set(f.Headers.Tokens, "1460,80")
	c.prepare(q, resolver.Match{Route: r})
	return c
}

// A request must wait, and be ranked, by its caller's time alone: neither by the target latency
// of its route nor by what other callers set. A caller that set a shorter deadline than another
// one was taken for one that came back, and was served after all others.
func TestRequestFollowsCallersTime(t *testing.T) {
	const ms = time.Millisecond
	f := &Handler{Headers: Headers{Deadline: "X-Deadline", Tokens: "X-Tokens"}}
	start := time.Now()
	for _, c := range []struct {
		deadline  string
		streaming bool
		aim, gap  time.Duration
		// leaves is when the caller leaves, and firstBy when it does so without an event; 0 for
		// none.
		leaves, firstBy time.Duration
	}{
		{"6000", false, 400 * ms, 0, 6000 * ms, 0},
		{"6000", false, 40 * ms, 0, 6000 * ms, 0},
		{"1500", false, 400 * ms, 0, 1500 * ms, 0},
		{"", false, 400 * ms, 0, 10_000 * ms, 0},
		{"60000", false, 400 * ms, 0, 10_000 * ms, 0},
		{"6000", true, 40 * ms, 0, 6000 * ms, 2000 * ms},
		{"6000", true, 400 * ms, 250 * ms, 6000 * ms, 2000 * ms},
		{"6000", true, 400 * ms, 300 * ms, 6000 * ms, 2400 * ms},
		{"6000", true, 700 * ms, 300 * ms, 6000 * ms, 2800 * ms},
		{"1500", true, 400 * ms, 300 * ms, 1500 * ms, 2400 * ms},
	} {
		r := &resolver.Route{
			Name: "r", Streaming: c.streaming, Aim: c.aim, Gap: c.gap, Timeout: 10 * time.Second,
			Targets: []resolver.Target{{Service: "s", Weight: 1}},
		}
		got := requestAt(f, start, r, c.deadline).dispatcherRequest()
		firstBy := time.Duration(0)
		if !got.FirstBy.IsZero() {
			firstBy = got.FirstBy.Sub(start)
		}
		if got.Deadline.Sub(start) != c.leaves || firstBy != c.firstBy {
			t.Errorf("deadline %s, aim %s, gap %s: leaves after %s and %s, want %s and %s", strconv.Quote(c.deadline), c.aim, c.gap, got.Deadline.Sub(start), firstBy, c.leaves, c.firstBy)
		}
		if got.Prompt != 1460 || got.Answer != 80 {
			t.Errorf("prompt %d, answer %d", got.Prompt, got.Answer)
		}
	}
}

// A stream that has begun is resumed while its caller waits for the next event, and not longer.
func TestResumedRequestFollowsCallersTime(t *testing.T) {
	f := &Handler{Headers: Headers{Deadline: "X-Deadline", Tokens: "X-Tokens"}}
	start := time.Now().Add(-3 * time.Second)
	r := &resolver.Route{Name: "r", Streaming: true, Repeat: resolver.Resumable, Timeout: 10 * time.Second, Targets: []resolver.Target{{Service: "s", Weight: 1}}}
	c := requestAt(f, start, r, "6000")
	(&attempt{call: c}).setProgress("7")
	got := c.dispatcherRequest()
	if !got.Resumed || got.FirstBy.Before(time.Now().Add(1900*time.Millisecond)) || got.FirstBy.After(time.Now().Add(2*time.Second)) {
		t.Errorf("resumed %t, the caller leaves after %s, want 2 s after the last event", got.Resumed, time.Until(got.FirstBy))
	}
}
