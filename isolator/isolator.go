package isolator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultMaxEndings is the number of processes after whose end a request is held.
	DefaultMaxEndings = 3
	// DefaultHold is how long a request is held at first; the time doubles with each further
	// ending, up to maxHold.
	DefaultHold = 30 * time.Second
	maxHold     = 10 * time.Minute
	// memory is how long endings are remembered that don't hold a request.
	memory = 30 * time.Second
	// maxRequests is the number of requests that are remembered.
	maxRequests = 2048
	// newsTime is how long an ending is sent again and again, as datagrams may be lost.
	newsTime = 200 * time.Millisecond
	// maxEndingsKept is the number of processes that are remembered for one request.
	maxEndingsKept = 8
	// reminderInterval is the interval at which the endings of held requests are sent to gateways
	// that have started since.
	reminderInterval = time.Second
)

// Isolator counts the endings of processes under requests. The zero value is ready to use; its
// exported fields are set before the first call. All methods may be called concurrently.
type Isolator struct {
	// MaxEndings is the number of processes after whose end a request is held; 0 means
	// DefaultMaxEndings.
	MaxEndings int
	// Hold is how long a request is held at first; 0 means DefaultHold.
	Hold time.Duration
	// Held is called when a request begins to be held; it may be nil and must not call the
	// Isolator.
	Held func(d Digest, processes []string, until time.Time)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	requests map[Digest]*request
}

// request is what is known about the requests of one content.
type request struct {
	// endings holds the processes that ended, ordered by the time of their end. No process is in
	// it twice, and it has at most maxEndingsKept of them; the oldest are forgotten.
	endings []ending
	// last is when the last ending was learned, and sentUntil the time until which the own ones
	// are news.
	last, sentUntil time.Time
	// holds is how often the request began to be held, heldUntil the end of the last time.
	holds     int
	heldUntil time.Time
	// reminded is when the endings were last sent as a reminder.
	reminded time.Time
}

// ending is a process that ended while it had a request.
type ending struct {
	process      string
	began, ended time.Time
	served       bool
	// own reports whether this process saw it. Others send their own ones to all.
	own bool
}

// count returns the number of endings, one after the other, since which the request wasn't
// served. Processes that had the request at the same time count once: several may have ended
// together for another reason.
func (r *request) count() int {
	n := 0
	var last time.Time
	for _, e := range r.endings {
		if !e.served && !e.began.Before(last) {
			n++
			last = e.ended
		}
	}
	return n
}

// add adds an ending in its order.
func (r *request) add(e ending) {
	n, _ := slices.BinarySearchFunc(r.endings, e, func(a, b ending) int { return a.ended.Compare(b.ended) })
	r.endings = slices.Insert(r.endings, n, e)
	if len(r.endings) > maxEndingsKept {
		r.endings = slices.Delete(r.endings, 0, 1)
	}
}

func (i *Isolator) now() time.Time {
	if i.Now != nil {
		return i.Now()
	}
	return time.Now()
}

func (i *Isolator) maxEndings() int {
	if i.MaxEndings > 0 {
		return i.MaxEndings
	}
	return DefaultMaxEndings
}

// IsIdle reports whether nothing is known about any request, so that digests aren't needed.
func (i *Isolator) IsIdle() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.requests) == 0
}

// Add records that a process ended while it had the request. An ending that is known already
// changes nothing, unless the request was served since.
func (i *Isolator) Add(e Ending) { i.add(e, true) }

// Learn does the same for an ending that another gateway saw.
func (i *Isolator) Learn(e Ending) { i.add(e, false) }

func (i *Isolator) add(e Ending, own bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	r := i.requests[e.Digest]
	if r == nil || i.isForgotten(r, now) {
		r = &request{}
		i.keep(e.Digest, r, now)
	}
	n := slices.IndexFunc(r.endings, func(o ending) bool { return o.process == e.Process })
	switch {
	case n < 0:
		r.add(ending{process: e.Process, began: now.Add(-e.Began), ended: now.Add(-e.Ended), served: e.Served, own: own})
	case e.Served && !r.endings[n].served:
		r.endings[n].served = true
	default:
		return
	}
	r.last = now
	if own {
		r.sentUntil = now.Add(newsTime)
	}
	switch counts := r.count() >= i.maxEndings(); {
	case !e.Served && (counts || !r.heldUntil.IsZero()):
		i.hold(e.Digest, r, now)
	case e.Served && !counts:
		// Endings that overlap with earlier ones lower the count too, and don't release a request.
		r.heldUntil = time.Time{}
	}
}

