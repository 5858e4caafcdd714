package observer_test

import (
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// A malformed record in the gateway table, or a malformed table of a peer, must not take a
// process down.
func FuzzGatewayTable(f *testing.F) {
	f.Add("digests/m/2", []byte(`{"model":"m","version":2,"pieces":"YQ=="}`), uint64(3))
	f.Add("g1", []byte(`{"name":"g1","address":"10.0.0.1:1"}`), uint64(1))
	f.Fuzz(func(t *testing.T, key string, value []byte, offset uint64) {
		s := &observer.State{Log: zerolog.Nop(), DecodeGateway: func(b []byte) (*observer.Gateway, error) {
			g := new(observer.Gateway)
			return g, json.Unmarshal(b, g)
		}}
		s.ApplyGateways([]connector.Item{{Key: key, Value: value, Offset: offset}})
		for _, g := range s.GatewayList() {
			if g == nil {
				t.Fatal("an empty gateway is listed")
			}
		}
		_ = s.SupersededDigests("m", 9)
		var c connector.Changes
		if json.Unmarshal(value, &c) == nil {
			new(observer.Table).Apply(c, timekeeper.Now())
		}
	})
}
