package direct

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against requests that begin at an older version after its time: one waited 0.81 s at an
// engine that loaded its link, another one 1.3 s at an engine that stood still (review/5). Such
// delays aren't foreseen, so the last requests must leave that time.
func TestOlderVersionsLeaveTimeToBegin(t *testing.T) {
	const wait = 1300 * time.Millisecond
	for _, limit := range []time.Duration{8 * time.Second, 10 * time.Second} {
		g := &Gateway{
			MaxVersionDelay: limit, Descriptors: 100, Log: zerolog.Nop(),
			Platform: &Platform{Tables: func(netip.AddrPort, *http.Client) Tables { return Tables{} }, EndpointDecoder: noEndpoints},
		}
		if err := g.build(); err != nil {
			t.Fatal(err)
		}
		if left := limit - g.dispatcher.Grace; left < wait {
			t.Errorf("%s are left of %s for a request to begin, want %s", left, limit, wait)
		}
	}
}
