package direct

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// The retries that all gateways may save up must stay within the extra ones, also at
// sites with more gateways than the first ones had and while some are being added.
func TestRetriesOfManyGateways(t *testing.T) {
	const extra = 236
	for _, c := range []struct{ known, there int }{{1, 4}, {4, 8}, {16, 16}, {16, 22}, {640, 700}} {
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
		if all := float64(c.there) * g.retryBurst(); all > extra {
			t.Errorf("%d gateways of which %d are known save up %.0f retries; %d are allowed", c.there, c.known, all, extra)
		}
	}
}
