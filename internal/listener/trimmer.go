package listener

import (
	"container/list"
	"math"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Trimmer keeps the connections of a server below a bound by closing the one that
// has rested longest for each new one beyond it. Callers that open a connection for
// each try would otherwise use up the process's descriptors, and then new ones wait
// unread. Most is set before the first connection.
type Trimmer struct {
	// Most is the number of connections up to which none is closed; 0 for no bound.
	Most int

	mu   sync.Mutex
	open map[net.Conn]*list.Element
	// resting holds the connections without a request, those that rest longest first.
	resting list.List
	trimmed uint64
}

// ConnState notes a change of a connection; an http.Server takes it as ConnState.
func (t *Trimmer) ConnState(c net.Conn, s http.ConnState) {
	if old := t.note(c, s); old != nil {
		// A connection that its caller closed meanwhile needs nothing.
		_ = old.Close()
	}
}

// note takes the change and returns the connection to be closed, or nil.
func (t *Trimmer) note(c net.Conn, s http.ConnState) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[net.Conn]*list.Element)
	}
	if e := t.open[c]; e != nil {
		t.resting.Remove(e)
	}
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(t.open, c)
		return nil
	case http.StateIdle:
		t.open[c] = t.resting.PushBack(c)
	default:
		t.open[c] = nil
	}
	if t.Most <= 0 || len(t.open) <= t.Most || t.resting.Len() == 0 {
		return nil
	}
	old := t.resting.Remove(t.resting.Front()).(net.Conn)
	delete(t.open, old)
	t.trimmed++
	return old
}

// Count returns the number of open connections and how many were closed for others.
func (t *Trimmer) Count() (open int, trimmed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.trimmed
}

// callerParts is the number of parts into which descriptors are divided; callers get
// one, the others are for endpoints, peers and the platform.
const callerParts = 2

// CallerBound returns how many connections callers may have at a process that may
// have so many descriptors open; 0 stands for the limit that the system gives it.
func CallerBound(descriptors int) (int, error) {
	if descriptors > 0 {
		return descriptors / callerParts, nil
	}
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, errors.Wrap(err, "read the limit of descriptors")
	}
	return int(min(l.Cur, math.MaxInt32)) / callerParts, nil
}
