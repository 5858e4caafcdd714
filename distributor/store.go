package distributor

import (
	"context"
	"sync"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Store holds the verified chunks and manifests of kept versions in memory. The
// zero value is an empty store without a limit.
type Store struct {
	// Limit limits the bytes of the kept versions; 0 means no limit. The bytes
	// of a version are reserved when its manifest is kept.
	Limit int64

	mu    sync.Mutex
	blobs map[recorder.Digest]*blob
	kept  map[recorder.Digest]*recorder.Manifest
	// reserved is the sum of the sizes of all blobs with refs above 0.
	reserved int64
}

// blob is a chunk or an encoded manifest, whether present or awaited.
type blob struct {
	size int64
	// refs counts the kept manifests that need the blob, waiters the pending calls
	// of Wait. An entry is removed once both and fetches are 0.
	refs, waiters int
	// fetches counts the fetches in progress, including those that start before a
	// manifest is kept.
	fetches int
	// data is nil until the blob is verified; it never changes afterwards.
	data []byte
	// ready is closed when data is set; nil if there are no waiters.
	ready chan struct{}
	// waitChain lists the instances that the blob is waiting for, starting with
	// the one being asked.
	waitChain waitChain
}

// Keep verifies an encoded manifest, reserves memory for its chunks and lets Put
// accept them. Keeping a manifest again has no effect. The error is of kind
// Invalid for a wrong manifest and Exhausted over the limit.
func (s *Store) Keep(d recorder.Digest, encoded []byte) (*recorder.Manifest, error) {
	if m := s.Manifest(d); m != nil {
		return m, nil
	}
	m, err := recorder.DecodeManifest(encoded, d)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.kept[d]; k != nil {
		return k, nil
	}
	need := int64(len(encoded))
	seen := make(map[recorder.Digest]bool, len(m.Chunks))
	for i, c := range m.Chunks {
		if b := s.blobs[c]; !seen[c] && (b == nil || b.refs == 0) {
			need += m.ChunkLen(i)
		}
		seen[c] = true
	}
	if s.Limit > 0 && s.reserved+need > s.Limit {
		return nil, fail("keep manifest", classifier.Exhausted, "%d bytes more than the %d in use; the limit is %d",
			need, s.reserved, s.Limit)
	}
	if s.kept == nil {
		s.kept = make(map[recorder.Digest]*recorder.Manifest)
	}
	s.kept[d] = m
	s.reserved += need
	for i, c := range m.Chunks {
		b := s.entry(c)
		b.refs++
		b.size = m.ChunkLen(i)
	}
	b := s.entry(d)
	b.refs++
	b.size = int64(len(encoded))
	b.set(encoded)
	return m, nil
}

// Drop removes a manifest and frees the chunks that no other kept manifest needs.
// Open readers keep their chunks.
func (s *Store) Drop(d recorder.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.kept[d]
	if m == nil {
		return
	}
	delete(s.kept, d)
	for _, c := range m.Chunks {
		s.unref(c)
	}
	s.unref(d)
}

// unref releases a reference of a kept manifest and frees the blob after the last.
func (s *Store) unref(d recorder.Digest) {
	b := s.blobs[d]
	b.refs--
	if b.refs > 0 {
		return
	}
	s.reserved -= b.size
	b.data = nil
	b.waitChain = nil
	s.removeUnused(d, b)
}

// Manifest returns a kept manifest, or nil.
func (s *Store) Manifest(d recorder.Digest) *recorder.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept[d]
}

// Put adds a chunk of a kept manifest. The store takes ownership of the buffer,
// which must not be changed afterwards. The error is of kind Invalid if the digest
// differs and Refused if no kept manifest needs the chunk.
func (s *Store) Put(d recorder.Digest, b []byte) error {
	const op = "put chunk"
	if got := recorder.DigestOf(b); got != d {
		return fail(op, classifier.Invalid, "digest is %s, not %s", got, d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.blobs[d]
	if e == nil || e.refs == 0 {
		return fail(op, classifier.Refused, "no kept manifest needs chunk %s", d)
	}
	e.set(b)
	return nil
}

// Get returns a chunk or an encoded manifest, which must not be changed.
func (s *Store) Get(d recorder.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blobs[d]
	if b == nil || b.data == nil {
		return nil, false
	}
	return b.data, true
}

// Has reports whether the store holds a chunk or manifest.
func (s *Store) Has(d recorder.Digest) bool {
	_, ok := s.Get(d)
	return ok
}

// Wait blocks until the store holds a chunk or an encoded manifest and returns it,
// even if no kept manifest needs it yet. If the context ends first, Wait returns
// the error of the context.
func (s *Store) Wait(ctx context.Context, d recorder.Digest) ([]byte, error) {
	s.mu.Lock()
	b := s.entry(d)
	if b.data != nil {
		defer s.mu.Unlock()
		return b.data, nil
	}
	if b.ready == nil {
		b.ready = make(chan struct{})
	}
	ready := b.ready
	b.waiters++
	s.mu.Unlock()
	var err error
	select {
	case <-ready:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b.waiters--
	data := b.data
	s.removeUnused(d, b)
	if data == nil && err == nil {
		err = fail("wait for chunk", classifier.NotFound, "chunk %s was dropped", d)
	}
	if data != nil {
		err = nil
	}
	return data, err
}

// Usage is the memory use of a store.
type Usage struct {
	// Reserved is the size of all kept versions, Limit its limit, both in bytes. A
	// Limit of 0 means none.
	Reserved, Limit int64
	// Manifests is the number of kept versions.
	Manifests int
}

// Usage returns the current memory use.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Reserved: s.reserved, Limit: s.Limit, Manifests: len(s.kept)}
}

// wanted reports whether a kept manifest needs the blob or it is being fetched, and
// returns the chain of instances that it is waiting for.
func (s *Store) wanted(d recorder.Digest) (bool, waitChain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blobs[d]
	if b == nil || b.refs == 0 && b.fetches == 0 {
		return false, nil
	}
	return true, b.waitChain
}

// beginFetch records that a blob is being fetched until the returned function is
// called.
func (s *Store) beginFetch(d recorder.Digest) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.entry(d)
	b.fetches++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		b.fetches--
		s.removeUnused(d, b)
	}
}

// setWaitChain sets the chain of instances that a blob is waiting for; nil if no
// instance is asked. The store takes ownership of the chain.
func (s *Store) setWaitChain(d recorder.Digest, from waitChain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blobs[d]; b != nil {
		b.waitChain = from
	}
}

// entry returns the entry of a blob, adding it if it is missing.
func (s *Store) entry(d recorder.Digest) *blob {
	b := s.blobs[d]
	if b == nil {
		if s.blobs == nil {
			s.blobs = make(map[recorder.Digest]*blob)
		}
		b = new(blob)
		s.blobs[d] = b
	}
	return b
}

// removeUnused removes an entry without references, waiters and fetches.
func (s *Store) removeUnused(d recorder.Digest, b *blob) {
	if b.refs == 0 && b.waiters == 0 && b.fetches == 0 && s.blobs[d] == b {
		delete(s.blobs, d)
	}
}

func (b *blob) set(data []byte) {
	if b.data != nil {
		return
	}
	b.data = data
	if b.ready != nil {
		close(b.ready)
		b.ready = nil
	}
}
