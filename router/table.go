package router

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Table holds the endpoints that a gateway knows. The zero value is ready. All
// methods may be called concurrently; those that read take no lock.
type Table struct {
	// Now is the clock against which reports age; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	view atomic.Pointer[view]
}

func (t *Table) now() time.Time {
	if t.Now == nil {
		return time.Now()
	}
	return t.Now()
}

// load returns the present view; nil before the first update.
func (t *Table) load() *view { return t.view.Load() }

// find returns the entry of the instance, or nil.
func (t *Table) find(instance recorder.Name) *entry {
	v := t.load()
	if v == nil {
		return nil
	}
	return v.entries[instance]
}

// Update stores a status and reports whether it was accepted.
//
// A status is accepted when its sequence is above the highest one seen of its
// boot id. An equal sequence is a duplicate received over another path. Boot ids
// have no order: a status with an unknown boot id is accepted, and one with an
// earlier boot id only if its sequence increases, so that the next status of the
// running process prevails. A new boot id ends an Avoid and clears the failures.
func (t *Table) Update(s Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.load()
	var e *entry
	if v != nil {
		e = v.entries[s.Instance]
	}
	if e == nil {
		e = &entry{seed: xxhash.Sum64String(string(s.Instance))}
	}
	if !e.isNewer(s.BootID, s.Sequence) {
		return false
	}
	old := e.status.Load()
	if old != nil && old.BootID != s.BootID {
		e.avoid.Store(0)
		e.recordSuccess()
	}
	e.observe(s.Limit, s.InFlight, s.Seen.UnixNano())
	e.status.Store(&s)
	if old == nil || old.Serves != s.Serves || old.State != s.State || old.Version != s.Version {
		t.publish(v, s.Instance, e)
	}
	return true
}

// publish stores a new view in which the instance has the entry; nil removes it.
// The caller must hold t.mu.
func (t *Table) publish(v *view, instance recorder.Name, e *entry) {
	m := map[recorder.Name]*entry{}
	if v != nil {
		m = maps.Clone(v.entries)
	}
	if e == nil {
		delete(m, instance)
	} else {
		m[instance] = e
	}
	t.view.Store(newView(m))
}

// Demote stores a state that a response or refusal of the endpoint reported, ahead
// of the status that will confirm it, and reports whether the state changed. It is
// ignored for a boot id other than the current one, and for Ready: only a status
// makes an endpoint ready.
func (t *Table) Demote(instance recorder.Name, bootID string, state State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(instance)
	if e == nil || state == Ready {
		return false
	}
	s := *e.status.Load()
	if s.BootID != bootID || s.State == state {
		return false
	}
	s.State = state
	e.status.Store(&s)
	t.publish(t.load(), instance, e)
	return true
}

// Remove removes the instance and reports whether it was present.
func (t *Table) Remove(instance recorder.Name) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.find(instance) == nil {
		return false
	}
	t.publish(t.load(), instance, nil)
	return true
}

// Expire removes the endpoints whose last status is older than age and returns
// their instances.
func (t *Table) Expire(now time.Time, age time.Duration) []recorder.Name {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.load()
	if v == nil {
		return nil
	}
	var gone []recorder.Name
	for n, e := range v.entries {
		if now.Sub(e.status.Load().Seen) > age {
			gone = append(gone, n)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	m := maps.Clone(v.entries)
	for _, n := range gone {
		delete(m, n)
	}
	t.view.Store(newView(m))
	slices.Sort(gone)
	return gone
}

// Observe stores the limit and the requests in flight that a response of the
// endpoint reported.
func (t *Table) Observe(instance recorder.Name, limit, inFlight int) {
	if e := t.find(instance); e != nil {
		e.observe(limit, inFlight, t.now().UnixNano())
	}
}

// Avoid prevents the endpoint from being picked until the given time, or until a
// later time set before.
func (t *Table) Avoid(instance recorder.Name, until time.Time) {
	e := t.find(instance)
	if e == nil {
		return
	}
	for n := until.UnixNano(); ; {
		old := e.avoid.Load()
		if old >= n || e.avoid.CompareAndSwap(old, n) {
			return
		}
	}
}

// Get returns the last status of the instance with the load last reported.
func (t *Table) Get(instance recorder.Name) (Endpoint, bool) {
	e := t.find(instance)
	if e == nil {
		return Endpoint{}, false
	}
	return e.endpoint(), true
}

// endpoint returns the status with the limit and load last reported.
func (e *entry) endpoint() Endpoint {
	s := *e.status.Load()
	w := e.report.Load()
	s.Limit, s.InFlight = int(w>>(2*fieldBits)), int(w>>fieldBits&fieldMax)
	return s
}

// Each returns an iterator over the endpoints in order of instance. Use it instead
// of All, which copies all endpoints, where it runs many times a second.
func (t *Table) Each() iter.Seq[Endpoint] {
	return func(yield func(Endpoint) bool) {
		v := t.load()
		if v == nil {
			return
		}
		for _, e := range v.sorted {
			if !yield(e.endpoint()) {
				return
			}
		}
	}
}

// All returns the endpoints sorted by instance.
func (t *Table) All() []Endpoint { return slices.Collect(t.Each()) }

// Summaries returns the sums over the ready endpoints for each combination of
// Serves and Version that any endpoint has in any state, sorted by both.
func (t *Table) Summaries() []Summary {
	sums := map[groupKey]Summary{}
	for _, e := range t.All() {
		k := groupKey{e.Serves, e.Version}
		s := sums[k]
		s.Serves, s.Version = e.Serves, e.Version
		if e.State == Ready {
			s.Ready++
			s.Limit += e.Limit
			s.InFlight += e.InFlight
		}
		sums[k] = s
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Serves, b.Serves), cmp.Compare(a.Version, b.Version))
	})
}
