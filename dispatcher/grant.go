package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// grant assigns free slots to queued requests. The caller must hold d.mu.
func (d *Dispatcher) grant(p *pool) {
	now := d.now()
	p.notePressure(now)
	for d.grantOne(p, now) {
	}
}

// grantOne assigns a slot to the first queued request that can use one and reports
// whether there was one. It runs for each load report and each response, so its cost
// must not grow with the queue, or a gateway falls behind when many requests wait.
// It therefore skips a request for which another one has shown in this pass that there is
// no slot.
func (d *Dispatcher) grantOne(p *pool, now time.Time) bool {
	p.unplaced = p.unplaced[:0]
	if w := p.owed(now); w != nil && d.grantTo(p, w, now) {
		return true
	}
	for _, w := range p.queue {
		if u := p.findUnplaced(w.request); u != nil && p.prefillTime(w.request) > u.room {
			w.withheld = max(w.withheld, u.withheld)
			continue
		}
		if d.grantTo(p, w, now) {
			return true
		}
	}
	return false
}

// grantTo assigns a slot to a queued request and reports whether there was one.
func (d *Dispatcher) grantTo(p *pool, w *waiter, now time.Time) bool {
	n := d.pick(p, w.request, now)
	if n == nil {
		w.withheld = max(w.withheld, d.withheld)
		p.noteUnplaced(w.request, unplaced{room: d.room, withheld: d.withheld})
		return false
	}
	p.remove(w)
	l := d.lease(p, n, w.request, now)
	l.Waited, l.Reserved, l.ReservedElsewhere = now.Sub(w.since), w.withheld != notWithheld, w.withheld == leftElsewhere
	w.granted <- waitResult{lease: l}
	return true
}

// constraints are the properties of a request, except its prompt length, that
// determine which slots it may use.
type constraints struct {
	route *resolver.Route
	// account is nil for client accounts that don't restrict regions, as these are
	// equivalent.
	account *resolver.Account
	// rank is that of the match; accounts on one route may differ in it.
	rank          int
	resumed, last bool
}

// unplaced records constraints for which no slot was found.
type unplaced struct {
	constraints
	// room is the longest prompt processing time for which there is a slot; negative if there
	// is none.
	room time.Duration
	// withheld tells why one is kept from them, if so.
	withheld withholding
}

func (r Request) constraints() constraints {
	m := constraints{route: r.Match.Route, rank: r.Match.Rank(), resumed: r.Resumed, last: r.Last}
	if a := r.Match.Account; a != nil && len(a.Regions) > 0 {
		m.account = a
	}
	return m
}

// noteUnplaced records in this pass that there is no slot for requests with the same constraints.
func (p *pool) noteUnplaced(r Request, u unplaced) {
	if len(r.Exclude) == 0 && p.findUnplaced(r) == nil {
		u.constraints = r.constraints()
		p.unplaced = append(p.unplaced, u)
	}
}

// findUnplaced returns the entry with the constraints of a request, or nil. Requests
// that exclude endpoints have no entries and are evaluated one by one; they are few.
func (p *pool) findUnplaced(r Request) *unplaced {
	if len(r.Exclude) > 0 {
		return nil
	}
	m := r.constraints()
	for i := range p.unplaced {
		if p.unplaced[i].constraints == m {
			return &p.unplaced[i]
		}
	}
	return nil
}
