package distributor_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against chunks that no source has yet, as during an outage of the origin, and
// that hold up the chunks that peers have. After such an outage an instance still had to
// fetch a quarter of the version, and began to serve it seconds after its peers.
func TestChunksThatNoSourceHas(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefghijklmnopqrstuvwx")
	lacking := make(map[recorder.Digest]bool)
	for _, d := range w.manifest.Chunks[:8] {
		lacking[d] = true
	}
	s := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
		d, err := recorder.ParseDigest(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:])
		if err != nil || lacking[d] {
			time.Sleep(20 * time.Millisecond)
			r.Header().Set("Eelgrass-Chunk", "fetching")
			r.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = r.Write(w.blobs[d])
	}))
	defer s.Close()
	a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	f := &distributor.Fetcher{
		Self: distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"}, OriginRegion: "r",
		Store: new(distributor.Store), Client: distributor.NewClient(nil), Parallel: 3, LateDelay: 50 * time.Millisecond,
		Poll: 20 * time.Millisecond, Stall: time.Second,
		Origin: &connector.Origin{Fetch: func(context.Context, recorder.Digest) (io.ReadCloser, int64, error) {
			return nil, 0, errors.New("away")
		}},
		Members: func() []distributor.Member {
			return []distributor.Member{{Instance: "peer", FailureDomain: "d", Region: "r", Address: a}}
		},
	}
	w.fill(f.Store, 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := f.Fetch(ctx, w.version, nil)
		ended <- err
	}()
	Eventually(func() string {
		n := 0
		for _, d := range w.manifest.Chunks {
			if f.Store.Has(d) {
				n++
			}
		}
		return fmt.Sprintf("%d chunks", n)
	}, 3*time.Second, 10*time.Millisecond).Should(Equal("16 chunks"))
	cancel()
	Expect(<-ended).To(HaveOccurred())
}
