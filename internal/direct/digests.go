package direct

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
)

// firstDigests asks all peers at once and returns the first digests, or nil if none has sent
// any within the given time.
func firstDigests(ctx context.Context, peers []distributor.Member, wait time.Duration,
	ask func(ctx context.Context, m distributor.Member) ([][32]byte, error),
) [][32]byte {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answers := make(chan [][32]byte, len(peers))
	for _, m := range peers {
		go func() {
			d, err := ask(ctx, m)
			if err != nil {
				d = nil
			}
			answers <- d
		}()
	}
	for range peers {
		select {
		case d := <-answers:
			if d != nil {
				return d
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// maxDigests is the largest number of pieces of a version.
const maxDigests = 1 << 16

// readDigests reads SHA-256 digests that are concatenated without a separator.
func readDigests(r io.Reader) ([][32]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxDigests*32+1))
	if err != nil {
		return nil, errors.Wrap(err, "read digests")
	}
	if len(b) == 0 || len(b)%32 != 0 || len(b) > maxDigests*32 {
		return nil, errors.Newf("read digests: %d bytes", len(b))
	}
	d := make([][32]byte, len(b)/32)
	for i := range d {
		copy(d[i][:], b[i*32:])
	}
	return d, nil
}
