package direct

import (
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
)

const (
	// minListPause is the length of a pause after which the endpoint list is read again
	// before it is used, however young it is.
	minListPause = time.Second
	// maxListWait is how long requests wait for a new endpoint list after a pause of the
	// process.
	maxListWait = time.Second
	// maxListHold bounds the same with the pauses in it. It is below the time for which a stream
	// waits for an endpoint at which it is resumed.
	maxListHold = 1300 * time.Millisecond
	// listAgeShare is the age of the endpoint list up to which it is used after a shorter
	// pause, as a part of the time after which a draining endpoint must get no more
	// requests. The rest is for the way of a request to its endpoint.
	listAgeShare = 0.9
)

// listWait is the time for which requests have waited for a list that replaces an old one.
// The zero value is ready to use; its methods may be called concurrently.
type listWait struct {
	mu sync.Mutex
	// began is when the wait began, and paused the length of all pauses before it.
	began  time.Time
	paused time.Duration
	// confirmed is the time of the list that was too old then.
	confirmed time.Time
	// isUsed reports whether a list has been used since, because it wasn't too old.
	isUsed bool
}

// use records that the list in use isn't too old.
func (w *listWait) use() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isUsed = true
}

// isOver reports whether requests have waited long enough for a list that replaces the one that
// was confirmed at the given time. A further wait begins after a long pause, or for a newer list if
// one was used since the last wait began: lists that are too old when they come would prolong
// the wait.
func (w *listWait) isOver(confirmed time.Time, p timekeeper.Pauses) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	isNewer := confirmed.After(w.confirmed) && (w.isUsed || w.began.IsZero())
	if isNewer || p.LongEnd.After(w.began) {
		w.began, w.paused, w.confirmed, w.isUsed = p.Now, p.Total, confirmed, false
	}
	held := p.Now.Sub(w.began)
	return held > maxListHold || held-(p.Total-w.paused) > maxListWait
}

// beat notes that the process runs, and whether the endpoint list may be used, which no request
// may ask for a while.
func (g *Gateway) beat() {
	g.monitor.Beat()
	g.isCurrent()
}

// isCurrent reports whether requests may go by the endpoint list in use. In a pause of the
// process endpoints may have left, and others may use their addresses.
//
// After a long pause the list must have been read since. After a shorter one, which is about
// as long as the time between two reads, it must not be too old; it is if the process was
// turned away from the store as well. If nothing can be read, the old list is used after
// maxListWait, and after further short pauses at once. A list that was too old before a short
// pause is used after it as well: most likely nobody can read it.
func (g *Gateway) isCurrent() bool {
	p, confirmed := g.monitor.Pauses(), g.follower.listInUse()
	isReadSince := p.Now.Sub(p.LongEnd) > maxListWait || confirmed.After(p.LongEnd)
	isYoung := p.Now.Sub(confirmed) <= g.maxListAge()
	if p.Now.Sub(p.End) > maxListWait || confirmed.After(p.End) || isReadSince && isYoung {
		g.listWait.use()
		return true
	}
	wasOld := p.Start.Sub(confirmed) > g.maxListAge()
	if isReadSince && wasOld || g.listWait.isOver(confirmed, p) {
		return true
	}
	g.follower.listOutdated()
	return false
}

// maxListAge returns the age up to which the endpoint list is used after a short pause.
func (g *Gateway) maxListAge() time.Duration {
	return time.Duration(float64(g.Drain) * listAgeShare)
}
