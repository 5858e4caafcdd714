package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// Defaults of a Planner.
const (
	// DefaultMaxFailures pauses the rollout of a bad version before it takes more
	// than a few endpoints out of service, and tolerates single broken instances.
	DefaultMaxFailures = 3
	// DefaultMaxAge is the target time in which a change is in force everywhere.
	DefaultMaxAge = 6 * time.Second
	// DefaultRankDelay gives the previous gateway in rank time to append the change,
	// and this one time to read it.
	DefaultRankDelay = 2 * time.Second
	// DefaultMargin covers the clock drift between a gateway and the holder of a
	// grant, and the delay until a grant is read.
	DefaultMargin = 5 * time.Second
)

// Planner decides which changes one gateway appends. Its exported fields must be
// set before the first Observe. It is not safe for concurrent use.
type Planner struct {
	// Self is the name of this gateway's instance.
	Self recorder.Name
	// Gateways returns the live gateways, with or without Self.
	Gateways func() []recorder.Name
	// Age returns the time since the State was last known to be current.
	Age func() time.Duration
	// MaxAge is the age of the State above which Observe returns no changes; 0
	// means DefaultMaxAge.
	MaxAge time.Duration
	// Margin is added to the lease of a grant before the grant is revoked; 0
	// means DefaultMargin.
	Margin time.Duration
	// RankDelay is the delay between gateways of successive rank, and before a change
	// is returned again; 0 means DefaultRankDelay.
	RankDelay time.Duration
	// MaxFailures is the number of consecutive failed releases after which a
	// rollout still goes on; 0 means DefaultMaxFailures.
	MaxFailures int

	// firstSeen holds when each active grant was first observed, by offset.
	firstSeen map[uint64]time.Time
	// schedule holds when each due change is returned next, by operation.
	schedule map[recorder.OperationID]time.Time
}

// Observe returns the changes that this gateway has to append now, each as a
// separate record with the ID that OperationID returns. now must carry a monotonic
// clock reading and must not go back. A due change is returned again after a
// delay until the State shows its effect.
func (p *Planner) Observe(now time.Time, s *registrar.State, endpoints []Endpoint) []recorder.Change {
	if s == nil {
		return nil
	}
	p.observeGrants(now, s)
	if p.Age() > cmp.Or(p.MaxAge, DefaultMaxAge) {
		p.schedule = nil
		return nil
	}
	due := p.dueRollouts(s, endpoints)
	due = append(due, p.dueRevocations(now, s)...)
	return p.pickScheduled(now, due)
}

// observeGrants records when each active grant was first observed, and drops the
// others.
func (p *Planner) observeGrants(now time.Time, s *registrar.State) {
	next := make(map[uint64]time.Time, len(s.Grants))
	for offset := range s.Grants {
		next[offset] = now
		if t, ok := p.firstSeen[offset]; ok {
			next[offset] = t
		}
	}
	p.firstSeen = next
}

// dueRevocations returns a revocation for each grant that this gateway has observed
// for its lease and the margin, sorted by offset.
func (p *Planner) dueRevocations(now time.Time, s *registrar.State) []recorder.Change {
	var out []recorder.Change
	for offset, g := range s.Grants {
		if now.Sub(p.firstSeen[offset]) < g.Lease.Std()+cmp.Or(p.Margin, DefaultMargin) {
			continue
		}
		out = append(out, recorder.Change{Kind: recorder.RevokeGrant, Release: &recorder.Release{
			Grant: offset, Message: "the lease of " + g.Lease.Std().String() + " has passed",
		}})
	}
	slices.SortFunc(out, func(a, b recorder.Change) int { return cmp.Compare(a.Release.Grant, b.Release.Grant) })
	return out
}

// pickScheduled returns the due changes whose scheduled time has come, and
// schedules the others by the rank of this gateway.
func (p *Planner) pickScheduled(now time.Time, due []recorder.Change) []recorder.Change {
	delay := cmp.Or(p.RankDelay, DefaultRankDelay)
	next := make(map[recorder.OperationID]time.Time, len(due))
	var out []recorder.Change
	for _, c := range due {
		id := OperationID(c)
		wait := time.Duration(p.rank(id)) * delay
		t, ok := p.schedule[id]
		if !ok {
			t = now.Add(wait)
		}
		if !now.Before(t) {
			out = append(out, c)
			t = now.Add(wait + delay)
		}
		next[id] = t
	}
	p.schedule = next
	return out
}

// rank returns the number of live gateways that rank before this one for the
// operation. Gateways with equal scores rank by name.
func (p *Planner) rank(id recorder.OperationID) int {
	own, n := score(p.Self, id), 0
	for _, g := range p.Gateways() {
		if v := score(g, id); g != p.Self && (v > own || v == own && g < p.Self) {
			n++
		}
	}
	return n
}

// score returns the rendezvous hash of a gateway and an operation.
func score(g recorder.Name, id recorder.OperationID) uint64 {
	return xxhash.Sum64(append(id[:], g...))
}

// OperationID returns the operation ID of a planned change. It is the same on every
// gateway, so only the first of several records with it takes effect.
func OperationID(c recorder.Change) recorder.OperationID {
	b := []byte(c.Kind + "\x00" + recorder.ChangeKind(c.Object) + "\x00")
	var expect, grant uint64
	if c.Expect != nil {
		expect = *c.Expect
	}
	if c.Release != nil {
		grant = c.Release.Grant
	}
	for _, v := range []uint64{expect, grant, uint64(c.Step)} {
		for i := range 8 {
			b = append(b, byte(v>>(8*i)))
		}
	}
	return uuid.NewSHA1(uuid.NameSpaceOID, b)
}
