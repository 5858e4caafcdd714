package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/rawserver"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

// Guards against responses of agents that HTTP doesn't allow and that reached callers as the
// answer. The call may have run and isn't sent again.
func TestInvalidResponses(t *testing.T) {
	for name, response := range rawserver.Invalid(header.Version + ": v1\r\n" + header.BootID + ": boot\r\n" + header.Outcome + ": run\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := rawserver.New(response)
			check(t, err)
			defer func() { _ = s.Close() }()
			g := newTestGateway(t, &scriptedEndpoints{})
			for _, n := range []string{"a", "b"} {
				addEndpoints(g, n, s.Address(), 2, router.Ready)
			}
			q := httptest.NewRequest(http.MethodPost, "/booking/deposits", strings.NewReader("{}"))
			q.Header.Set("Authorization", "Bearer "+testKey)
			w := httptest.NewRecorder()
			g.callerRoutes().ServeHTTP(w, q)
			if w.Code != http.StatusBadGateway && w.Code != http.StatusGatewayTimeout || s.Requests.Load() != 1 {
				t.Errorf("status %d %s, sent %d times", w.Code, w.Body, s.Requests.Load())
			}
		})
	}
}
