package dispatcher

import (
	"sync/atomic"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Lease is a slot of an endpoint that a request holds until Done.
type Lease struct {
	Endpoint observer.Endpoint
	// Version is the version of the model that the endpoint is known to serve; 0
	// for a plain service.
	Version int64
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Load is the estimated number of requests at the endpoint, without this one.
	Load int
	// Reserved reports whether the request waited while slots were free that were kept for more
	// urgent ones.
	Reserved bool
	// ReservedElsewhere reports whether all of these were left to requests that wait at other gateways.
	ReservedElsewhere bool
	// Owed reports whether the request got the slot before more urgent ones, as part of the lowest
	// share. The endpoint has to read it among the most urgent ones, or it waits there instead.
	Owed bool
	// HalfOpen reports whether the endpoint had failed and was tried with this request.
	HalfOpen bool
	// Expected is the number of events that the answer is expected to have; 0 if it isn't known.
	Expected float64

	// newestStart is the latest start of a process at the endpoint's location that was known when the
	// lease was given.
	newestStart time.Time

	d       *Dispatcher
	pool    *pool
	node    *node
	request Request
	// prefill is the estimated time that the engine takes to process the prompt; 0
	// once it has.
	prefill time.Duration
	sentAt  time.Time
	// begunAt is when the first part of the response arrived; the zero value before.
	begunAt time.Time
	// grantedAt is the time of sentAt on the clock of package timekeeper.
	grantedAt time.Time
	// events is the number of events that have arrived, and maxEvents the largest number of the
	// answer if Expected is known.
	events    atomic.Int32
	maxEvents float64
	// served reports whether Done(Served) was called. The lock of d guards it.
	served bool
}

// maxLeaseAge is the age up to which a request may be sent on a lease. It exceeds the time
// to open a connection.
const maxLeaseAge = time.Second

// IsExpired reports whether the lease is too old to send the request. If the process was
// paused after the choice of the endpoint, the endpoint may have left or been replaced.
func (l *Lease) IsExpired() bool { return l.d.State.Now().Sub(l.grantedAt) > maxLeaseAge }

// Outcome tells how a lease ended.
type Outcome uint8

// The outcomes.
const (
	// Served means that the endpoint answered.
	Served Outcome = iota
	// Failed means that the connection broke or there was no valid response.
	Failed
	// Full means that the endpoint refused the request.
	Full
	// Misdirected means that another instance answered at the address.
	Misdirected
	// Canceled means that the caller gave up.
	Canceled
	// Abandoned means that the request was given up after Silent.
	Abandoned
)

func (d *Dispatcher) lease(p *pool, n *node, r Request, now time.Time) *Lease {
	l := &Lease{Endpoint: n.Endpoint, Load: n.load(now, d.gateways), Owed: d.owed, HalfOpen: d.tried, d: d, pool: p, node: n, request: r, sentAt: now, grantedAt: d.State.Now()}
	if p.model != "" {
		l.Version = n.version(p.model, now)
		n.begins.pending = append(n.begins.pending, l)
	}
	if l.HalfOpen {
		p.halfOpenCounts.Sent++
	}
	l.prefill = p.prefillTime(r)
	l.setLength()
	n.prefill += l.prefill
	n.inFlight++
	p.reserve.take(r.Match.Rank(), now)
	p.assigned = append(trim(p.assigned, now), now)
	n.hold(l)
	l.newestStart = n.Started
	if n.incarnations != nil {
		l.newestStart = n.incarnations.newest
	}
	if n.isResuming(now) {
		n.pause().resumed++
	}
	if !now.After(n.coldUntil) {
		n.coldSent = append(n.coldSent, now)
		n.permits.use(now)
	}
	return l
}

// PrefillDone records that the endpoint has sent the first part of its response, so that
// the engine has processed the prompt. Further calls do nothing.
func (l *Lease) PrefillDone() {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	now := l.d.now()
	l.node.respondedAt = now
	if l.begunAt.IsZero() {
		l.begunAt = now
		l.d.noteRecovery(l, now)
	}
	l.settle(true)
	if l.prefill > 0 {
		l.finishPrefill()
		l.d.grant(l.pool)
	}
}

// Silent records that the endpoint is overdue with its response, so that other requests
// avoid it. The lease goes on. After Done(Served) it does nothing.
func (l *Lease) Silent() {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	if !l.served {
		l.d.noteFailure(l, l.d.now())
	}
}

func (l *Lease) finishPrefill() {
	l.node.prefill -= l.prefill
	l.prefill = 0
}

// Done ends the lease and assigns the slot to a queued request, if any. It must be
// called exactly once.
func (l *Lease) Done(o Outcome) {
	d, n := l.d, l.node
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	n.inFlight--
	l.pool.reserve.release(l.request.Match.Rank())
	n.drop(l)
	if o == Served || o == Full {
		n.respondedAt = now
	}
	l.settle(o == Served)
	l.finishPrefill()
	switch o {
	case Served:
		l.served = true
		if l.begunAt.IsZero() {
			d.noteRecovery(l, now)
		}
		n.recordSuccess()
		l.pool.observeWork(l, now)
	case Failed:
		d.noteFailure(l, now)
	case Full:
		n.avoid(now.Add(fullBackoff))
	case Misdirected:
		n.avoid(now.Add(misdirectedBackoff))
	}
	d.grant(l.pool)
}
