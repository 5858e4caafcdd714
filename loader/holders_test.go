package loader

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// An engine that is added must not be ranked as a first source of chunks that others in
// its failure domain already have. A new version must be distributed by all engines.
func TestEmpty(t *testing.T) {
	for _, c := range []struct {
		name           string
		holders, empty int
		draining       int
		version        int64
		want           int
	}{
		{"added", 5, 4, 0, 1, 4},
		{"as many", 4, 4, 0, 1, 4},
		{"few holders", 2, 4, 0, 1, 0},
		{"holders drain", 4, 4, 2, 1, 0},
		{"new version", 5, 0, 0, 2, 0},
		{"all empty", 0, 3, 0, 1, 0},
	} {
		list := make(map[string]*observer.Endpoint)
		for i := range c.holders + c.empty {
			id := fmt.Sprintf("e%d", i)
			e := &observer.Endpoint{
				ID: id, Service: "s", Domain: "d", Draining: i < c.draining,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			}
			if i < c.holders {
				e.Versions = map[string]int64{"m": 1}
			}
			list[id] = e
		}
		list["other"] = &observer.Endpoint{ID: "other", Service: "t", Domain: "d"}
		list["far"] = &observer.Endpoint{ID: "far", Service: "s", Domain: "far"}
		if got := EmptyEndpoints(list, "s", "m", c.version); len(got) != c.want {
			t.Errorf("%s: %d endpoints are empty, want %d", c.name, len(got), c.want)
		}
	}
}
