package recorder

import (
	"crypto/sha256"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Limits of a manifest. Chunk sizes are in bytes.
const (
	MinChunkSize = 4 << 10
	MaxChunkSize = 16 << 20
	maxChunks    = 1 << 20
	// MaxManifest is the largest encoded manifest in bytes.
	MaxManifest = 80 << 20
)

// Manifest describes the weights of a version. It is content-addressed: the digest
// of its encoding identifies it.
type Manifest struct {
	Format int `json:"format"`
	// Size is the size of all weights in bytes; at least 1.
	Size int64 `json:"size"`
	// ChunkSize is the size in bytes of every chunk except the last.
	ChunkSize int64 `json:"chunk-size"`
	// Digest is the digest of all weights.
	Digest Digest `json:"digest"`
	// Chunks are the digests of the chunks in order; their number follows from
	// Size and ChunkSize.
	Chunks []Digest `json:"chunks"`
}

// NewManifest builds the manifest of the data in r, which it reads to the end. It
// calls each for every chunk; the chunk's bytes are valid only during the call.
func NewManifest(r io.Reader, chunkSize int64, each func(Digest, []byte) error) (*Manifest, error) {
	const op = "make manifest"
	if chunkSize < MinChunkSize || chunkSize > MaxChunkSize {
		return nil, invalid(op, "chunk size %d is not in %d to %d", chunkSize, MinChunkSize, MaxChunkSize)
	}
	m := &Manifest{Format: Format, ChunkSize: chunkSize}
	h := sha256.New()
	b := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(r, b)
		if n > 0 {
			c := b[:n]
			_, _ = h.Write(c)
			d := DigestOf(c)
			if e := each(d, c); e != nil {
				return nil, e
			}
			m.Chunks = append(m.Chunks, d)
			m.Size += int64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
		}
	}
	h.Sum(m.Digest[:0])
	if err := m.Check(); err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	return m, nil
}

// Check returns an error for the first invalid field.
func (m *Manifest) Check() error {
	if m.Format != Format {
		return errors.Newf("field format: %d is not %d", m.Format, Format)
	}
	if m.Size < 1 {
		return errors.Newf("field size: %d is below 1", m.Size)
	}
	if m.ChunkSize < MinChunkSize || m.ChunkSize > MaxChunkSize {
		return errors.Newf("field chunk-size: %d is not in %d to %d", m.ChunkSize, MinChunkSize, MaxChunkSize)
	}
	n := (m.Size-1)/m.ChunkSize + 1
	if n > maxChunks || int64(len(m.Chunks)) != n {
		return errors.Newf("field chunks: %d digests; size and chunk-size need %d, at most %d", len(m.Chunks), n, maxChunks)
	}
	return nil
}

// ChunkLen returns the length in bytes of chunk i.
func (m *Manifest) ChunkLen(i int) int64 {
	return min(m.ChunkSize, m.Size-int64(i)*m.ChunkSize)
}

// Encode returns the encoded manifest and its digest.
func (m *Manifest) Encode() ([]byte, Digest, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, Digest{}, &Error{Op: "encode manifest", Kind: classifier.Internal, Err: err}
	}
	return b, DigestOf(b), nil
}

// DecodeManifest decodes a manifest and verifies that its encoding has the digest
// want.
func DecodeManifest(b []byte, want Digest) (*Manifest, error) {
	const op = "decode manifest"
	if len(b) > MaxManifest {
		return nil, invalid(op, "%d bytes; at most %d are allowed", len(b), MaxManifest)
	}
	if got := DigestOf(b); got != want {
		return nil, invalid(op, "digest is %s, not %s", got, want)
	}
	m := new(Manifest)
	if err := DecodeStrict(b, m); err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if err := m.Check(); err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	return m, nil
}
