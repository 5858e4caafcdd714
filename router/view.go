package router

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// meanMaxAge is how long the mean load of a group is cached. It limits the scans of
// a large group to 200 per second.
const meanMaxAge = 5 * time.Millisecond

// view is an immutable index of the entries of a table.
type view struct {
	entries map[recorder.Name]*entry
	// sorted holds the entries in order of instance.
	sorted []*entry
	// groups holds the ready endpoints by what they serve, and once more by
	// version; an empty version stands for all.
	groups map[groupKey]*group
}

type groupKey struct {
	serves  string
	version recorder.Name
}

// group is a set of ready endpoints, sorted by instance. The slices have equal
// lengths and do not change.
type group struct {
	entries []*entry
	// seeds holds the seeds of the entries in contiguous memory for rank.
	seeds []uint64

	// mean caches the result of meanLoad as float bits, and meanAt its time in
	// nanoseconds.
	mean   atomic.Uint64
	meanAt atomic.Int64
}

// newView builds the groups of the entries.
func newView(entries map[recorder.Name]*entry) *view {
	v := &view{entries: entries, sorted: make([]*entry, 0, len(entries)), groups: map[groupKey]*group{}}
	for _, n := range sortedNames(entries) {
		e := entries[n]
		v.sorted = append(v.sorted, e)
		s := e.status.Load()
		if s.State != Ready {
			continue
		}
		v.add(groupKey{serves: s.Serves}, e)
		if s.Version != "" {
			v.add(groupKey{s.Serves, s.Version}, e)
		}
	}
	return v
}

func (v *view) add(k groupKey, e *entry) {
	g := v.groups[k]
	if g == nil {
		g = &group{}
		g.meanAt.Store(math.MinInt64)
		v.groups[k] = g
	}
	g.entries = append(g.entries, e)
	g.seeds = append(g.seeds, e.seed)
}

func sortedNames(m map[recorder.Name]*entry) []recorder.Name {
	names := make([]recorder.Name, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.SortFunc(names, cmp.Compare[recorder.Name])
	return names
}

// meanLoad returns the requests in flight divided by the limits, at most
// meanMaxAge old.
func (g *group) meanLoad(now int64) float64 {
	if at := g.meanAt.Load(); at <= now && now-at < int64(meanMaxAge) && at != math.MinInt64 {
		return math.Float64frombits(g.mean.Load())
	}
	var limits int64
	var inFlight float64
	for _, e := range g.entries {
		l, n := e.load(now)
		limits += l
		inFlight += n
	}
	m := inFlight / float64(max(limits, 1))
	g.mean.Store(math.Float64bits(m))
	g.meanAt.Store(now)
	return m
}
