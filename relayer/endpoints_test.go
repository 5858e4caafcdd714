package relayer

import (
	"testing"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
)

// A gateway that was suspended may receive a peer's report that an agent is attached there
// before it sees the end of the agent's old stream. It must then keep the endpoint, as the
// peer resends the status only every 30 s.
func TestAgentThatMovedIsNotForgotten(t *testing.T) {
	known := make(map[string]string)
	e := &Endpoints{
		Update: func(s *relayv1.EndpointStatus) { known[s.Instance] = s.Version },
		Remove: func(i string) { delete(known, i) },
	}
	status := func(boot string, sequence uint64, version string) *relayv1.EndpointStatus {
		return &relayv1.EndpointStatus{Instance: "e", BootId: boot, Sequence: sequence, Version: version}
	}
	const peer = 1
	for _, s := range []struct {
		what string
		do   func()
		want string
	}{
		{"attached here", func() { e.Report(status("b1", 5, "v1")) }, "v1"},
		{"reported by the peer", func() { e.reportFromPeer(peer, status("b1", 9, "v2")) }, "v1"},
		{"detached here", func() { e.Detach("e", "b1") }, "v2"},
		{"attached here again", func() { e.Report(status("b1", 12, "v3")) }, "v3"},
		{"detached at the peer", func() { e.detachFromPeer(peer, "e") }, "v3"},
		{"detached here too", func() { e.Detach("e", "b1") }, ""},
		{"restarted, attached here", func() { e.Report(status("b2", 1, "v4")) }, "v4"},
		{"restarted again, at the peer", func() { e.reportFromPeer(peer, status("b3", 1, "v5")) }, "v4"},
		{"stream of the old process ended", func() { e.Detach("e", "b2") }, "v5"},
		{"moved here", func() { e.Report(status("b3", 3, "v6")) }, "v6"},
		{"older status from the peer", func() { e.reportFromPeer(peer, status("b3", 2, "v5")) }, "v6"},
		{"detached", func() { e.Detach("e", "b3") }, ""},
	} {
		s.do()
		if known["e"] != s.want {
			t.Errorf("%s: got version %q, want %q", s.what, known["e"], s.want)
		}
	}
}
