package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// DefaultAffinityFactor is the multiple of the mean load up to which the endpoint
// of a prefix keeps its requests.
const DefaultAffinityFactor = 1.25

// affinityFloor is the load, as a share of the limit, up to which the endpoint of a
// prefix keeps its requests regardless of the mean. Near idle, one request is many
// times the mean.
const affinityFloor = 0.25

// maxDraws is the number of pairs drawn before all endpoints are compared. Eight
// draws miss the usable part of the endpoints in less than 1 of 250 picks while
// at least half of them are usable.
const maxDraws = 4

// Reason tells how an endpoint was selected.
type Reason string

// The reasons.
const (
	// PrefixFirst: the endpoint ranks first for the prefix.
	PrefixFirst Reason = "prefix-first"
	// PrefixSecond: the endpoint ranks second, and the first was loaded or unusable.
	PrefixSecond Reason = "prefix-second"
	// TwoChoices: the endpoint is the less loaded of two.
	TwoChoices Reason = "two-choices"
	// LeastLoaded: most endpoints cannot be used; this is the least loaded.
	LeastLoaded Reason = "least-loaded"
	// LastResort: the endpoint failed recently, and no other can be used.
	LastResort Reason = "last-resort"
)

// Request describes a request that needs an endpoint.
type Request struct {
	// Serves is what the endpoint has to serve.
	Serves string
	// Version is the version that the endpoint has to serve; empty for any.
	Version recorder.Name
	// Prefix is the hash of the prompt prefix; 0 for none. See PrefixHash.
	Prefix uint64
	// Exclude lists the instances that have already been tried.
	Exclude []recorder.Name
}

// Pick is a selected endpoint. It counts as one request in flight until Done.
type Pick struct {
	// Endpoint is a copy of the endpoint's status.
	Endpoint Endpoint
	// Reason tells how the endpoint was selected.
	Reason Reason

	entry *entry
}

// Done ends the request. Further calls do nothing.
func (p *Pick) Done() {
	if p.entry != nil {
		p.entry.ownInFlight.Add(-1)
		p.entry = nil
	}
}

// Failed records that the endpoint failed the request: the connection broke or the
// engine returned an error. The endpoint is then picked only when no other can be,
// for a time that doubles with each consecutive failure. A refusal is not a failure.
func (p *Pick) Failed(now time.Time) {
	if p.entry != nil {
		p.entry.recordFailure(now.UnixNano())
	}
}

// Succeeded records that the endpoint served the request, which resets its
// consecutive failures.
func (p *Pick) Succeeded() {
	if p.entry != nil {
		p.entry.recordSuccess()
	}
}

// Picker selects endpoints of a table. Pick may be called concurrently and
// allocates nothing unless it fails.
type Picker struct {
	// Table holds the endpoints.
	Table *Table
	// Rand returns a number in [0, n); nil means rand.IntN.
	Rand func(n int) int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// AffinityFactor bounds the load of the endpoint of a prefix: above the mean
	// times the factor it is not preferred. 0 means DefaultAffinityFactor; a
	// negative value disables prefix affinity.
	AffinityFactor float64
}

// Pick selects an endpoint for the request. The error is of kind Exhausted when
// ready endpoints are at their limits and of kind Unavailable when there is none
// that may be tried.
func (p *Picker) Pick(r Request) (Pick, error) {
	var g *group
	if v := p.Table.load(); v != nil {
		g = v.groups[groupKey{r.Serves, r.Version}]
	}
	if g == nil {
		return Pick{}, newPickError(classifier.Unavailable, "no endpoint of %s %s is ready", r.Serves, r.Version)
	}
	now := p.now()
	if r.Prefix != 0 && p.AffinityFactor >= 0 && len(g.entries) > 1 {
		if e, why := p.preferred(g, &r, now); e != nil {
			return e.pick(why), nil
		}
	}
	if e := p.draw(g, &r, now); e != nil {
		return e.pick(TwoChoices), nil
	}
	return p.scan(g, &r, now)
}

func (p *Picker) now() int64 {
	if p.Now == nil {
		return time.Now().UnixNano()
	}
	return p.Now().UnixNano()
}

func (p *Picker) rand(n int) int {
	if p.Rand == nil {
		return rand.IntN(n)
	}
	return p.Rand(n)
}

