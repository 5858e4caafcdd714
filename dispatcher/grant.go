package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// grant assigns free slots to queued requests. The caller must hold d.mu.
func (d *Dispatcher) grant(p *pool) {
	now := d.now()
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
	for _, w := range p.queue {
		if p.isUnplaced(w.request) {
			continue
		}
		n := d.pick(p, w.request, now)
		if n == nil {
			p.noteUnplaced(w.request, d.room)
			continue
		}
		p.remove(w)
		l := d.lease(p, n, w.request, now)
		l.Waited = now.Sub(w.since)
		w.granted <- waitResult{lease: l}
		return true
	}
	return false
}

// constraints are the properties of a request, except its prompt length, that
// determine which slots it may use.
type constraints struct {
	route *resolver.Route
	// account is nil for client accounts that don't restrict regions, as these are
	// equivalent.
	account *resolver.Account
	resumed bool
}

// unplaced records constraints for which no slot was found.
type unplaced struct {
	constraints
	// room is the longest prompt processing time for which there is a slot; negative if there
	// is none.
	room time.Duration
}

func (r Request) constraints() constraints {
	m := constraints{route: r.Match.Route, resumed: r.Resumed}
	if a := r.Match.Account; a != nil && len(a.Regions) > 0 {
		m.account = a
	}
	return m
}

// isUnplaced reports whether a request with the same constraints has shown in this pass that
// there is no slot.
func (p *pool) isUnplaced(r Request) bool {
	u := p.findUnplaced(r)
	return u != nil && p.prefillTime(r) > u.room
}

func (p *pool) noteUnplaced(r Request, room time.Duration) {
	if len(r.Exclude) == 0 && p.findUnplaced(r) == nil {
		p.unplaced = append(p.unplaced, unplaced{r.constraints(), room})
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
