package gateway

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
)

// Guards against demand of a peer that takes an account's whole limit away, or lets it pass.
func FuzzDemand(f *testing.F) {
	for _, v := range []float32{3, -1, float32(math.NaN()), float32(math.Inf(1)), math.MaxFloat32} {
		f.Add(encode(f, &relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Demand{Demand: &relayv1.Demand{
			RequestsPerSecond: map[string]float32{"members": v, "": v},
		}}}))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m relayv1.ExchangeMessage
		if proto.Unmarshal(b, &m) != nil || m.GetDemand() == nil {
			return
		}
		var d demands
		d.update(1, &relayv1.Hello{Instance: "b", FailureDomain: "tanta"}, m.GetDemand())
		near, _ := d.split("tanta")
		for a, s := range divider.Shares(divider.Demand{"members": 1}, []divider.Demand{near["b"]}, 2) {
			if !(s > 0 && s <= 1) { // NaN is neither.
				t.Fatalf("account %q has a share of %g", string(a), s)
			}
		}
	})
}
