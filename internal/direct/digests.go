package direct

import (
	"io"

	"github.com/cockroachdb/errors"
)

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
