package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// grant gives free slots to waiting requests. The caller holds the lock.
func (d *Dispatcher) grant(p *pool) {
	now := d.now()
	for d.grantOne(p, now) {
	}
}

// grantOne gives a slot to the first request that can use one. What it costs must
// not grow with the queue, as it runs at each report and answer: a gateway would
// fall behind just when many requests wait.
func (d *Dispatcher) grantOne(p *pool, now time.Time) bool {
	if len(p.fresh)+len(p.patient) == 0 {
		return false
	}
	first, second := p.fresh, p.patient
	if p.isTurn() {
		first, second = second, first
	}
	p.unplaced = p.unplaced[:0]
	for _, q := range [...][]*waiter{first, second} {
		for _, w := range q {
			if p.isUnplaced(w.request) {
				continue
			}
			n := d.pick(p, w.request, now)
			if n == nil {
				p.noteUnplaced(w.request)
				continue
			}
			p.remove(w)
			l := d.lease(p, n, w.request, now)
			l.Waited = now.Sub(w.since)
			w.granted <- l
			return true
		}
	}
	return false
}

// demand is what decides where a request may go, beside its prompt.
type demand struct {
	route *resolver.Route
	// account is nil for accounts that bind no regions; they are all alike.
	account          *resolver.Account
	patient, resumed bool
}

// unplaced is a demand for which there was no slot.
type unplaced struct {
	demand
	// prompt is the smallest one that found none.
	prompt int
}

func (r Request) demand() demand {
	m := demand{route: r.Match.Route, patient: r.Patient, resumed: r.Resumed}
	if a := r.Match.Account; a != nil && len(a.Regions) > 0 {
		m.account = a
	}
	return m
}

// isUnplaced reports whether a request that asks for no more has found no slot in
// this pass.
func (p *pool) isUnplaced(r Request) bool {
	u := p.findUnplaced(r)
	return u != nil && r.Prompt >= u.prompt
}

func (p *pool) noteUnplaced(r Request) {
	if u := p.findUnplaced(r); u != nil {
		u.prompt = min(u.prompt, r.Prompt)
	} else if len(r.Exclude) == 0 {
		p.unplaced = append(p.unplaced, unplaced{r.demand(), r.Prompt})
	}
}

// findUnplaced returns the entry of what a request asks for, or nil. Requests that
// exclude endpoints are judged one by one; they are few.
func (p *pool) findUnplaced(r Request) *unplaced {
	if len(r.Exclude) > 0 {
		return nil
	}
	m := r.demand()
	for i := range p.unplaced {
		if p.unplaced[i].demand == m {
			return &p.unplaced[i]
		}
	}
	return nil
}
