package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Lease is a request at an endpoint until Done.
type Lease struct {
	Endpoint observer.Endpoint
	// Version is the version of the model that the endpoint is known to serve; 0
	// for a plain service.
	Version int64
	// Waited is the time in the queue.
	Waited time.Duration
	// Load is the estimated number of requests at the endpoint, without this one.
	Load int

	d    *Dispatcher
	pool *pool
	node *node
	// reading is the time that the engine takes to read the prompt, until it did.
	reading time.Duration
}

// Outcome tells how a lease ended.
type Outcome uint8

// The outcomes.
const (
	// Served means that the endpoint answered.
	Served Outcome = iota
	// Failed means that the connection broke or the answer was none.
	Failed
	// Full means that the endpoint refused the request.
	Full
	// Misdirected means that another instance has the address.
	Misdirected
	// Left means that the caller gave up.
	Left
)

func (d *Dispatcher) lease(p *pool, n *node, r Request, now time.Time) *Lease {
	l := &Lease{Endpoint: n.Endpoint, Load: n.load(now, d.gateways), d: d, pool: p, node: n}
	if p.model != "" {
		l.Version = n.version(p.model, now)
	}
	l.reading = p.readTime(r)
	n.reading += l.reading
	n.inFlight++
	switch {
	case r.Patient:
		p.firsts = 0
	case !r.Resumed:
		p.firsts++
	}
	if !now.After(n.coldUntil) {
		n.sent = append(n.sent, now)
	}
	return l
}

// Read notes that the engine has read the prompt. Further calls do nothing.
func (l *Lease) Read() {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	if l.reading > 0 {
		l.read()
		l.d.grant(l.pool)
	}
}

func (l *Lease) read() {
	l.node.reading -= l.reading
	l.reading = 0
}

// Done ends the lease; it is called exactly once.
func (l *Lease) Done(o Outcome) {
	d, n := l.d, l.node
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	n.inFlight--
	l.read()
	switch o {
	case Served:
		n.succeeded()
	case Failed:
		n.failed(now)
	case Full:
		n.avoid(now.Add(refusedAvoid))
	case Misdirected:
		n.avoid(now.Add(misdirectedAvoid))
	}
	l.pool.trim(now)
	if o == Served || o == Left {
		l.pool.freed = append(l.pool.freed, now)
	}
	d.grant(l.pool)
}
