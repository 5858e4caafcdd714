package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/rawserver"
)

// Guards against responses of services and engines that HTTP doesn't allow and that reached callers
// as the answer, such as status 000. The call may have run.
func TestInvalidResponses(t *testing.T) {
	for name, response := range rawserver.Invalid(header.Version + ": v1\r\n" + header.BootID + ": boot\r\n") {
		for serves, path := range map[string]string{"service/booking": "/booking/deposits", "model/m": "/v1/chat/completions"} {
			t.Run(serves+"/"+name, func(t *testing.T) {
				t.Parallel()
				s, err := rawserver.New(response)
				check(t, err)
				defer func() { _ = s.Close() }()
				_, handler := newTestAgent(t, serves, "http://"+s.Address().String())
				w := httptest.NewRecorder()
				q := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"model":"m"}`))
				q.Header.Set(header.RequestID, "r")
				q.Header.Set(header.DeadlineMS, "800")
				handler.ServeHTTP(w, q)
				o := w.Header().Get(header.Outcome)
				if w.Code != http.StatusBadGateway && w.Code != http.StatusGatewayTimeout || o == header.Run || o == header.NotRun {
					t.Errorf("status %d, outcome %q, %s", w.Code, o, w.Body)
				}
			})
		}
	}
}
