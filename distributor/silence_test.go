package distributor_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// silentStall is the Stall of the fetchers here; sources are silent for twice as long.
const silentStall = 200 * time.Millisecond

// silentPeer sends chunks with pauses in which it is silent, and counts the requests.
type silentPeer struct {
	*httptest.Server
	blobs map[recorder.Digest][]byte
	// pauses is the number of pauses within each body.
	pauses int
	asked  atomic.Int64
}

func newSilentPeer(t *testing.T, w *weights, pauses int) *silentPeer {
	p := &silentPeer{blobs: w.blobs, pauses: pauses}
	p.Server = httptest.NewServer(p)
	t.Cleanup(p.Close)
	return p
}

func (p *silentPeer) ServeHTTP(r http.ResponseWriter, q *http.Request) {
	d, err := recorder.ParseDigest(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:])
	if err != nil {
		r.WriteHeader(http.StatusBadRequest)
		return
	}
	p.asked.Add(1)
	b := p.blobs[d]
	r.Header().Set("Content-Length", strconv.Itoa(len(b)))
	c := http.NewResponseController(r)
	for range p.pauses {
		n := len(b) / 2
		_, _ = r.Write(b[:n])
		_ = c.Flush()
		b = b[n:]
		time.Sleep(2 * silentStall)
	}
	_, _ = r.Write(b)
}

// member returns the peer as an instance with a name.
func member(name recorder.Name, s *httptest.Server) distributor.Member {
	a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return distributor.Member{Instance: name, FailureDomain: "d", Region: "r", Address: a}
}

// fetchWithoutOrigin fetches the weights from the members while the origin is unavailable.
func fetchWithoutOrigin(t *testing.T, w *weights, members ...distributor.Member) error {
	f := &distributor.Fetcher{
		Self: distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"}, OriginRegion: "r",
		Store: new(distributor.Store), Client: distributor.NewClient(nil), Poll: 20 * time.Millisecond, Stall: silentStall,
		Origin: &connector.Origin{Fetch: func(context.Context, recorder.Digest) (io.ReadCloser, int64, error) {
			return nil, 0, errors.New("away")
		}},
		Members: func() []distributor.Member { return members },
	}
	w.fill(f.Store, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := f.Fetch(ctx, w.version, nil)
	return err
}

// Guards against a source that is silent twice within a chunk and loses the transfer the
// second time, though no other source has begun. All its bytes came twice.
func TestSourceSilentTwice(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcd")
	p := newSilentPeer(t, w, 2)
	Expect(fetchWithoutOrigin(t, w, member("peer", p.Server))).To(Succeed())
	Expect(p.asked.Load()).To(BeNumerically("==", len(w.manifest.Chunks)))
}

// Guards against a transfer from an instance that a busy source named and that is dropped at
// its first silence, though no other source has begun.
func TestHolderSilent(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcd")
	holder := newSilentPeer(t, w, 1)
	busy := httptest.NewServer(http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
		r.Header().Set("Eelgrass-Chunk", "busy")
		if q.URL.Query().Get("seen-holders") == "0" {
			r.Header().Set("Eelgrass-Holder-Count", "2")
			r.Header().Set("Eelgrass-Holders", "holder")
		}
		r.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	h := member("holder", holder.Server)
	h.Empty = true
	Expect(fetchWithoutOrigin(t, w, member("busy", busy), h)).To(Succeed())
	Expect(holder.asked.Load()).To(BeNumerically("==", len(w.manifest.Chunks)))
}
