package direct

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// A request that is sent to an older version waited 0.81 s at its engine and began after the
// 10 s in which versions have to be in force. The last requests must leave that time, as the
// delays of an engine that loads its link or takes prompts of other gateways aren't foreseen.
func TestOlderVersionsLeaveTimeToBegin(t *testing.T) {
	const limit, wait = 10 * time.Second, 810 * time.Millisecond
	g := &Gateway{
		MaxVersionDelay: limit, Descriptors: 100, Log: zerolog.Nop(),
		Platform: &Platform{Tables: func(netip.AddrPort, *http.Client) Tables { return Tables{} }, EndpointDecoder: noEndpoints},
	}
	if err := g.build(); err != nil {
		t.Fatal(err)
	}
	if left := limit - g.dispatcher.Grace; left < wait {
		t.Errorf("%s are left for a request to begin, want %s", left, wait)
	}
}
