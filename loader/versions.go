package loader

import (
	"slices"
	"sync"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// manifest is the manifest of a version with its identity.
type manifest struct {
	version recorder.Version
	*recorder.Manifest
	// number is the number of the version.
	number int64
	// places holds the number of the piece with each digest.
	places map[recorder.Digest]int
	// staged holds, for each piece, whether it was staged while others were still being
	// fetched. Only stageEarlyStep uses it.
	staged []bool
}

// has reports whether a piece of the version has the digest.
func (m *manifest) has(d recorder.Digest) bool {
	_, ok := m.places[d]
	return ok
}

// fits reports whether the engine takes the pieces of the manifest.
func (m *manifest) fits(e *resolver.Engine) bool {
	return string(m.version.Model) == e.Model && len(m.Chunks) == e.Chunks && m.ChunkSize == e.ChunkSize
}

// piece identifies a piece at the origin.
type piece struct {
	model   string
	version int64
	number  int
}

// versions holds the manifests of the versions that are kept in a store. The zero value is
// empty. All methods may be called concurrently.
type versions struct {
	mu sync.Mutex
	// manifests holds the manifests by version. Versions with the same pieces share one
	// manifest of the store, which stays there until the last of them is dropped.
	manifests map[int64]*manifest
}

// of returns the manifest of a version, or nil.
func (v *versions) of(version int64) *manifest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.manifests[version]
}

// keep keeps a version with its encoded manifest in the store.
func (v *versions) keep(s *distributor.Store, m *manifest, encoded []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, err := s.Keep(m.version.Manifest, encoded); err != nil {
		return err
	}
	if v.manifests == nil {
		v.manifests = make(map[int64]*manifest)
	}
	if o := v.manifests[m.number]; o != nil && o.version.Manifest != m.version.Manifest {
		delete(v.manifests, m.number)
		if !v.isNeeded(o.version.Manifest) {
			s.Drop(o.version.Manifest)
		}
	}
	m.places = make(map[recorder.Digest]int, len(m.Chunks))
	for i, d := range m.Chunks {
		m.places[d] = i
	}
	v.manifests[m.number] = m
	return nil
}

// dropBefore drops the versions older than the given one from the store.
func (v *versions) dropBefore(s *distributor.Store, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var dropped []recorder.Digest
	for n, m := range v.manifests {
		if n < version {
			dropped = append(dropped, m.version.Manifest)
			delete(v.manifests, n)
		}
	}
	for _, d := range dropped {
		if !v.isNeeded(d) {
			s.Drop(d)
		}
	}
}

// isNeeded reports whether a version has the manifest with the digest.
func (v *versions) isNeeded(d recorder.Digest) bool {
	for _, m := range v.manifests {
		if m.version.Manifest == d {
			return true
		}
	}
	return false
}

// piece returns the piece with the digest of the newest version that has it: the origin doesn't
// send older versions for long.
func (v *versions) piece(d recorder.Digest) (piece, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var newest *manifest
	for _, m := range v.manifests {
		if m.has(d) && (newest == nil || m.number > newest.number) {
			newest = m
		}
	}
	if newest == nil {
		return piece{}, false
	}
	return piece{string(newest.version.Model), newest.number, newest.places[d]}, true
}

// isComplete reports whether the store has all pieces of the manifest.
func (m *manifest) isComplete(s *distributor.Store) bool {
	return !slices.ContainsFunc(m.Chunks, func(d recorder.Digest) bool { return !s.Has(d) })
}
