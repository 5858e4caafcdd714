package dispatcher

import "time"

// beginMargin is how long before a request may no longer begin at its endpoint it is ended
// there. It covers the interval of the updates and the way to the endpoint.
const beginMargin = 200 * time.Millisecond

// OnOverdue sets the function that is called if the request hasn't begun shortly before the
// version of its endpoint may no longer be used. An endpoint that stands still would begin it
// later, so the request has to be ended there. The function is called once, without locks.
func (l *Lease) OnOverdue(f func()) {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	p := l.pool
	if p.model == "" {
		return
	}
	if p.unbegun == nil {
		p.unbegun = make(map[*Lease]func())
	}
	p.unbegun[l] = f
}

// takeOverdue returns the functions of the leases that are overdue. The caller must hold d.mu.
func (d *Dispatcher) takeOverdue(p *pool, now time.Time) []func() {
	var l []func()
	for v, f := range p.unbegun {
		if due := d.beginDeadline(p, v.node, now); !due.IsZero() && !now.Add(beginMargin).Before(due) {
			delete(p.unbegun, v)
			l = append(l, f)
		}
	}
	return l
}

// beginDeadline returns when no request may begin any more at the version that the node serves
// now; the zero time if that isn't known or there is no newer version.
func (d *Dispatcher) beginDeadline(p *pool, n *node, now time.Time) time.Time {
	v := n.version(p.model, now)
	if d.MaxVersionDelay == 0 || v >= p.target.Version {
		return time.Time{}
	}
	for _, t := range p.named {
		if t.version > v {
			return t.due
		}
	}
	return time.Time{}
}
