package observer_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// epochPeers responds with a table of the epoch of each peer.
type epochPeers map[string]string

func (p epochPeers) RoundTrip(q *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: q,
		Body: io.NopCloser(strings.NewReader(`{"next":1,"full":true,"epoch":` + p[q.URL.Host] + `}`)),
	}, nil
}

// Guards against a process that has just started, takes a false epoch from the first peer and then
// uses no response of any other source.
func TestHighEpochOfOnePeer(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers []string
		// want holds the epoch that each read gives, 0 for an error.
		want []uint64
	}{
		{"ordinary", []string{"7", "7"}, []uint64{7}},
		{"false at the first peer", []string{"5000", "7"}, []uint64{0, 7}},
		{"false at the first peer, no other one", []string{"5000"}, []uint64{0, 5000}},
		{"high at all", []string{"5000", "5000"}, []uint64{0, 5000}},
		{"two false ones", []string{"5000", "6000", "7"}, []uint64{0, 0, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, l := epochPeers{}, []netip.AddrPort(nil)
			for i, e := range c.peers {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
				l = append(l, a)
				p[a.String()] = e
			}
			now := time.Now()
			r := &observer.PeerReader{
				Table: "operators", Client: &http.Client{Transport: p}, Now: func() time.Time { return now },
				Peers: func() []netip.AddrPort { return l }, Epoch: func() uint64 { return 0 },
			}
			for i, want := range c.want {
				got, err := r.Read(t.Context(), 0, 0)
				if got.Epoch != want || (err == nil) != (want != 0) {
					t.Errorf("read %d: epoch %d, error %v, want epoch %d", i, got.Epoch, err, want)
				}
			}
		})
	}
}
