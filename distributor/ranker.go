package distributor

import (
	"encoding/binary"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Limits on the sources listed for a chunk at each level.
const (
	// maxHigherRanked is the number of higher-ranked groups that are asked before
	// the level above.
	maxHigherRanked = 3
	// maxLowerRanked is the number of lower-ranked groups that are asked after the
	// origin failed.
	maxLowerRanked = 2
)

// Ranker ranks the sources of chunks from the position of one instance in the tree.
type Ranker struct {
	// Self is the instance that fetches the chunks.
	Self Member
	// OriginRegion is the region of the origin; it is ranked first for every chunk.
	OriginRegion recorder.Name
}

// Plan holds the sources of the chunks of one version, ranked for one list of
// members. It is safe for concurrent use.
type Plan struct {
	root, self *group
	// origin is the group of the origin's region; nil if the region has no members.
	origin *group
	keys   []uint64
}

// Plan ranks the members for the chunks. The list may lack Self; Self then asks the
// listed members, and no instance waits for Self.
func (r Ranker) Plan(members []Member, chunks []recorder.Digest) *Plan {
	p := &Plan{keys: make([]uint64, len(chunks))}
	for i, d := range chunks {
		p.keys[i] = binary.LittleEndian.Uint64(d[:8])
	}
	p.root, p.self = newTree(members, r.Self)
	for _, g := range p.root.children {
		if g.name == string(r.OriginRegion) {
			p.origin = g
		}
	}
	return p
}

// scoredChild is a child of a group with its score for a chunk.
type scoredChild struct {
	group *group
	score uint64
}

// topChildren stores the highest-scored children of g whose score lies strictly
// between low and high in dst, in descending order, and returns the filled part.
func (p *Plan) topChildren(g *group, chunk int, low, high uint64, dst []scoredChild) []scoredChild {
	n := 0
	f, key := p.firstChild(g, chunk), p.keys[chunk]
	for _, c := range g.children {
		if c.ranked == 0 || c == p.origin {
			continue
		}
		s := firstScore
		if c != f {
			s = c.score(key)
		}
		if s <= low || s >= high || n == len(dst) && s <= dst[n-1].score {
			continue
		}
		if n < len(dst) {
			n++
		}
		i := n - 1
		for i > 0 && dst[i-1].score < s {
			dst[i] = dst[i-1]
			i--
		}
		dst[i] = scoredChild{c, s}
	}
	return dst[:n]
}

// firstScore is the score of the child that is ranked first for a chunk.
const firstScore uint64 = 1<<64 - 2

// score returns the score of a group among its siblings, or 0 if the group is not
// ranked.
func (p *Plan) score(g *group, chunk int) uint64 {
	if g.ranked == 0 {
		return 0
	}
	if p.firstChild(g.parent, chunk) == g {
		return firstScore
	}
	return g.score(p.keys[chunk])
}

// leader returns the instance of the group that is ranked first for a chunk,
// or nil if no instance of the group is ranked.
func (p *Plan) leader(g *group, chunk int) *group {
	for g != nil && len(g.children) > 0 {
		g = p.firstChild(g, chunk)
	}
	return g
}

// Sources returns the sources to ask for a chunk, in order: higher-ranked
// instances from the asking instance's cell up to other regions, the origin, and
// lower-ranked instances.
func (p *Plan) Sources(chunk int) []Source {
	var buf [maxHigherRanked]scoredChild
	out := make([]Source, 0, 24)
	for g, l := p.self, SameCell; g.parent != nil; g, l = g.parent, l+1 {
		if g == p.origin {
			break
		}
		ahead := p.topChildren(g.parent, chunk, p.score(g, chunk), ^uint64(0), buf[:])
		for _, a := range ahead {
			out = p.appendLeaders(out, a.group, chunk, l)
		}
	}
	if p.origin != nil && !p.origin.self {
		out = p.appendLeaders(out, p.origin, chunk, OtherRegion)
	}
	out = append(out, Source{Level: FromOrigin})
	for g, l := p.self, SameCell; g.parent != nil && g != p.origin; g, l = g.parent, l+1 {
		for _, b := range p.topChildren(g.parent, chunk, 0, p.score(g, chunk), buf[:maxLowerRanked]) {
			if m := p.leader(b.group, chunk); m != nil {
				out = append(out, Source{Member: m.member, Level: l, LowerRanked: true})
			}
		}
	}
	return p.appendOtherRegions(out, chunk)
}

// leads reports whether this instance is ranked first in the group for a chunk.
func (p *Plan) leads(g *group, chunk int) bool {
	for c := p.self; c != g; c = c.parent {
		if p.firstChild(c.parent, chunk) != c {
			return false
		}
	}
	return true
}

// appendOtherRegions appends, for the leader of the origin's region, the leaders of other
// regions. They may hold the chunk if the origin sent it to them while this region was cut
// off, or before the origin became unavailable.
func (p *Plan) appendOtherRegions(out []Source, chunk int) []Source {
	if p.origin == nil || !p.origin.self || !p.leads(p.origin, chunk) {
		return out
	}
	var buf [maxLowerRanked]scoredChild
	for _, b := range p.topChildren(p.root, chunk, 0, ^uint64(0), buf[:]) {
		if m := p.leader(b.group, chunk); m != nil {
			out = append(out, Source{Member: m.member, Level: OtherRegion, LowerRanked: true})
		}
	}
	return out
}

// appendLeaders appends the instance that is ranked first in the group and, if the
// group contains other instances, the one that replaces it on failure.
func (p *Plan) appendLeaders(out []Source, g *group, chunk int, l Level) []Source {
	m := p.leader(g, chunk)
	if m == nil {
		return out
	}
	out = append(out, Source{Member: m.member, Level: l})
	if m == g {
		return out
	}
	var buf [1]scoredChild
	for _, s := range p.topChildren(m.parent, chunk, 0, p.score(m, chunk), buf[:]) {
		out = append(out, Source{Member: s.group.member, Level: l})
	}
	return out
}