// preferred reserves the first or second endpoint in rank for the prefix, or
// returns nil.
func (p *Picker) preferred(g *group, r *Request, now int64) (*entry, Reason) {
	first, second := g.rank(r.Prefix)
	factor := p.AffinityFactor
	if factor == 0 {
		factor = DefaultAffinityFactor
	}
	most := max(g.meanLoad(now)*factor, affinityFloor)
	if e := g.entries[first]; e.hasRoom(most, now) && e.isUsable(r, now) && e.reserve(now) {
		return e, PrefixFirst
	}
	if e := g.entries[second]; e.hasRoom(most, now) && e.isUsable(r, now) && e.reserve(now) {
		return e, PrefixSecond
	}
	return nil, ""
}

// hasRoom reports whether the load is below the given share of the limit. An
// endpoint without requests always has room.
func (e *entry) hasRoom(most float64, now int64) bool {
	limit, n := e.load(now)
	return n < 1 || n < most*float64(limit)
}

// rank returns the indexes of the two endpoints that rank highest for a prefix by
// rendezvous hashing; g must have at least two.
func (g *group) rank(prefix uint64) (first, second int) {
	var a, b uint64
	for i, s := range g.seeds {
		switch h := mix(s ^ prefix); {
		case h > a:
			first, second, a, b = i, first, h, a
		case h > b:
			second, b = i, h
		}
	}
	return first, second
}

// draw reserves the less loaded of two random endpoints, or returns nil when
// maxDraws pairs had none that can be used.
func (p *Picker) draw(g *group, r *Request, now int64) *entry {
	n := len(g.entries)
	if n == 1 {
		return nil
	}
	for range maxDraws {
		i, j := p.rand(n), p.rand(n-1)
		if j >= i {
			j++
		}
		a, b := g.entries[i], g.entries[j]
		okA, okB := a.isUsable(r, now), b.isUsable(r, now)
		if okB && (!okA || b.isLess(a, now)) {
			a, okA = b, true
		}
		if okA && a.reserve(now) {
			return a
		}
	}
	return nil
}

// scan reserves the least loaded endpoint, or, when there is no other, the suspect
// one whose suspicion ends first. It starts at a random one, so that gateways with
// the same view do not all choose the same endpoint.
func (p *Picker) scan(g *group, r *Request, now int64) (Pick, error) {
	n := len(g.entries)
	start := 0
	if n > 1 {
		start = p.rand(n)
	}
	full := false
	for range maxDraws {
		var best, last *entry
		for i := range n {
			e := g.entries[(start+i)%n]
			if slices.Contains(r.Exclude, e.status.Load().Instance) {
				continue
			}
			switch {
			case e.isFull(now):
				full = true
			case e.avoid.Load() > now:
			case e.suspect.Load() > now:
				if last == nil || e.suspect.Load() < last.suspect.Load() {
					last = e
				}
			case best == nil || e.isLess(best, now):
				best = e
			}
		}
		why := LeastLoaded
		if best == nil {
			best, why = last, LastResort
		}
		if best == nil {
			break
		}
		if best.reserve(now) {
			return best.pick(why), nil
		}
		full = true
	}
	if full {
		return Pick{}, newPickError(classifier.Exhausted, "all ready endpoints of %s %s are at their limits", r.Serves, r.Version)
	}
	return Pick{}, newPickError(classifier.Unavailable, "no other ready endpoint of %s %s may be tried", r.Serves, r.Version)
}

// isFull reports whether one more request would be above the limit.
func (e *entry) isFull(now int64) bool {
	limit, n := e.load(now)
	return n+1 > float64(limit)
}

// isUsable reports whether the request may go to the endpoint.
func (e *entry) isUsable(r *Request, now int64) bool {
	return e.avoid.Load() <= now && e.suspect.Load() <= now && !e.isFull(now) &&
		(len(r.Exclude) == 0 || !slices.Contains(r.Exclude, e.status.Load().Instance))
}

// isLess reports whether the load with one more request is below that of o.
func (e *entry) isLess(o *entry, now int64) bool {
	le, ne := e.load(now)
	lo, no := o.load(now)
	return (ne+1)*float64(lo) < (no+1)*float64(le)
}

func (e *entry) pick(why Reason) Pick { return Pick{Endpoint: *e.status.Load(), Reason: why, entry: e} }

func newPickError(k classifier.Kind, format string, serves string, version recorder.Name) error {
	if version == "" {
		version = "(any version)"
	}
	return &Error{Op: "pick endpoint", Kind: k, Err: errors.Newf(format, serves, version)}
}
