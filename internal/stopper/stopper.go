package stopper

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Stopper decides in a planned stop which requests still begin, and cuts those in progress at
// its end. The zero value is ready.
type Stopper struct {
	// cutAt is the time at which the planned stop cuts the calls in progress; nil unless
	// the process stops.
	cutAt atomic.Pointer[time.Time]
	// all holds the durations of the requests of each name.
	all   sync.Map
	calls calls
}

// Begin begins a planned stop. From now on EndsInTime reports false for each request that may
// not end before cut, the time at which Cut is called.
func (s *Stopper) Begin(cut time.Time) { s.cutAt.Store(&cut) }

// IsStopping reports whether a planned stop has begun.
func (s *Stopper) IsStopping() bool { return s.cutAt.Load() != nil }

// Request describes a request to EndsInTime.
type Request struct {
	// Name is that of the requests which take about as long.
	Name            string
	Begun, Deadline time.Time
	// AtMostOnce is set if the request must not run twice.
	AtMostOnce bool
	// Started is set once the caller has a part of the response.
	Started bool
}

// EndsInTime reports whether the request ends before a planned stop cuts it, if it is sent
// now: surely if it may run once only, and otherwise if it takes no longer than usual.
func (s *Stopper) EndsInTime(r Request) bool {
	cut := s.cutAt.Load()
	if cut == nil || !r.Deadline.After(*cut) {
		return true
	}
	d, known := s.usual(r.Name)
	switch {
	case r.AtMostOnce || !known:
		return false
	case r.Started:
		// Only the rest of the stream is left.
		return time.Now().Before(*cut) && !r.Begun.Add(d).After(*cut)
	}
	return !time.Now().Add(d).After(*cut)
}

// usual returns how long the requests of the name usually take, or false while that isn't known.
func (s *Stopper) usual(name string) (time.Duration, bool) {
	if v, ok := s.all.Load(name); ok {
		return v.(*durations).usual()
	}
	return 0, false
}

// NoteDuration adds a request to those by which the usual time is known. It was served or took
// all the time that it had.
func (s *Stopper) NoteDuration(name string, d time.Duration) {
	v, ok := s.all.Load(name)
	if !ok {
		v, _ = s.all.LoadOrStore(name, &durations{})
	}
	v.(*durations).add(d)
}

// calls holds the calls in progress.
type calls struct {
	mu  sync.Mutex
	all map[*call]struct{}
	// cut reports whether the planned stop has ended the calls in progress.
	cut bool
}

// call is a request in progress, and the writer of its response.
type call struct {
	http.ResponseWriter
	calls  *calls
	cancel context.CancelFunc
	// readsBody reports whether the body is being read. It is guarded by the lock of calls.
	readsBody bool
}

// Add adds a request in progress until done is called. Cut cancels it and, if the read deadline
// of the returned writer is set, ends the reading of its body.
func (s *Stopper) Add(w http.ResponseWriter, cancel context.CancelFunc) (_ http.ResponseWriter, done func()) {
	l := &s.calls
	c := &call{ResponseWriter: w, calls: l, cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = make(map[*call]struct{})
	}
	l.all[c] = struct{}{}
	return c, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.all, c)
	}
}

// IsCut reports whether Cut was called.
func (s *Stopper) IsCut() bool {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	return s.calls.cut
}

// Cut ends the calls in progress at the end of a planned stop, and returns their number.
func (s *Stopper) Cut() int {
	l := &s.calls
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for c := range l.all {
		c.cancel()
		if c.readsBody {
			_ = c.setReadDeadline(time.Now()) // an error leaves the body's own deadline
		}
	}
	return len(l.all)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (c *call) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// SetReadDeadline sets the time until which the body is read, which has passed once Cut was
// called. The zero time ends the limit. http.ResponseController calls it.
func (c *call) SetReadDeadline(t time.Time) error {
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	c.readsBody = !t.IsZero()
	if c.readsBody && c.calls.cut {
		t = time.Now()
	}
	return c.setReadDeadline(t)
}

func (c *call) setReadDeadline(t time.Time) error {
	return http.NewResponseController(c.ResponseWriter).SetReadDeadline(t)
}
