package connector

import (
	"context"
	"io"
	"net/http"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Origin is a client of the rate-limited, content-addressed store of weights.
type Origin struct {
	// Fetch opens a blob; the caller closes and verifies it. The size is -1 if
	// it is not known. If a limit of the origin is exceeded, the error is an
	// *Error of kind Exhausted with RetryAfter set.
	Fetch func(ctx context.Context, d recorder.Digest) (body io.ReadCloser, size int64, err error)
	// Store writes a blob.
	Store func(ctx context.Context, d recorder.Digest, b []byte) error
}

// NewOrigin returns a client of the origin at the base URL.
func NewOrigin(base string, client *http.Client) *Origin {
	c := apiClient{base: base, client: client}
	return &Origin{
		Fetch: func(ctx context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
			r, err := c.send(ctx, "fetch "+d.String(), http.MethodGet, "/v1/blobs/"+d.String(), nil, nil)
			if err != nil {
				return nil, 0, err
			}
			return r.Body, r.ContentLength, nil
		},
		Store: func(ctx context.Context, d recorder.Digest, b []byte) error {
			r, err := c.send(ctx, "store "+d.String(), http.MethodPut, "/v1/blobs/"+d.String(), b,
				http.Header{"Content-Type": {"application/octet-stream"}})
			if err != nil {
				return err
			}
			return r.Body.Close()
		},
	}
}
