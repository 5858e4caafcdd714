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
// It therefore skips a request that needs at least as much as one for which it found
// no slot in this pass.
func (d *Dispatcher) grantOne(p *pool, now time.Time) bool {
	if len(p.fresh)+len(p.retried) == 0 {
		return false
	}
	first, second := p.fresh, p.retried
	if p.isRetriedTurn() {
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
			w.granted <- waitResult{lease: l}
			return true
		}
	}
	return false
}

// constraints are the properties of a request, except its prompt length, that
// determine which slots it may use.
type constraints struct {
	route *resolver.Route
	// account is nil for client accounts that don't restrict regions, as these are
	// equivalent.
	account          *resolver.Account
	retried, resumed bool
}

// unplaced records constraints for which no slot was found.
type unplaced struct {
	constraints
	// prompt is the smallest number of prompt tokens for which no slot was found.
	prompt int
}

func (r Request) constraints() constraints {
	m := constraints{route: r.Match.Route, retried: r.Retried, resumed: r.Resumed}
	if a := r.Match.Account; a != nil && len(a.Regions) > 0 {
		m.account = a
	}
	return m
}

// isUnplaced reports whether no slot was found in this pass for a request with the
// same constraints and a prompt of at most the same length.
func (p *pool) isUnplaced(r Request) bool {
	u := p.findUnplaced(r)
	return u != nil && r.Prompt >= u.prompt
}

func (p *pool) noteUnplaced(r Request) {
	if u := p.findUnplaced(r); u != nil {
		u.prompt = min(u.prompt, r.Prompt)
	} else if len(r.Exclude) == 0 {
		p.unplaced = append(p.unplaced, unplaced{r.constraints(), r.Prompt})
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
