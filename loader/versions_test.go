package loader

import (
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// keepTestVersion keeps a version whose first pieces have the given first bytes.
func keepTestVersion(t *testing.T, l *Loader, version int64, pieces string) {
	t.Helper()
	e, _ := l.engine()
	digests := make([][32]byte, testChunks)
	for i := range digests {
		digests[i] = recorder.DigestOf([]byte(pieces[i : i+1]))
	}
	if _, err := l.keep(e, version, digests); err != nil {
		t.Fatal(err)
	}
}

// Guards against a piece that is asked for under a version which the origin doesn't send any more,
// or that isn't found because a version was learned after a newer one, or dropped.
func TestPieceOfNewestVersion(t *testing.T) {
	for _, order := range [][]int64{{1, 2, 3}, {3, 2, 1}, {2, 3, 1}} {
		l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
		l.versions.dropBefore(l.Store, 3)
		bytes := map[int64]string{1: "abcdefgh", 2: "ABCDefgh", 3: "zbxdEFgh"}
		for _, v := range order {
			keepTestVersion(t, l, v, bytes[v])
		}
		check := func(of string, version int64, number int) {
			t.Helper()
			p, ok := l.versions.piece(recorder.DigestOf([]byte(of)))
			if ok != (version > 0) || p.version != version || p.number != number {
				t.Errorf("order %v: piece %s is %d of version %d, want %d of %d", order, of, p.number, p.version, number, version)
			}
		}
		check("b", 3, 1)
		check("g", 3, 6)
		check("e", 2, 4)
		check("a", 1, 0)
		l.versions.dropBefore(l.Store, 2)
		check("a", 0, 0)
		check("b", 3, 1)
		l.versions.dropBefore(l.Store, 3)
		check("e", 0, 0)
		check("g", 3, 6)
		if n := l.Store.Usage().Manifests; n != 1 {
			t.Errorf("order %v: %d manifests are kept, want 1", order, n)
		}
	}
}

// Guards against a manifest that is freed while a version needs it, and against one that is never
// freed.
func TestVersionsWithOneManifest(t *testing.T) {
	l, _, _, _ := newTestLoader(t, "127.0.0.4:1")
	l.versions.dropBefore(l.Store, 3)
	const pieces = "abcdefgh"
	keepTestVersion(t, l, 1, pieces)
	keepTestVersion(t, l, 2, "ABCDEFGH")
	keepTestVersion(t, l, 3, pieces)
	keepTestVersion(t, l, 3, pieces)
	l.versions.dropBefore(l.Store, 3)
	if err := l.Store.Put(recorder.DigestOf([]byte("a")), []byte("a")); err != nil {
		t.Errorf("a piece of the version that is left: %v", err)
	}
	l.versions.dropBefore(l.Store, 4)
	if u := l.Store.Usage(); u.Manifests != 0 || u.Reserved != 0 {
		t.Errorf("in use after the last version was dropped: %+v", u)
	}
}

// Guards against a fetch without an end and without a line in the log, when the store doesn't have
// the manifest of the version.
func TestFetchOfVersionThatIsNotKept(t *testing.T) {
	l, _, m, _ := newTestLoader(t, "127.0.0.4:1")
	l.Store.Drop(m.version.Manifest)
	l.superseded.Store(2)
	if err := l.supersededStep(t.Context()); err == nil || !strings.Contains(err.Error(), "isn't kept") {
		t.Errorf("got error %v", err)
	}
}
