package direct

import (
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Guards against an entry of another writer, with another service and the engine's address, that an
// agent takes for that of its engine.
func TestOwnEntry(t *testing.T) {
	engine := netip.MustParseAddrPort("127.0.0.2:1")
	s := &observer.State{Now: time.Now, DecodeEndpoint: func(key string, v []byte) (*observer.Endpoint, error) {
		return &observer.Endpoint{ID: key, Service: string(v), Address: engine, Started: time.Unix(int64(key[0]), 0)}, nil
	}}
	s.ApplyEndpoints([]connector.Item{{Key: "a", Value: []byte("s"), Offset: 1}, {Key: "b", Value: []byte("s"), Offset: 2}, {Key: "c", Value: []byte("inventory"), Offset: 3}}, true)
	r := &reportSender{Engine: engine, Service: "s", State: s}
	if e := r.own(); e == nil || e.ID != "b" {
		t.Errorf("own entry is %+v, want that of the later process of the service", e)
	}
}
