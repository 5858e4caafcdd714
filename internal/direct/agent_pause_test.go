package direct

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// noEndpoints returns no decoder, for processes that read no list.
func noEndpoints(map[string]string) func(string, []byte) (*observer.Endpoint, error) { return nil }

// An agent that was paused must not date a version that was named meanwhile at the end of its
// pause: it counted the times until which an engine may load the version before from there.
func TestAgentDatesVersionOfPause(t *testing.T) {
	p := &Platform{
		Tables:          func(netip.AddrPort, *http.Client) Tables { return Tables{} },
		EndpointDecoder: noEndpoints,
		Replica:         func(netip.AddrPort, *http.Client) *connector.Replica { return &connector.Replica{} },
	}
	a := &Agent{Peers: netip.MustParseAddrPort("127.0.0.1:7700"), Platform: p, Log: zerolog.Nop()}
	if err := a.build(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.reports.Socket.Close() }()
	if a.follower.earliest == nil {
		t.Fatal("records count as written when they arrive")
	}
	now := timekeeper.Now()
	a.monitor.Now = func() time.Time { return now }
	for range 5 {
		a.monitor.Beat()
		now = now.Add(agentBeatInterval)
	}
	began := now
	a.monitor.Beat()
	now = now.Add(6 * time.Second)
	if got := a.follower.earliest(began.Add(-time.Second)); !got.Equal(began) {
		t.Errorf("a record that arrives after the pause counts as written %s after its start", got.Sub(began))
	}
}
