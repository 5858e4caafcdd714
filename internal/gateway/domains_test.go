package gateway

import (
	"testing"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
)

// Guards against stale summaries: two gateways report the summaries of one failure
// domain, and the one with the older values reports last and then disconnects.
func TestEndedStreamTakesItsSummaries(t *testing.T) {
	var d domains
	tell := func(stream uint64, address string, ready uint32) {
		d.update(stream, "mansoura", address, []*relayv1.Summary{{Serves: "model/m", Version: "v1", Ready: ready}})
	}
	ready := func() uint32 { return d.all()[0].summaries[0].Ready }
	tell(1, "127.0.0.1:1", 2)
	tell(2, "127.0.0.1:2", 1)
	if n := ready(); n != 1 {
		t.Errorf("ready endpoints in the latest summary: %d, want 1", n)
	}
	d.update(2, "mansoura", "127.0.0.1:2", nil)
	if n := ready(); n != 2 {
		t.Errorf("ready endpoints after the second stream ended: %d, want 2", n)
	}
	if p := d.all()[0].peers; len(p) != 1 {
		t.Errorf("remaining gateways: %v, want one", p)
	}
	d.update(1, "mansoura", "127.0.0.1:1", nil)
	if len(d.all()) != 0 {
		t.Error("the failure domain is still known after its last stream ended")
	}
}

// Guards against an account limit share that omits this gateway or counts it
// twice: the platform's list may not name it or may show it as leaving.
func TestThisGatewayAlwaysCounts(t *testing.T) {
	for _, state := range []connector.InstanceState{connector.InstanceLive, connector.InstanceLeaving, connector.InstanceGone} {
		g := &Gateway{Node: settings.Node{Instance: "b", FailureDomain: "tanta"}}
		g.list.apply(connector.InstanceList{Full: true, Instances: []connector.Instance{
			{Name: "a", FailureDomain: "mansoura", Kind: connector.GatewayInstance, State: connector.InstanceLive},
			{Name: "b", FailureDomain: "tanta", Kind: connector.GatewayInstance, State: state},
			{Name: "c", FailureDomain: "mansoura", Kind: connector.GatewayInstance, State: connector.InstanceLeaving},
		}})
		if listed, all, own, domains := g.listedGateways(); !listed || all != 2 || own != 1 || domains != 2 {
			t.Errorf("%s: listed %t, %d gateways, %d own, %d failure domains", state, listed, all, own, domains)
		}
	}
}
