package loader

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Engines of one failure domain must not load at the same time, and every load must
// start early enough to meet the deadline of the version.
func TestLoadStarts(t *testing.T) {
	list := make(map[string]*observer.Endpoint)
	for i := range 12 {
		id := fmt.Sprintf("e%d", i)
		list[id] = &observer.Endpoint{
			ID: id, Service: "s", Domain: fmt.Sprintf("d%d", i%3),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i % 3), byte(i)}), 80),
		}
	}
	const within = 8 * time.Second
	learned := time.Unix(1000, 0)
	count := make(map[string]int)
	for _, e := range list {
		at := loadStart(place(list, "s", e.Address), learned, learned.Add(time.Second), time.Time{}, within).Sub(learned)
		if at < 0 || at > within*3/4 {
			t.Errorf("%s starts to load after %s, want 0 to 6 s", e.ID, at)
		}
		count[fmt.Sprintf("%s at %s", e.Domain, at)]++
	}
	for k, n := range count {
		if n > 1 {
			t.Errorf("%d engines of %s, want 1", n, k)
		}
	}
	if len(count) != 12 {
		t.Errorf("%d start times, want 12", len(count))
	}
}

// If it isn't known when the target was learned, the loads start now, in the same order.
func TestLoadStartsWithoutLearnedTime(t *testing.T) {
	now := time.Unix(1000, 0)
	if at := loadStart(0, time.Time{}, now, time.Time{}, 8*time.Second); !at.Equal(now) {
		t.Errorf("first load starts at %s, want now", at)
	}
	if at := loadStart(0.5, time.Time{}, now, time.Time{}, 8*time.Second); !at.After(now) {
		t.Errorf("second load starts at %s, want later than now", at)
	}
}

// Every engine must get its turn to load a superseded version while that is of use. The
// last ones got theirs too late, loaded nothing, and had no version to serve for 5 s.
func TestLoadStartsOfSupersededVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	latest := now.Add(1300 * time.Millisecond)
	var last time.Time
	for i := range 28 {
		at := loadStart(float64(i)/28, time.Time{}, now, latest, 8*time.Second)
		if at.Before(now) || !at.Before(latest) || i > 0 && !at.After(last) {
			t.Errorf("place %d of 28 loads at %s, after %s", i, at.Sub(now), last.Sub(now))
		}
		last = at
	}
	if at := loadStart(0.9, time.Time{}, now, now.Add(-time.Second), 8*time.Second); !at.Equal(now) {
		t.Errorf("loads after %s though it is late, want 0 s", at.Sub(now))
	}
}

// A newer version that can be served before the deadline of the older one replaces it at
// once. One that becomes the target later must not, because at the deadline no engine
// would serve a version that is allowed.
func TestYields(t *testing.T) {
	l := &Loader{MaxVersionDelay: 8 * time.Second, Link: 900 << 10}
	e := &resolver.Engine{Chunks: 96, ChunkSize: 24 << 10, Warm: 300 * time.Millisecond}
	learned := time.Unix(1000, 0)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, true}, {2 * time.Second, true}, {4 * time.Second, false}, {7 * time.Second, false}, {7300 * time.Millisecond, true}} {
		if got := l.yields(e, observer.TargetVersions{Version: 2, Since: learned}, learned.Add(c.after)); got != c.want {
			t.Errorf("after %s: yields %t", c.after, got)
		}
	}
	if !l.yields(e, observer.TargetVersions{Version: 2}, learned) {
		t.Error("a version whose learned time is unknown doesn't yield")
	}
}
