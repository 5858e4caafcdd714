package gateway

import (
	"math"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
)

func encode(t testing.TB, m *relayv1.ExchangeMessage) []byte {
	b, err := proto.Marshal(m)
	check(t, err)
	return b
}

// Guards against a message of another gateway that takes the memory of this one: the summary
// of a failure domain stands for as many endpoints as it says.
func FuzzSummaries(f *testing.F) {
	for _, n := range []uint32{2, math.MaxUint32} {
		f.Add(encode(f, &relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Summaries{Summaries: &relayv1.Summaries{
			Summaries: []*relayv1.Summary{{Serves: "model/m", Version: "v1", Endpoints: n, Ready: 1, Limit: 4}, {Ready: n, Limit: n}},
		}}}))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m relayv1.ExchangeMessage
		if proto.Unmarshal(b, &m) != nil || m.GetSummaries() == nil {
			return
		}
		g := &Gateway{Node: settings.Node{FailureDomain: "tanta", Log: zerolog.Nop()}, replica: &follower.Replica{}}
		g.updateDomain(1, "mansoura", "127.0.0.1:1", m.GetSummaries().GetSummaries())
		sum := uint64(0)
		for _, d := range g.domains.all() {
			for _, s := range d.summaries {
				sum += uint64(s.Endpoints)
			}
			if room := d.room("model/m", ""); room < 0 {
				t.Fatalf("room for %d requests", room)
			}
		}
		if sum > 1<<16 {
			t.Fatalf("%d bytes stand for %d endpoints", len(b), sum)
		}
		if n := len(g.operatorEndpoints()); uint64(n) != sum {
			t.Fatalf("%d endpoints are shown, %d reported", n, sum)
		}
		if n := len(new(viewBuilder).build(g)); uint64(n) > sum {
			t.Fatalf("%d views of %d endpoints", n, sum)
		}
	})
}

// Guards against a status of an endpoint with an address or a state that can't be used.
func FuzzStatus(f *testing.F) {
	for _, s := range []*relayv1.EndpointStatus{
		{Instance: "a", Address: "10.0.0.1:1", State: relayv1.EndpointState_ENDPOINT_STATE_READY, Limit: math.MaxUint32},
		{Instance: "a", Address: "x", State: 99},
	} {
		f.Add(encode(f, &relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Status{Status: s}}))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m relayv1.ExchangeMessage
		if proto.Unmarshal(b, &m) != nil || m.GetStatus() == nil {
			return
		}
		g := &Gateway{Node: settings.Node{FailureDomain: "tanta", Log: zerolog.Nop()}, replica: &follower.Replica{}}
		g.updateEndpoint(m.GetStatus())
		for e := range g.table.Each() {
			if !e.Address.IsValid() || strings.HasPrefix(e.State.String(), "state-") || e.Limit < 0 || e.InFlight < 0 {
				t.Fatalf("listed %+v", e)
			}
		}
		g.summaries()
		g.operatorEndpoints()
	})
}
