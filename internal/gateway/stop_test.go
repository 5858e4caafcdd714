package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

// lateAnswer is what a caller needs of the answer to a late request.
type lateAnswer struct {
	status              int
	close               bool
	outcome, retryAfter string
}

// sendLate sends a request to a gateway that may stop, and returns the answer.
func sendLate(t *testing.T, url, request string) lateAnswer {
	t.Helper()
	d := requests[request]
	q, err := http.NewRequest(d.method, url+d.path, strings.NewReader(d.body))
	check(t, err)
	q.Header.Set("Authorization", "Bearer "+testKey)
	q.Header.Set(header.RequestID, "r")
	if d.key != "" {
		q.Header.Set(header.IdempotencyKey, d.key)
	}
	r, err := http.DefaultClient.Do(q)
	check(t, err)
	// A caller that leaves before the end of its answer doesn't count for the usual time.
	_, err = io.Copy(io.Discard, r.Body)
	check(t, err)
	check(t, r.Body.Close())
	return lateAnswer{r.StatusCode, r.Close, r.Header.Get(header.Outcome), r.Header.Get(header.RetryAfter)}
}

// A call that comes so late in a planned stop that it may not end must be refused before it
// runs; it was passed on and cut. What ends in time is served: surely if it must not be repeated,
// and otherwise if it takes no longer than the calls before it. "usual" is the script of those.
func TestStopRefusesLateCall(t *testing.T) {
	for _, c := range []struct {
		request, usual string
		peer           bool
		left           time.Duration
		status         int
	}{
		{"booking", "", false, time.Second, http.StatusServiceUnavailable},
		{"booking", "whole", false, time.Second, http.StatusServiceUnavailable},
		{"booking", "", false, 5 * time.Second, http.StatusOK},
		{"balance", "whole", false, 3 * time.Second, http.StatusOK},
		{"keyed", "whole", false, 3 * time.Second, http.StatusOK},
		{"model", "whole", false, 3 * time.Second, http.StatusOK},
		{"balance", "", false, time.Second, http.StatusServiceUnavailable},
		{"balance", "", false, 5 * time.Second, http.StatusOK},
		{"balance", "slow 1200 whole", false, time.Second, http.StatusServiceUnavailable},
		{"balance", "slow 1200 whole", false, 3 * time.Second, http.StatusOK},
		{"keyed", "slow 1200 whole", false, time.Second, http.StatusServiceUnavailable},
		{"model", "slow 1200 whole", false, time.Second, http.StatusServiceUnavailable},
		{"booking", "", true, time.Second, http.StatusServiceUnavailable},
		{"balance", "slow 1200 whole", true, time.Second, http.StatusServiceUnavailable},
		{"balance", "whole", true, 3 * time.Second, http.StatusOK},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			e := &scriptedEndpoints{}
			g := newTestGateway(t, e)
			h := g.callerRoutes()
			if c.peer {
				h = http.HandlerFunc(g.servePeer)
			}
			s := httptest.NewServer(h)
			defer s.Close()
			want := 0
			if c.usual != "" {
				// The last one may be counted after its answer has arrived.
				want = 5
				e.script = slices.Repeat([]string{c.usual}, want)
			}
			for range want {
				sendLate(t, s.URL, strings.ReplaceAll(c.request, "booking", "balance"))
				// The answer named no limit.
				e.report("a", router.Ready)
				e.report("b", router.Ready)
			}
			g.stopper.Begin(time.Now().Add(c.left))
			r := sendLate(t, s.URL, c.request)
			if r.status != c.status || r.close == c.peer {
				t.Errorf("status %d, close %t; want %d", r.status, r.close, c.status)
			}
			if c.status == http.StatusOK {
				want++
			}
			if e.ran != want {
				t.Errorf("%d calls ran, want %d", e.ran, want)
			}
			if c.status != http.StatusOK && (r.retryAfter == "" || r.outcome != header.NotRun) {
				t.Errorf("the refusal has Retry-After %q and outcome %q", r.retryAfter, r.outcome)
			}
		})
	}
}

// A call that is in progress when a planned stop begins must keep its further attempts: a stream
// that broke off wasn't resumed, and a call that may be repeated failed, long before the cut.
func TestStopKeepsAttemptsOfCallInProgress(t *testing.T) {
	for _, c := range []struct {
		request string
		script  []string
		status  int
	}{
		{"stream", []string{"slow 600 stream v1 2 cut", "stream v1 5"}, http.StatusOK},
		{"model", []string{"slow 600 drop", "whole"}, http.StatusOK},
		{"model", []string{"slow 600 refuse leaving", "whole"}, http.StatusOK},
		{"balance", []string{"slow 600 drop", "whole"}, http.StatusOK},
		{"keyed", []string{"slow 600 refuse leaving", "whole"}, http.StatusOK},
		{"booking", []string{"slow 600 refuse leaving", "whole"}, http.StatusServiceUnavailable},
	} {
		t.Run(c.request+" "+c.script[0], func(t *testing.T) {
			t.Parallel()
			e := &scriptedEndpoints{script: c.script}
			g := newTestGateway(t, e)
			s := httptest.NewServer(g.callerRoutes())
			defer s.Close()
			time.AfterFunc(300*time.Millisecond, func() { g.stopper.Begin(time.Now().Add(3 * time.Second)) })
			d := requests[c.request]
			q, err := http.NewRequest(d.method, s.URL+d.path, strings.NewReader(d.body))
			check(t, err)
			q.Header.Set("Authorization", "Bearer "+testKey)
			if d.key != "" {
				q.Header.Set(header.IdempotencyKey, d.key)
			}
			r, err := http.DefaultClient.Do(q)
			check(t, err)
			b, err := io.ReadAll(r.Body)
			check(t, err)
			check(t, r.Body.Close())
			if r.StatusCode != c.status || strings.Contains(string(b), "error") {
				t.Errorf("status %d and %q, want %d", r.StatusCode, b, c.status)
			}
		})
	}
}
