package distributor

import "sync"

// firstTable holds, for every chunk, the child of a group that is ranked first. It
// is filled on first use, since an instance asks few groups besides its own.
type firstTable struct {
	once  sync.Once
	first []uint16
}

// firstChild returns the child of g that is ranked first for a chunk, or nil if
// no child is ranked. The region of the origin is excluded here.
func (p *Plan) firstChild(g *group, chunk int) *group {
	g.table.once.Do(func() { g.table.first = p.rankFirst(g) })
	if n := int(g.table.first[chunk]); n < len(g.children) {
		return g.children[n]
	}
	return nil
}

// copiesSent returns how many copies of a chunk are sent by the instance that is
// ranked first in g and in all groups below it, without the copies sent below g.
func (p *Plan) copiesSent(g *group, chunk int) int {
	n := 0
	for ; g != nil; g = g.parent {
		n += g.ranked - 1
		switch {
		case g == p.root && p.origin != nil && p.origin.ranked > 0:
			// The origin's region doesn't ask its siblings.
			n--
		case g == p.origin && p.root.ranked > 1:
			// Of the other regions, only the one ranked first asks the origin's.
			return n + 1
		}
		if g.parent != nil && p.firstChild(g.parent, chunk) != g {
			return n
		}
	}
	return n
}

// rankFirst returns the index of the child ranked first for each chunk, or the
// number of children if none is ranked. The child with the highest score is first
// unless it would send more than its share of copies; then the next one is.
// Without this limit the shares differ by a fifth when there are few chunks, and
// the instance with the largest share determines the duration of a burst.
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
