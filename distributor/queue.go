package distributor

import (
	"cmp"
	"slices"
)

// Queue is an ordered list of chunks that reach the instance's cell over the same
// path. The queues of a Plan are fetched concurrently, so that chunks that arrive
// over a slow link don't delay the others.
type Queue struct {
	// Level is the level from which the cell requests these chunks.
	Level Level
	// ViaSiblingRegion reports whether the chunks reach the instance's region
	// through a sibling region.
	ViaSiblingRegion bool
	// Leader reports whether the instance is ranked first in its cell.
	Leader bool
	// Chunks holds the chunk indexes in the order in which they are fetched.
	Chunks []int
}

// path returns how a chunk reaches the instance's cell: the level from which the
// cell requests it, and whether the instance's region requests it from a sibling
// region.
func (p *Plan) path(chunk int) (l Level, far bool) {
	l = OtherRegion
	if p.origin != nil && p.origin.self || p.origin == nil && p.root.ranked == 1 {
		l = FromOrigin
	}
	for g, n := p.self.parent, SameDomain; g.parent != nil && g != p.origin; g, n = g.parent, n+1 {
		if p.firstChild(g.parent, chunk) == g {
			continue
		}
		if n < l {
			l = n
		}
		far = n == OtherRegion
	}
	return l, far
}

// regionSize returns the number of ranked instances in the instance's region, at
// least 1.
func (p *Plan) regionSize() int {
	g := p.self
	for g.parent != p.root {
		g = g.parent
	}
	return max(1, g.instances())
}

// Queues returns the order in which the instance fetches all chunks. Chunks of one
// leader are listed in the order in which the leader fetches them, and each
// instance begins with a different leader, which spreads the load.
func (p *Plan) Queues() []Queue {
	type key struct {
		level Level
		far   bool
	}
	type item struct{ chunk, round, leader int }
	lead := make(map[key][]int)
	follow := make(map[key][]item)
	rounds := make(map[key][]int)
	n := len(p.self.parent.children)
	for i := range p.keys {
		var k key
		k.level, k.far = p.path(i)
		f := p.firstChild(p.self.parent, i)
		if f == p.self || f == nil {
			lead[k] = append(lead[k], i)
			continue
		}
		if rounds[k] == nil {
			rounds[k] = make([]int, n)
		}
		follow[k] = append(follow[k], item{i, rounds[k][f.index], (f.index - p.self.index + n) % n})
		rounds[k][f.index]++
	}
	var out []Queue
	for k, l := range lead {
		out = append(out, Queue{Level: k.level, ViaSiblingRegion: k.far, Leader: true, Chunks: l})
	}
	for k, l := range follow {
		slices.SortStableFunc(l, func(a, b item) int {
			return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.leader, b.leader))
		})
		x := Queue{Level: k.level, ViaSiblingRegion: k.far}
		for _, v := range l {
			x.Chunks = append(x.Chunks, v.chunk)
		}
		out = append(out, x)
	}
	return out
}
