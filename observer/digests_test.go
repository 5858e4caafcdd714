package observer_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// A malformed record of digests must be refused, and not take a process down or hide the
// gateways and digests in other records.
func TestDigests(t *testing.T) {
	datadriven.RunTest(t, "testdata/digests", func(t *testing.T, d *datadriven.TestData) string {
		s := &observer.State{Log: zerolog.Nop(), DecodeGateway: func([]byte) (*observer.Gateway, error) { return &observer.Gateway{}, nil }}
		s.ApplyGateways([]connector.Item{{Key: "g1", Value: []byte("{}"), Offset: 1}})
		key := "digests/m/2"
		d.MaybeScanArgs(t, "key", &key)
		s.ApplyGateways([]connector.Item{{Key: key, Value: []byte(d.Input), Offset: 2}})
		if s.GatewayCount() != 1 {
			t.Errorf("%d gateways", s.GatewayCount())
		}
		if err := json.Unmarshal([]byte(d.Input), new(observer.Digests)); err != nil && classifier.Of(err) != classifier.Invalid && json.Valid([]byte(d.Input)) {
			t.Errorf("kind %v: %v", classifier.Of(err), err)
		}
		v := s.Digests("m", 2)
		if v == nil {
			return "none\n"
		}
		return strings.Repeat("x", len(v.Pieces)) + "\n"
	})
}

// The digests of the two newest versions must be kept: an instance may be loading either.
func TestSupersededDigests(t *testing.T) {
	s := &observer.State{Log: zerolog.Nop()}
	for v := range int64(5) {
		b, err := json.Marshal(observer.Digests{Model: "m", Version: v + 1, Pieces: make([][32]byte, 3)})
		if err != nil {
			t.Fatal(err)
		}
		s.ApplyGateways([]connector.Item{{Key: observer.DigestKey("m", v+1), Value: b, Offset: uint64(v)}})
	}
	if got := strings.Join(s.SupersededDigests("m", 5), " "); got != "digests/m/1 digests/m/2 digests/m/3" {
		t.Errorf("superseded: %s", got)
	}
	s.ApplyGateways([]connector.Item{{Key: "digests/m/5", Offset: 9}})
	if s.Digests("m", 5) != nil || len(s.Digests("m", 4).Pieces) != 3 {
		t.Error("a deleted record is still known, or another one is gone")
	}
}
