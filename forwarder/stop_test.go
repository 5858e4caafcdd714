package forwarder_test

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// A log that calls a request that the end of a planned stop cut one that its caller left can't
// show what callers lost.
func TestLogTellsStoppedFromCallerLeft(t *testing.T) {
	for name, cut := range map[string]bool{"stopped": true, "caller-left": false} {
		var log bytes.Buffer
		f, all := newHandler(t, 1)
		f.Log = zerolog.New(&log)
		var outcomes []string
		f.Observe = func(r forwarder.Result) { outcomes = append(outcomes, r.Outcome) }
		all[0].script = &script{steps: []string{"slow 600"}}
		s := httptest.NewServer(f)
		done := make(chan string, 1)
		go func() { done <- sendRequest(s.URL, "once") }()
		time.Sleep(200 * time.Millisecond)
		if n := 0; cut {
			if n = f.Cut(); n != 1 {
				t.Errorf("%s: %d calls were cut, want 1", name, n)
			}
		}
		s.CloseClientConnections()
		<-done
		s.Close()
		if len(outcomes) != 1 || outcomes[0] != name || !bytes.Contains(log.Bytes(), []byte(`"outcome":"`+name+`"`)) {
			t.Errorf("%s: outcomes %q, the log says %s", name, outcomes, log.Bytes())
		}
	}
}
