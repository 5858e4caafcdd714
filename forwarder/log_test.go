package forwarder_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
)

// attemptLine is the log line of an attempt that didn't finish the call.
type attemptLine struct {
	Message  string  `json:"message"`
	EndedBy  string  `json:"ended-by"`
	SilentMs float64 `json:"silent-ms"`
}

// A log that doesn't say who ended an attempt and after which silence can't tell an endpoint
// that broke off from one that the gateway gave up.
func TestLogTellsWhoEndedAttempt(t *testing.T) {
	for step, want := range map[string]string{"cut 1": "endpoint", "silent 1": "gateway"} {
		var log bytes.Buffer
		f, all := newHandler(t, 1)
		f.Log = zerolog.New(&log)
		all[0].script = &script{steps: []string{step}}
		s := httptest.NewServer(f)
		sendRequest(s.URL, "resume")
		s.Close()
		var l attemptLine
		line, _, _ := bytes.Cut(log.Bytes(), []byte("\n"))
		if err := json.Unmarshal(line, &l); err != nil || l.Message != "attempt" {
			t.Fatalf("%s: the log begins with %q, %v", step, line, err)
		}
		if l.EndedBy != want || (l.SilentMs > 1000) != (want == "gateway") {
			t.Errorf("%s: the log says ended by %s after %g ms, want %s", step, l.EndedBy, l.SilentMs, want)
		}
	}
}
