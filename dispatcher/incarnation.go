package dispatcher

import (
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Responses don't name the process that sent them, and the endpoint list may learn of a process
// long after it began to serve: the store may be away, or return from an older copy. So what a
// response says of its process is not kept under a start of the list, but for the location, with
// what is known of when the process started. If the list then names another process there that may
// have said that it leaves, that one is asked.

const (
	// MaxStartSkew is the difference up to which the start of a process and the time of a response or
	// connection don't tell which was first, as the clocks of instances differ.
	MaxStartSkew = 2 * time.Second
	// leavingCheckInterval is the pause before a process is asked again that hasn't answered.
	leavingCheckInterval = 300 * time.Millisecond
	// trustTime is how long the list has to name a process as ready, with the platform available,
	// until it counts as one that doesn't leave though it hasn't answered. A process that leaves
	// reports so within a heartbeat, or its entry is removed after three.
	trustTime = 5 * time.Second
	// incarnationRetention is how long a location is remembered that the list lacks. It exceeds the
	// time for which the platform may be away.
	incarnationRetention = 10 * time.Minute
	// forgetInterval is the interval at which such locations are looked for.
	forgetInterval = time.Minute
)

// location identifies the processes that run one after the other under one id at one address.
type location struct {
	id      string
	address netip.AddrPort
}

func locationOf(e *observer.Endpoint) location { return location{e.ID, e.Address} }

// evidence tells which process at a location said something.
type evidence struct {
	// newest is the latest start of a process there that was known when the request was sent; the
	// start of the process itself if isExact is set.
	newest  time.Time
	isExact bool
	// heardAt is when the process said it; the zero time if nothing was said.
	heardAt time.Time
	// confirmed is the start by the list of a process that has said it when asked, and cleared that of
	// one that hasn't; the zero time for none.
	confirmed, cleared time.Time
}

// attribution tells whether a process said something.
type attribution uint8

const (
	saidByOther attribution = iota
	maybeSaid
	said
)

// of returns whether the process of the node said it.
func (e *evidence) of(n *node) attribution {
	switch {
	case e.heardAt.IsZero():
		return saidByOther
	case n.Started.Equal(e.newest), n.Started.Equal(e.confirmed):
		return said
	case n.Started.Equal(e.cleared):
		return saidByOther
	case n.Started.Before(e.newest), n.hasFutureStart():
		// The store has returned from an older copy, or the entry is another writer's.
		return maybeSaid
	case e.isExact, n.Started.After(e.heardAt.Add(MaxStartSkew)):
		return saidByOther
	}
	return maybeSaid
}

// hasFutureStart reports whether the start of the process can't be true.
func (n *node) hasFutureStart() bool { return n.Started.After(n.listedAt.Add(maxClockDifference)) }

// merge returns the evidence for what is said again.
func (e *evidence) merge(v evidence) evidence {
	if !e.heardAt.IsZero() && e.cleared.IsZero() && v.newest.Before(e.newest) {
		return *e
	}
	return v
}

// confirm records that the process of the node has said it when asked.
func (e *evidence) confirm(n *node, now time.Time) {
	e.confirmed, e.heardAt = n.Started, now
	if n.Started.After(e.newest) && !n.hasFutureStart() {
		e.newest, e.isExact = n.Started, true
	}
}

// incarnations is what this gateway knows of the processes at a location. The dispatcher's lock
// guards it.
type incarnations struct {
	// newest is the latest start that the list has named, or that of a process that said that it
	// leaves.
	newest time.Time
	// listedAt is when the location was last listed or heard of.
	listedAt     time.Time
	availability availability
	// checkAt is when the process that the list names is next asked whether it leaves.
	checkAt time.Time
}

// incarnationsAt returns the incarnations at the location of the endpoint.
func (d *Dispatcher) incarnationsAt(e *observer.Endpoint, now time.Time) *incarnations {
	k := locationOf(e)
	v := d.incarnations[k]
	if v == nil {
		if d.incarnations == nil {
			d.incarnations = make(map[location]*incarnations)
		}
		v = &incarnations{}
		d.incarnations[k] = v
	}
	v.listedAt = now
	return v
}

// noteStart records the start of a process at the location. A start in the future is no news.
func (v *incarnations) noteStart(t, now time.Time) {
	if t.After(v.newest) && !t.After(now.Add(maxClockDifference)) {
		v.newest = t
	}
}

// updateIncarnations updates what is known of the processes of the pool's endpoints.
func (d *Dispatcher) updateIncarnations(p *pool, now time.Time) {
	isAvailable := d.State.IsListAvailable()
	for _, n := range p.nodes {
		if n.incarnations == nil {
			n.incarnations = d.incarnationsAt(&n.Endpoint, now)
			n.incarnations.noteStart(n.Started, now)
			n.incarnations.checkAt = now
		}
		v := n.incarnations
		v.listedAt = now
		switch {
		case !isAvailable || n.Draining:
			n.readySince = time.Time{}
		case n.readySince.IsZero():
			n.readySince = now
		}
		if e := &v.availability.leaving; e.of(n) == maybeSaid && n.isTrusted(e.heardAt, now) {
			d.clear(n)
		}
	}
}

// isTrusted reports whether the list has named the process as ready for trustTime since it, or
// another one, said that it leaves.
func (n *node) isTrusted(heardAt, now time.Time) bool {
	return !n.readySince.IsZero() && now.Sub(n.readySince) >= trustTime && now.Sub(heardAt) >= trustTime
}

// clear records that the process of the node doesn't leave.
func (d *Dispatcher) clear(n *node) {
	n.incarnations.availability.leaving.cleared = n.Started
	if d.Replaced != nil {
		d.Replaced(n.Endpoint)
	}
}

// forgetIncarnations drops the locations that the list has lacked for long.
func (d *Dispatcher) forgetIncarnations(now time.Time) {
	if now.Sub(d.forgotAt) < forgetInterval {
		return
	}
	d.forgotAt = now
	for k, v := range d.incarnations {
		if now.Sub(v.listedAt) > incarnationRetention {
			delete(d.incarnations, k)
		}
	}
}

// LeavingChecks returns the endpoints whose processes are to be asked now whether they leave: a
// process at their location has said so, and it may be theirs. NoteLeavingCheck takes the answers;
// an endpoint whose process hasn't answered is returned again after a while.
func (d *Dispatcher) LeavingChecks() []observer.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var l []observer.Endpoint
	for _, p := range d.pools {
		for _, n := range p.nodes {
			v := n.incarnations
			if v == nil || n.Draining || now.Before(v.checkAt) || v.availability.leaving.of(n) != maybeSaid {
				continue
			}
			v.checkAt = now.Add(leavingCheckInterval)
			l = append(l, n.Endpoint)
		}
	}
	return l
}

// NoteLeavingCheck records whether the process at the address of an endpoint of LeavingChecks leaves.
func (d *Dispatcher) NoteLeavingCheck(e observer.Endpoint, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[e.Service]
	if p == nil {
		return
	}
	n := p.nodes[e.ID]
	if n == nil || n.Address != e.Address || !n.Started.Equal(e.Started) || n.incarnations == nil || n.incarnations.availability.leaving.of(n) != maybeSaid {
		return
	}
	if !leaving {
		d.clear(n)
		d.grant(p)
		return
	}
	n.incarnations.availability.leaving.confirm(n, d.now())
	if d.Noticed != nil {
		d.Noticed(n.Endpoint, Notice{Leaving: true}, FromCheck)
	}
}
