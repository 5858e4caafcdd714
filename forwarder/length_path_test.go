package forwarder_test

import (
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
)

// The hint and the maximum of the caller, and the events of the answer, must reach the dispatcher, or
// lengths never become known. Malformed hints and answers that aren't streams must not count.
func TestLengthsBecomeKnown(t *testing.T) {
	for _, c := range []struct {
		name, route, step, hint, tokens string
		known                           bool
	}{
		{"hints", "resume", "events 1 2 3", "21", "100,364", true},
		{"no hints", "resume", "events 1 2 3", "", "100,364", false},
		{"malformed hints", "resume", "events 1 2 3", "-21", "100,364", false},
		{"no maximum", "resume", "events 1 2 3", "21", "100", false},
		{"no streams", "any", "ok", "21", "100,364", false},
	} {
		f, all := newHandler(t, 1)
		var told []dispatcher.LengthsKnown
		f.Dispatcher.LengthsKnown = func(k dispatcher.LengthsKnown) { told = append(told, k) }
		all[0].script = &script{steps: slicesOf(c.step, 20)}
		url := serve(t, f)
		for range 10 {
			q := newRequest(t.Context(), url, c.route, "id-1")
			if c.hint != "" {
				q.Header.Set(headers.LengthHint, c.hint)
			}
			q.Header.Set(headers.Tokens, c.tokens)
			if got := receive(q); !strings.HasPrefix(got, "200") {
				t.Fatalf("%s: got %q", c.name, got)
			}
		}
		await(t, "the calls have ended", func() bool { return inFlight(f.Dispatcher) == 0 })
		if (len(told) == 1) != c.known {
			t.Errorf("%s: told %+v", c.name, told)
		}
		if c.known && len(told) == 1 && (told[0].Events != 3 || told[0].Tokens < 6.99 || told[0].Tokens > 7.01) {
			t.Errorf("%s: told %+v, want 3 events of 7 tokens", c.name, told[0])
		}
	}
}
