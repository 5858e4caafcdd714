package distributor_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// silent is a transport that answers no request.
type silent struct{}

func (silent) RoundTrip(q *http.Request) (*http.Response, error) {
	<-q.Context().Done()
	return nil, q.Context().Err()
}

// Guards against a region whose instances together have so many chunks in flight
// over a shared link that the first of them arrives late: with 60 instances, 160
// chunks were in flight into a region and the burst took 1.7 times Burst.Bound.
func TestSharedLink(t *testing.T) {
	for _, c := range []struct{ instances, shared, want int }{
		{1, 0, 4},
		{4, 0, 4},
		{8, 0, 2},
		{20, 0, 1},
		{20, 40, 2},
		{20, 1000, 4},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			RegisterTestingT(t)
			w := newWeights("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789abcdefghijklmnopqrstuvwxyz")
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				var members []distributor.Member
				for i := range c.instances {
					members = append(members, distributor.Member{
						Instance: recorder.Name(fmt.Sprintf("i%d", i)), FailureDomain: "d", Region: "r",
						Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
					})
				}
				begin := time.Now()
				var reads atomic.Int64
				s := new(distributor.Store)
				w.fill(s, 0)
				f := &distributor.Fetcher{
					Self: members[0], OriginRegion: "r", Store: s, SharedParallel: c.shared,
					Client:  &http.Client{Transport: silent{}},
					Members: func() []distributor.Member { return members },
					Origin: &connector.Origin{Fetch: func(ctx context.Context, _ recorder.Digest) (io.ReadCloser, int64, error) {
						if time.Since(begin) == 0 {
							reads.Add(1)
						}
						<-ctx.Done()
						return io.NopCloser(bytes.NewReader(nil)), 0, ctx.Err()
					}},
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := f.Fetch(ctx, w.version, nil)
				Expect(err).To(HaveOccurred())
				Expect(reads.Load()).To(BeNumerically("==", c.want))
			})
		})
	}
}
