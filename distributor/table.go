package distributor

import "sync"

// firstTable holds the child of a group that is ranked first, for every chunk. It is
// filled when it is first needed, since an instance asks few other groups.
type firstTable struct {
	once  sync.Once
	first []uint16
}

// firstChild returns the child of g that is ranked firstChild for a chunk, or nil where
// no child is ranked. The origin's region is ranked apart from the others.
func (p *Plan) firstChild(g *group, chunk int) *group {
	g.table.once.Do(func() { g.table.first = p.rankFirst(g) })
	if n := int(g.table.first[chunk]); n < len(g.children) {
		return g.children[n]
	}
	return nil
}

// copiesSent returns how many copies the instance copiesSent that is ranked first for a
// chunk in every group from g downwards, apart from those below g.
func (p *Plan) copiesSent(g *group, chunk int) int {
	n := 0
	for ; g != nil; g = g.parent {
		n += g.ranked - 1
		switch {
		case g == p.root && p.origin != nil && p.origin.ranked > 0:
			// The origin's region is not among the siblings that ask.
			n--
		case g == p.origin && p.root.ranked > 1:
			// The first of the other regions asks the origin's region.
			return n + 1
		}
		if g.parent != nil && p.firstChild(g.parent, chunk) != g {
			return n
		}
	}
	return n
}

// rankFirst returns the index of the child ranked first for each chunk; the number
// of children means none. The child with the highest score is first, unless it
// would send more than its share of copies; then the next one is. Without this
// bound the shares of few chunks differ by a fifth and the instance with the
// largest determines the time of a burst.
func (p *Plan) rankFirst(g *group) []uint16 {
	out := make([]uint16, len(p.keys))
	var ranked []*group
	for _, c := range g.children {
		if c.ranked > 0 && c != p.origin {
			ranked = append(ranked, c)
		}
	}
	sends := make([]uint16, len(p.keys))
	total := 0
	for i := range p.keys {
		sends[i] = uint16(max(p.copiesSent(g, i), 1))
		total += int(sends[i])
	}
	limit := total
	if len(ranked) > 0 {
		limit = (total + len(ranked) - 1) / len(ranked)
	}
	load := make([]int, len(g.children))
	for i, k := range p.keys {
		out[i] = uint16(len(g.children))
		var best uint64
		for _, c := range ranked {
			if load[c.index] >= limit {
				continue
			}
			if s := c.score(k); s > best {
				best, out[i] = s, uint16(c.index)
			}
		}
		if best > 0 {
			load[out[i]] += int(sends[i])
		}
	}
	return out
}
