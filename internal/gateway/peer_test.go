package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// A gateway of another failure domain must be able to tell its answer from an earlier one.
func TestPeerResponsesNameTheirRequest(t *testing.T) {
	g := newTestGateway(t, &scriptedEndpoints{script: []string{"old whole"}})
	for path, status := range map[string]int{"/booking/deposits": http.StatusOK, "/nowhere": http.StatusNotFound} {
		q := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
		q.Header.Set(header.RequestID, "r")
		w := httptest.NewRecorder()
		g.servePeer(w, q)
		if id := w.Header().Get(header.RequestID); w.Code != status || id != "r" {
			t.Errorf("%s: status %d, request id %q", path, w.Code, id)
		}
	}
}
