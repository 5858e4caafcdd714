package distributor

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// cellSize limits the number of instances in a cell. It bounds the number of
// peers of an instance as a failure domain grows.
const cellSize = 32

// group is a node of the tree of members: the root, a region, a failure
// domain, a cell or, without children, an instance.
type group struct {
	name   string
	seed   uint64
	parent *group
	// index is the position among the children of the parent.
	index    int
	children []*group
	member   Member
	// ranked is the number of children that take part in ranking; for an instance,
	// 1 if it takes part itself, otherwise 0.
	ranked int
	// self marks a group that contains the asking instance.
	self bool
	// table holds the child that is ranked first for each chunk.
	table firstTable
}

func newGroup(parent *group, name string) *group {
	g := &group{name: name, parent: parent, seed: xxhash.Sum64String(name)}
	if parent != nil {
		g.index = len(parent.children)
		parent.children = append(parent.children, g)
	}
	return g
}

// score returns the rendezvous hash of the group for a chunk; it is never 0.
func (g *group) score(key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], g.seed)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:]) | 1
}

// newTree builds the tree of members and returns its root and the leaf of self.
// The leaf of self is added even if the list lacks self. It is then not ranked,
// because no other instance ranks it.
func newTree(members []Member, self Member) (root, own *group) {
	type node struct {
		Member
		hash     uint64
		unlisted bool
	}
	var nodes []node
	listed := false
	for _, m := range members {
		listed = listed || m.Instance == self.Instance
		nodes = append(nodes, node{Member: m, hash: xxhash.Sum64String(string(m.Instance))})
	}
	if !listed {
		nodes = append(nodes, node{Member: self, hash: xxhash.Sum64String(string(self.Instance)), unlisted: true})
	}
	slices.SortFunc(nodes, func(a, b node) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(a.hash, b.hash), cmp.Compare(a.Instance, b.Instance))
	})
	root = newGroup(nil, "")
	var region *group
	for i := 0; i < len(nodes); {
		n := nodes[i]
		if region == nil || region.name != string(n.Region) {
			region = newGroup(root, string(n.Region))
		}
		domain := newGroup(region, string(n.FailureDomain))
		j := i
		for j < len(nodes) && nodes[j].Region == n.Region && nodes[j].FailureDomain == n.FailureDomain {
			j++
		}
		// Cells are consecutive ranges of about equal size in hash order, so a
		// joining instance moves at most one instance across each boundary.
		cells := (j - i + cellSize - 1) / cellSize
		for c := range cells {
			cell := newGroup(domain, "cell-"+strconv.Itoa(c))
			for _, m := range nodes[i+(j-i)*c/cells : i+(j-i)*(c+1)/cells] {
				leaf := newGroup(cell, string(m.Instance))
				leaf.member = m.Member
				if !m.Leaving && !m.Empty && !m.unlisted {
					leaf.ranked = 1
				}
				if m.Instance == self.Instance {
					own = leaf
				}
			}
		}
		i = j
	}
	root.count()
	for g := own; g != nil; g = g.parent {
		g.self = true
	}
	return root, own
}

// count sets ranked from the leaves up.
func (g *group) count() {
	for _, c := range g.children {
		c.count()
		if c.ranked > 0 {
			g.ranked++
		}
	}
}

// instances returns the number of ranked instances in the group.
func (g *group) instances() int {
	if len(g.children) == 0 {
		return g.ranked
	}
	n := 0
	for _, c := range g.children {
		n += c.instances()
	}
	return n
}