// keep adds a request, and forgets others if there are too many.
func (i *Isolator) keep(d Digest, r *request, now time.Time) {
	if i.requests == nil {
		i.requests = make(map[Digest]*request)
	}
	if len(i.requests) >= maxRequests {
		i.trim(now)
	}
	i.requests[d] = r
}

// rank orders requests by how much their endings tell: those that were held come last.
func (r *request) rank() int {
	if !r.heldUntil.IsZero() {
		return maxEndingsKept + 1
	}
	return r.count()
}

// trim forgets an eighth of the requests: those with the fewest endings, of which the last one is
// the oldest.
func (i *Isolator) trim(now time.Time) {
	maps.DeleteFunc(i.requests, func(_ Digest, r *request) bool { return i.isForgotten(r, now) })
	l := slices.SortedFunc(maps.Keys(i.requests), func(a, b Digest) int {
		x, y := i.requests[a], i.requests[b]
		return cmp.Or(cmp.Compare(x.rank(), y.rank()), x.last.Compare(y.last))
	})
	for _, d := range l[:max(0, len(l)-maxRequests*7/8)] {
		delete(i.requests, d)
	}
}

// isForgotten reports whether the endings of a request are too old to count. Those of a request
// that was held count for as long again, so that it is held at once if another process ends.
func (i *Isolator) isForgotten(r *request, now time.Time) bool {
	if r.heldUntil.IsZero() {
		return now.Sub(r.last) > memory
	}
	return now.After(r.heldUntil.Add(r.heldUntil.Sub(r.last)))
}

// hold begins or extends the time for which the request is held.
func (i *Isolator) hold(d Digest, r *request, now time.Time) {
	t := i.Hold
	if t == 0 {
		t = DefaultHold
	}
	begins := !now.Before(r.heldUntil)
	if begins {
		r.holds++
	}
	for n := 1; n < r.holds && t < maxHold; n++ {
		t *= 2
	}
	r.heldUntil = now.Add(min(t, maxHold))
	if i.Held != nil && begins {
		var l []string
		for _, e := range r.endings {
			l = append(l, e.process)
		}
		i.Held(d, l, r.heldUntil)
	}
}

// HeldFor returns for how long the request must not be sent to an endpoint; 0 if it may.
func (i *Isolator) HeldFor(d Digest) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.requests[d]
	if r == nil {
		return 0
	}
	return max(0, r.heldUntil.Sub(i.now()))
}

// Served records that an endpoint has served the request, which is therefore sound.
func (i *Isolator) Served(d Digest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.requests[d]
	if r == nil || r.count() == 0 {
		return
	}
	for n := range r.endings {
		r.endings[n].served, r.endings[n].own = true, true
	}
	now := i.now()
	r.heldUntil, r.last, r.sentUntil = time.Time{}, now, now.Add(newsTime)
}

// News returns the messages for all other gateways: what this process saw in the last moment, and
// at an interval what it saw of the requests that are held.
func (i *Isolator) News() []Message {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	var all []Ending
	for d, r := range i.requests {
		if i.isForgotten(r, now) {
			delete(i.requests, d)
			continue
		}
		held := now.Before(r.heldUntil) && now.Sub(r.reminded) >= reminderInterval
		if !held && !now.Before(r.sentUntil) {
			continue
		}
		if held {
			r.reminded = now
		}
		for _, e := range r.endings {
			began, ended := now.Sub(e.began), now.Sub(e.ended)
			if e.own && began <= maxAge {
				all = append(all, Ending{Digest: d, Process: e.process, Began: began, Ended: ended, Served: e.served})
			}
		}
	}
	var l []Message
	for m := range slices.Chunk(all, maxMessageEndings) {
		l = append(l, Message{m})
	}
	return l
}
