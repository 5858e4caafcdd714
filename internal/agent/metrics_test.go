package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/guarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
)

// Guards against an operator who can't see that calls with a key are refused after a return of the log.
func TestPauseMetrics(t *testing.T) {
	m, err := meter.New("pause-test")
	check(t, err)
	check(t, registerPause(m.Meter, func() guarder.Pause {
		return guarder.Pause{Epoch: 3, Left: 90 * time.Second, Refused: 7}
	}))
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for _, want := range []string{"eelgrass_log_epoch 3", "eelgrass_guard_pause_seconds 90", "eelgrass_guard_pause_refused_total 7"} {
		if !strings.Contains(w.Body.String(), "\n"+want+"\n") {
			t.Errorf("no %s in %s", want, w.Body)
		}
	}
}
