package burst

import (
	"context"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// fetchFromParent is the baseline of a fixed binary tree: every instance asks
// its parent for all chunks in order, the first one asks the origin.
func (f *fleet) fetchFromParent(ctx context.Context, i int, x *instance) error {
	encoded, _, err := f.manifest.Encode()
	if err != nil {
		return err
	}
	if _, err := x.fetcher.Store.Keep(f.version.Manifest, encoded); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(8)
	for n, d := range f.manifest.Chunks {
		g.Go(func() error {
			url := "http://" + f.originAddr.String() + "/v1/blobs/" + d.String()
			if i > 0 {
				url = "http://" + f.members[(i-1)/2].Address.String() + "/v1/chunks/" + d.String() + "?wait-ms=2000"
			}
			for {
				if get(ctx, x, url, d, f.manifest.ChunkLen(n)) == nil {
					return nil
				}
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return g.Wait()
}

func get(ctx context.Context, x *instance, url string, d recorder.Digest, size int64) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	r, err := x.fetcher.Client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	b := make([]byte, size)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		return err
	}
	return x.fetcher.Store.Put(d, b)
}
