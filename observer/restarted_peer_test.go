package observer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Guards against the end of an evacuation, or the removal of an endpoint, that a gateway without
// the platform never hears of because its peer started after it (review/4, DRAIN).
func TestPeerThatStarted(t *testing.T) {
	var peer, own observer.Table
	own.Apply(connector.Changes{Items: []connector.Item{value("a", "evacuated", 3), value("b", "1", 2)}, Next: 4, Full: true}, timekeeper.Now())
	peer.Apply(connector.Changes{Items: []connector.Item{value("b", "1", 2)}, Next: 9, Full: true}, timekeeper.Now())
	mux := http.NewServeMux()
	mux.Handle("GET /v1/tables/{name}", &observer.Handler{Tables: map[string]*observer.Table{"t": &peer}})
	s := httptest.NewServer(mux)
	defer s.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	peers := &observer.PeerReader{Table: "t", Client: s.Client(), Now: time.Now, Peers: func() []netip.AddrPort { return []netip.AddrPort{address} }}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var dropped []string
	f := &observer.Follower{
		Name: "t", Table: &own, Log: zerolog.Nop(),
		Sources: []observer.Source{
			{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
				return connector.Changes{}, errors.New("cut off")
			}},
			{Name: "peers", Read: peers.Read, Peers: true},
		},
		Changed: func(u observer.Update) {
			for _, i := range u.Fresh {
				if i.Value == nil {
					dropped = append(dropped, i.Key)
				}
			}
			cancel()
		},
	}
	_ = f.Run(ctx)
	if strings.Join(dropped, " ") != "a" || content(&own) != "b=1" || own.Next() != 9 {
		t.Errorf("dropped %v, content %q, next %d; want a, b=1, 9", dropped, content(&own), own.Next())
	}
}
