package distributor_test

import (
	"bytes"
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// weights is a version with its manifest and chunks.
type weights struct {
	whole    []byte
	encoded  []byte
	manifest *recorder.Manifest
	version  recorder.Version
	blobs    map[recorder.Digest][]byte
}

// newWeights makes chunks of the smallest size; chunk i is filled with fill[i].
func newWeights(fill string) *weights {
	w := &weights{blobs: make(map[recorder.Digest][]byte)}
	for i := range len(fill) {
		w.whole = append(w.whole, bytes.Repeat([]byte{fill[i]}, recorder.MinChunkSize)...)
	}
	m, err := recorder.NewManifest(bytes.NewReader(w.whole), recorder.MinChunkSize, func(d recorder.Digest, b []byte) error {
		w.blobs[d] = bytes.Clone(b)
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	b, d, err := m.Encode()
	Expect(err).NotTo(HaveOccurred())
	w.blobs[d] = b
	w.encoded, w.manifest = b, m
	w.version = recorder.Version{Model: "m", Name: "v", Manifest: d, Digest: m.Digest, Size: m.Size}
	return w
}

// fill puts the first n chunks into the store.
func (w *weights) fill(s *distributor.Store, n int) {
	_, err := s.Keep(w.version.Manifest, w.encoded)
	Expect(err).NotTo(HaveOccurred())
	for _, d := range w.manifest.Chunks[:n] {
		Expect(s.Put(d, w.blobs[d])).To(Succeed())
	}
}

var _ = Describe("Store", func() {
	// Guards against a corrupted chunk that is accepted unverified and spreads to all peers.
	It("accepts only verified chunks of kept manifests", func() {
		w, s := newWeights("ab"), new(distributor.Store)
		d := w.manifest.Chunks[0]
		Expect(classifier.Of(s.Put(d, w.blobs[d]))).To(Equal(classifier.Refused))
		w.fill(s, 0)
		Expect(classifier.Of(s.Put(d, w.blobs[w.manifest.Chunks[1]]))).To(Equal(classifier.Invalid))
		Expect(s.Has(d)).To(BeFalse())
		Expect(s.Put(d, w.blobs[d])).To(Succeed())
		Expect(s.Has(d)).To(BeTrue())
	})

	// Guards against weights over the memory limit, which would end the process and the
	// guard of its engine with it.
	It("reserves the memory of a version before its chunks arrive", func() {
		a, b := newWeights("abc"), newWeights("cd")
		s := &distributor.Store{Limit: 4*recorder.MinChunkSize + 2000}
		a.fill(s, 0)
		_, err := s.Keep(b.version.Manifest, b.encoded)
		Expect(err).NotTo(HaveOccurred(), "the versions share chunk c")
		c := newWeights("e")
		_, err = s.Keep(c.version.Manifest, c.encoded)
		Expect(classifier.Of(err)).To(Equal(classifier.Exhausted))
		s.Drop(a.version.Manifest)
		_, err = s.Keep(c.version.Manifest, c.encoded)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against chunks of a superseded version that fill the memory, and
	// against dropped chunks of the next version, which would be fetched twice.
	It("drops only the chunks that no kept version needs", func() {
		a, b, s := newWeights("aab"), newWeights("bc"), new(distributor.Store)
		a.fill(s, 3)
		b.fill(s, 2)
		s.Drop(a.version.Manifest)
		Expect(s.Has(a.manifest.Chunks[0])).To(BeFalse())
		Expect(s.Has(b.manifest.Chunks[0])).To(BeTrue())
		Expect(s.Usage().Reserved).To(BeNumerically("==", len(b.whole)+len(b.encoded)))
		s.Drop(b.version.Manifest)
		Expect(s.Usage()).To(Equal(distributor.Usage{}))
	})

	// Guards against an engine that gets a mix of two versions when one is superseded
	// while it reads.
	It("reads a whole version, even after it is dropped", func() {
		w, s := newWeights("abca"), new(distributor.Store)
		w.fill(s, 2)
		_, err := s.Open(w.version.Manifest)
		Expect(classifier.Of(err)).To(Equal(classifier.Unavailable))
		w.fill(s, 3)
		r, err := s.Open(w.version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		s.Drop(w.version.Manifest)
		Expect(io.ReadAll(r)).To(Equal(w.whole))
		_, err = s.Open(w.version.Manifest)
		Expect(classifier.Of(err)).To(Equal(classifier.NotFound))
	})

	// Guards against a waiting peer that misses the arrival of a chunk and needlessly asks
	// the next source.
	It("wakes waiting callers, even for a version that is not kept yet", func() {
		w, s := newWeights("a"), new(distributor.Store)
		done := make(chan []byte)
		go func() {
			b, _ := s.Wait(context.Background(), w.manifest.Chunks[0])
			done <- b
		}()
		w.fill(s, 1)
		Eventually(done).Should(Receive(Equal(w.whole)))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := s.Wait(ctx, recorder.Digest{1})
		Expect(err).To(MatchError(context.Canceled))
	})
})
