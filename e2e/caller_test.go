package e2e_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is a caller's view of one answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call makes one request of a caller at a gateway.
func (c *cluster) call(gateway int, method, path, key, body string) answer {
	return c.callAs(callerKey, gateway, method, path, key, body)
}

// callAs makes one request with a key of an account, or without one.
func (c *cluster) callAs(account string, gateway int, method, path, key, body string) answer {
	r, err := c.send(account, gateway, method, path, key, body) //nolint:bodyclose // readAnswer closes it.
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(r)
}

// send makes one request and returns when the headers of its answer are here.
func (c *cluster) send(account string, gateway int, method, path, key, body string) (*http.Response, error) {
	base, client := url(c.gateways[gateway].callers), http.DefaultClient
	if c.tls != nil {
		base, client = "https"+strings.TrimPrefix(base, "http"), c.tls.callers
	}
	q, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if account != "" {
		q.Header.Set("Authorization", "Bearer "+account)
	}
	q.Header.Set("Content-Type", "application/json")
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	return client.Do(q)
}

// openStream begins a stream and returns when its first bytes are here. New
// endpoints carry little, so the request may be refused at first; as told, it is
// then sent again.
func (c *cluster) openStream(gateway int, body string) (*http.Response, error) {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		r, err := c.send(callerKey, gateway, http.MethodPost, "/v1/chat/completions", "", body)
		if err != nil || r.StatusCode == http.StatusOK {
			return r, err
		}
		a := readAnswer(r)
		if !a.isRefusal() || time.Now().After(end) {
			return nil, fmt.Errorf("status %d: %s", a.status, a.body)
		}
	}
}

// isRefusal reports whether the request was not run and may be sent again.
func (a answer) isRefusal() bool {
	return a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) &&
		a.header.Get("Retry-After") != "" && a.header.Get("Eelgrass-Outcome") == "not-run"
}

// readAnswer reads the rest of an answer and closes it.
func readAnswer(r *http.Response) answer {
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return answer{r.StatusCode, r.Header, string(b), err}
}

// chat returns the body of a completion request.
func chat(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":%s}],"max_tokens":%d,"stream":%t}`,
		strconv.Quote(prompt), tokens, stream)
}
