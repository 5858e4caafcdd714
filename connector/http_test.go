package connector_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// A response must not make a caller wait for ever: the conversion of a number beyond 64 bits
// depends on the processor.
func TestRetryAfter(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"1.5": 1500 * time.Millisecond, "1e300": time.Minute, "Inf": time.Minute, "90": time.Minute, "NaN": 0, "-1e300": 0, "-1": 0, "x": 0,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", v)
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		_, err := connector.NewInstances(s.URL, http.DefaultClient).Poll(t.Context(), 0, 0)
		s.Close()
		var e *connector.Error
		if !errors.As(err, &e) || e.RetryAfter != want {
			t.Errorf("%s: %v, want %s", v, e, want)
			if e != nil {
				t.Log(e.RetryAfter)
			}
		}
	}
}
