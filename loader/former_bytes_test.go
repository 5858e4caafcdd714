package loader_test

import (
	"testing"
	"time"
)

// Guards against an engine that stays empty for good once it has crashed, because a version was
// dropped whose pieces a newer one has as well.
func TestVersionsThatShareBytes(t *testing.T) {
	for _, c := range []struct {
		name  string
		alike alike
		// named holds the versions that are loaded one after the other.
		named []int64
		// skipped is a version that is named right before the last one and never loaded.
		skipped int64
	}{
		{"version 3 has the bytes of version 1", alike{3: {1, 0}}, []int64{1, 2, 3}, 0},
		{"version 3 has the bytes of version 1, and version 2 is superseded", alike{3: {1, 0}}, []int64{1, 3}, 2},
		{"version 2 has the bytes of version 1", alike{2: {1, 0}}, []int64{1, 2}, 0},
		{"three versions have the same bytes", alike{2: {1, 0}, 3: {1, 0}}, []int64{1, 2, 3}, 0},
		{"version 3 shares half of its pieces with version 1", alike{3: {1, pieces / 2}}, []int64{1, 2, 3}, 0},
		{"no piece is shared", nil, []int64{1, 2, 3}, 0},
	} {
		for _, lost := range []bool{false, true} {
			name := c.name
			if lost {
				name += "; the engine loses the staged pieces"
			}
			t.Run(name, func(t *testing.T) {
				f := newFixture()
				f.engine.alike, f.origin.alike = c.alike, c.alike
				for _, v := range c.named {
					if v == c.named[len(c.named)-1] && c.skipped > 0 {
						f.put("version", string(rune('0'+c.skipped)))
					}
					f.put("version", string(rune('0'+v)))
					// The origin sends the newest version and the one before it.
					f.origin.oldest = v - 1
					f.run(t, v)
					f.checkLoadedPieces(t)
				}
				f.engine.restart(lost)
				f.run(t, c.named[len(c.named)-1])
				f.checkLoadedPieces(t)
				if got, want := f.loader.Store.Usage().Manifests, 1; got > want+1 {
					t.Errorf("%d manifests are kept, want %d or one more", got, want)
				}
			})
		}
	}
}

// restart lets the engine start again without loaded weights, and without staged pieces if they
// are lost.
func (e *engine) restart(lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started, e.loaded, e.orders = e.started.Add(time.Second), 0, 0
	if lost {
		clear(e.staged)
	}
}
