package direct

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
)

// Guards against a version that is completed from the origin without a metric telling so.
func TestAgentMetrics(t *testing.T) {
	e, err := meter.New("test")
	if err != nil {
		t.Fatal(err)
	}
	s := loader.Stats{Complete: 1, Superseded: 2, Completing: true, SupersededReads: 3, Chunks: distributor.Stats{Takeovers: 4, Corrupt: 5}}
	s.Chunks.Received[distributor.FromOrigin] = 6
	if err := observeLoader(e, func() loader.Stats { return s }); err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRecorder()
	e.Handler.ServeHTTP(r, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`eelgrass_agent_version{state="complete"} 1`, `eelgrass_agent_version{state="superseded"} 2`, "eelgrass_agent_completing 1",
		"eelgrass_agent_superseded_reads_total 3", "eelgrass_agent_takeovers_total 4", "eelgrass_agent_corrupt_total 5",
		`eelgrass_agent_received_bytes_total{source="origin"} 6`,
	} {
		if !strings.Contains(r.Body.String(), want+"\n") {
			t.Errorf("no line %q in %s", want, r.Body.String())
		}
	}
}
