package forwarder_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// An entry with the address of the gateway itself must cost no request: the gateway answered
// its own attempts as those of a caller without a key, so that they counted as run.
func TestEntryOfGateway(t *testing.T) {
	state, all := newState(t, 1, time.Now)
	f := handlerOf(state)
	url := serve(t, f)
	decode := state.DecodeEndpoint
	state.DecodeEndpoint = func(string, []byte) (*observer.Endpoint, error) {
		e, err := decode("i0", nil)
		e.ID, e.Address = "odd", netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
		return e, err
	}
	state.ApplyEndpoints([]connector.Item{{Key: "odd", Value: []byte("x"), Offset: 1}}, true)
	f.Dispatcher.Update()
	for range 20 {
		all[0].script = &script{steps: []string{"ok"}}
		if a := sendRequest(url, "once"); a != "200 hello" {
			t.Fatalf("answer %q", a)
		}
	}
}
