package loader

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Engines of one failure domain must not all load at the same time, and all have
// to be done within the time that operators were promised.
func TestTurns(t *testing.T) {
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
		at := turnStart(place(list, "s", e.Address), learned, learned.Add(time.Second), within).Sub(learned)
		if at < 0 || at > within*3/4 {
			t.Errorf("%s begins after %s", e.ID, at)
		}
		count[fmt.Sprintf("%s at %s", e.Domain, at)]++
	}
	for k, n := range count {
		if n > 1 {
			t.Errorf("%d engines of %s", n, k)
		}
	}
	if len(count) != 12 {
		t.Errorf("%d turns", len(count))
	}
}

// Where the time of naming isn't known, the turns begin now and keep their order.
func TestTurnsWithoutTime(t *testing.T) {
	now := time.Unix(1000, 0)
	if at := turnStart(0, time.Time{}, now, 8*time.Second); !at.Equal(now) {
		t.Errorf("first turn at %s", at)
	}
	if at := turnStart(0.5, time.Time{}, now, 8*time.Second); !at.After(now) {
		t.Errorf("second turn at %s", at)
	}
}

// A newer version that can be served before the older one is due replaces it at
// once; one that is named later must not take the older one's place, because no
// engine would serve any version that is allowed.
func TestYields(t *testing.T) {
	l := &Loader{Within: 8 * time.Second, Link: 900 << 10}
	e := &resolver.Engine{Chunks: 96, ChunkSize: 24 << 10, Warm: 300 * time.Millisecond}
	learned := time.Unix(1000, 0)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, true}, {2 * time.Second, true}, {4 * time.Second, false}, {7 * time.Second, false}, {7300 * time.Millisecond, true}} {
		if got := l.yields(e, observer.TargetVersions{Version: 2, Learned: learned}, learned.Add(c.after)); got != c.want {
			t.Errorf("after %s: %t", c.after, got)
		}
	}
	if !l.yields(e, observer.TargetVersions{Version: 2}, learned) {
		t.Error("a version that was named at an unknown time is kept")
	}
}
