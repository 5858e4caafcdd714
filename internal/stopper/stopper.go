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
	// stop is the planned stop; nil unless the process stops.
	stop atomic.Pointer[stop]
	// all holds the durations of the requests of each name.
	all   sync.Map
	calls calls
}

// stop describes a planned stop.
type stop struct {
	// cut is the time at which the calls in progress are cut.
	began, cut time.Time
}

// Begin begins a planned stop. From now on EndsInTime reports false for each request that may
// not end before cut, the time at which Cut is called.
func (s *Stopper) Begin(cut time.Time) { s.stop.Store(&stop{began: time.Now(), cut: cut}) }

// IsStopping reports whether a planned stop has begun.
func (s *Stopper) IsStopping() bool { return s.stop.Load() != nil }

// Request describes a request to EndsInTime.
type Request struct {
	// Name is that of the requests which take about as long.
	Name            string
	Begun, Deadline time.Time
	// AtMostOnce is set if the request must not run twice.
	AtMostOnce bool
	// Started is set once the caller has a part of the response.
	Started bool
	// Stream is set if the caller gets the response in parts. Once it has one, Cut can only
	// break the response off.
	Stream bool
}

// EndsInTime reports whether the request ends before a planned stop cuts it, if it is sent
// now: surely if it may run once only or is a stream, and otherwise if it takes no longer than
// usual. Streams differ by their prompts and answers, and a cut breaks them off, while another
// process can serve one that is refused. Where the usual time isn't known, only requests that
// began before the stop are taken for ones that do. A stream that the caller has begun to read
// goes on until the cut, as nobody else can continue it.
func (s *Stopper) EndsInTime(r Request) bool {
	p := s.stop.Load()
	if p == nil || !r.Deadline.After(p.cut) {
		return true
	}
	now := time.Now()
	switch d, known := s.usual(r.Name); {
	case r.Started:
		return now.Before(p.cut)
	case r.AtMostOnce, r.Stream:
		return false
	case known:
		return !now.Add(d).After(p.cut)
	}
	return r.Begun.Before(p.began) && now.Before(p.cut)
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
