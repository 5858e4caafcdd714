package distributor

import (
	"io"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Reader reads the weights of one version in order. Its chunks stay in memory even
// if the version is dropped in the meantime.
type Reader struct {
	// Size is the size of the weights in bytes.
	Size   int64
	chunks [][]byte
}

// Open returns a reader of a kept version. The error is of kind NotFound if the
// version is not kept and Unavailable if chunks are missing.
func (s *Store) Open(manifest recorder.Digest) (*Reader, error) {
	const op = "open weights"
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.kept[manifest]
	if m == nil {
		return nil, fail(op, classifier.NotFound, "manifest %s is not kept", manifest)
	}
	r := &Reader{Size: m.Size, chunks: make([][]byte, len(m.Chunks))}
	for i, c := range m.Chunks {
		if r.chunks[i] = s.blobs[c].data; r.chunks[i] == nil {
			return nil, fail(op, classifier.Unavailable, "chunk %d of %d is missing", i, len(m.Chunks))
		}
	}
	return r, nil
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	for len(r.chunks) > 0 && len(r.chunks[0]) == 0 {
		r.chunks = r.chunks[1:]
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(b, r.chunks[0])
	r.chunks[0] = r.chunks[0][n:]
	return n, nil
}

// WriteTo implements io.WriterTo without copying the chunks.
func (r *Reader) WriteTo(w io.Writer) (int64, error) {
	var total int64
	for len(r.chunks) > 0 {
		n, err := w.Write(r.chunks[0])
		total += int64(n)
		r.chunks[0] = r.chunks[0][n:]
		if err != nil {
			return total, err
		}
		r.chunks = r.chunks[1:]
	}
	return total, nil
}
