package distributor_test

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against a fetch that never ends and leaves no line in the log.
func TestPendingFetchIsLogged(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcd")
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		var reads atomic.Int64
		good := w.origin(&reads)
		missing := w.manifest.Chunks[2]
		var log bytes.Buffer
		f := &distributor.Fetcher{
			Store: new(distributor.Store), Members: func() []distributor.Member { return nil },
			Log: zerolog.New(zerolog.SyncWriter(&log)), PendingInterval: time.Second, MaxBackoff: 100 * time.Millisecond,
			Origin: &connector.Origin{Fetch: func(ctx context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
				if d == missing {
					return nil, 0, errors.New("not here")
				}
				return good.Fetch(ctx, d)
			}},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		_, err := f.Fetch(ctx, w.version, nil)
		Expect(err).To(HaveOccurred())
		Expect(bytes.Count(log.Bytes(), []byte(`"message":"fetch-pending"`))).To(Equal(2))
		Expect(log.String()).To(ContainSubstring(`"missing":1,"of":4,"chunk":"` + missing.String() + `"`))
		Expect(log.String()).To(ContainSubstring(`"failed":"origin","reason":"not here`))
	})
}
