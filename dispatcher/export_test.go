package dispatcher

import "time"

// Wait is the place of a request in the queue, for tests that have a clock of their own.
type Wait struct{ w *waiter }

// Begin does the same as Acquire, but returns the place of the request in the queue instead of
// waiting there.
func (d *Dispatcher) Begin(r Request) (*Lease, *Wait, error) {
	l, w, err := d.acquireOrQueue(r)
	if w == nil {
		return l, nil, err
	}
	return nil, &Wait{w}, nil
}

// End returns the result of the wait, if it has ended.
func (w *Wait) End() (l *Lease, ended bool, err error) {
	select {
	case g := <-w.w.granted:
		return g.lease, true, g.err
	default:
		return nil, false, nil
	}
}

// LatestStart returns when the request has to be sent.
func (d *Dispatcher) LatestStart(r Request) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pools[r.Service].latestStart(r)
}
