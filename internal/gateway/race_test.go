package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// No attempt must begin, and no retry be spent, while a slow caller accepts its whole answer, though
// the endpoint leaves meanwhile.
func TestAnswerToSlowCallerSpendsNoRetry(t *testing.T) {
	e := &scriptedEndpoints{script: []string{"leaving whole"}}
	g := newTestGateway(t, e)
	g.budget.Burst = 4
	for range 100 {
		g.budget.Offer()
	}
	s := httptest.NewServer(forSlowCaller(g.callerRoutes(), 4*leavingTime))
	defer s.Close()
	r, err := http.NewRequest(http.MethodPost, s.URL+requests["model"].path, strings.NewReader(requests["model"].body))
	check(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	a, err := http.DefaultClient.Do(r)
	check(t, err)
	defer func() { _ = a.Body.Close() }()
	if b, err := io.ReadAll(a.Body); err != nil || string(b) != "answer" {
		t.Errorf("the caller got %q, %v", b, err)
	}
	// The call ends after its answer.
	time.Sleep(leavingTime / 5)
	if n := g.budget.Saved(); n != 4 {
		t.Errorf("%.2f of 4 retries are left after a call with %s", n, e)
	}
}

// A retry for which there is no endpoint must not use up the budget.
func TestRetryWithoutEndpointKeepsBudget(t *testing.T) {
	e := &scriptedEndpoints{script: []string{"drop"}}
	g := newTestGateway(t, e)
	e.detach("b")
	g.budget.Burst = 4
	for range 100 {
		g.budget.Offer()
	}
	s := httptest.NewServer(g.callerRoutes())
	defer s.Close()
	if r := sendLate(t, s.URL, "balance"); r.status != http.StatusBadGateway {
		t.Errorf("status %d", r.status)
	}
	if n := g.budget.Saved(); n != 4 {
		t.Errorf("%.2f of 4 retries are left after a call with %s", n, e)
	}
}
