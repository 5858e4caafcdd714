package forwarder_test

import (
	"net/http"
	"testing"
)

// A body with an encoding that the caller didn't ask for must not be passed on as the
// endpoint's, one that it asked for must.
func TestContentEncoding(t *testing.T) {
	e := newRawEndpoint(t, []rawAnswer{parseRawAnswer("OK|Content-Encoding: gzip|Content-Length: 5||hello")})
	for _, c := range []struct {
		accepted []string
		status   int
	}{
		{nil, 502},
		{[]string{""}, 502},
		{[]string{"identity"}, 502},
		{[]string{"br, gzip;q=0"}, 502},
		{[]string{"br"}, 502},
		{[]string{"gzip"}, 200},
		{[]string{"br, GZIP;q=0.5"}, 200},
		{[]string{"br", "gzip"}, 200},
		{[]string{"*"}, 200},
	} {
		h := http.Header{"Accept-Encoding": c.accepted}
		if got := e.askWith(newPlainClient(t), "once", http.MethodPost, 0, h); got.status != c.status {
			t.Errorf("Accept-Encoding %q: the caller got %s, want status %d", c.accepted, got, c.status)
		}
	}
}
