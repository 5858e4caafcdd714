package direct

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// A list whose read began before a pause isn't current after it, though its response is read
// then: a gateway of a large failure domain nearly always waits for one.
func TestListReadInPauseIsNotCurrent(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var g *Gateway
	reads := 0
	// current tells for each read whether its list is current once it is applied.
	var current []bool
	list := func(context.Context, uint64, time.Duration) (connector.Changes, error) {
		if reads > 0 {
			current = append(current, g.isCurrent())
		}
		if reads++; reads == 2 {
			time.Sleep(minListPause + 200*time.Millisecond)
			g.monitor.Beat()
		}
		if reads > 3 {
			cancel()
			return connector.Changes{}, errors.New("there are three reads")
		}
		o := uint64(reads)
		return connector.Changes{Items: []connector.Item{{Key: "e", Value: []byte("{}"), Offset: o}}, Next: o + 1}, nil
	}
	none := func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
		<-ctx.Done()
		return connector.Changes{}, ctx.Err()
	}
	p := &Platform{
		Tables: func(netip.AddrPort, *http.Client) Tables {
			return Tables{
				Operators: &connector.Table{Read: none, Reconnect: func() {}}, Gateways: &connector.Table{Read: none, Reconnect: func() {}},
				Endpoints: &connector.Table{Read: list, Reconnect: func() {}},
			}
		},
		EndpointDecoder: func(map[string]string) func(string, []byte) (*observer.Endpoint, error) {
			return func(string, []byte) (*observer.Endpoint, error) { return nil, errors.New("no endpoint") }
		},
	}
	g = &Gateway{Platform: p, Drain: 300 * time.Millisecond, Descriptors: 100, Log: zerolog.Nop()}
	if err := g.build(); err != nil {
		t.Fatal(err)
	}
	g.monitor.Beat()
	if err := g.follower.run(ctx, false); err != nil {
		t.Fatal(err)
	}
	if len(current) < 3 || current[1] || !current[2] {
		t.Errorf("the list is current: %t, want not for the read in the pause, and then", current)
	}
}

// After a pause requests must wait until the new list is applied, not only read: in between
// they went to an endpoint that had begun to drain in the pause.
func TestListAppliedAfterPause(t *testing.T) {
	now := timekeeper.Now().Add(-10 * time.Second)
	f := &follower{state: &observer.State{Now: timekeeper.Now}}
	g := &Gateway{follower: f}
	g.monitor.Limit, g.monitor.Now = maxBeatInterval, func() time.Time { return now }
	g.monitor.Beat()
	now = timekeeper.Now()
	if g.isCurrent() {
		t.Fatal("the list of before the pause is taken for current")
	}
	f.endpoints.Apply(connector.Changes{Next: 1}, timekeeper.Now())
	if g.isCurrent() {
		t.Error("a list that isn't applied yet is taken for current")
	}
	f.applyList(observer.Update{First: true})
	if !g.isCurrent() {
		t.Error("the new list isn't taken for current")
	}
}
