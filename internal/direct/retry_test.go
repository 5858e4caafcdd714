package direct

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// The sum of the retry bursts of all gateways must not exceed RetryExtra, also at
// sites with many gateways and while new gateways aren't known to the others yet.
func TestRetriesOfManyGateways(t *testing.T) {
	const extra = 236
	for _, c := range []struct{ known, running int }{{1, 4}, {4, 8}, {16, 16}, {16, 22}, {640, 700}} {
		s := &observer.State{
			DecodeGateway: func(b []byte) (*observer.Gateway, error) { return &observer.Gateway{Name: string(b)}, nil },
			Log:           zerolog.Nop(),
		}
		var items []connector.Item
		for i := range c.known {
			name := fmt.Sprint("g", i)
			items = append(items, connector.Item{Key: name, Value: []byte(name)})
		}
		s.ApplyGateways(items)
		g := &Gateway{RetryExtra: extra, follower: &follower{state: s}}
		if all := float64(c.running) * g.retryBurst(); all > extra {
			t.Errorf("%d gateways of which %d are known have a retry burst of %.0f; %d are allowed", c.running, c.known, all, extra)
		}
	}
}
