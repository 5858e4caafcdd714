package listener

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Trimmer limits the open connections of a server: above the limit it closes the
// connection that has been idle longest. Callers that open a connection for each
// attempt would otherwise exhaust the file descriptors of the process, and new
// connections would wait without being accepted. Connections with a request in
// progress are never closed. Most must be set before the first connection.
type Trimmer struct {
	// Most is the number of connections above which idle ones are closed; 0 means no
	// limit.
	Most int

	mu   sync.Mutex
	open map[net.Conn]*list.Element
	// idle holds the connections without a request, longest idle first.
	idle    list.List
	trimmed uint64
}

// ConnState records the new state of a connection. It is meant for the ConnState
// field of http.Server.
func (t *Trimmer) ConnState(c net.Conn, s http.ConnState) {
	// The lock is held until the connection is closed, so that a request that arrives
	// meanwhile is recorded after that and finds it closed.
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.updateState(c, s); old != nil {
		// Close fails if the caller has closed the connection meanwhile, which is fine.
		_ = old.Close()
	}
}

// updateState records the new state of c and returns the connection to close, or
// nil. It is called with the lock held.
func (t *Trimmer) updateState(c net.Conn, s http.ConnState) net.Conn {
	if t.open == nil {
		t.open = make(map[net.Conn]*list.Element)
	}
	if e := t.open[c]; e != nil {
		t.idle.Remove(e)
	}
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(t.open, c)
		return nil
	case http.StateIdle:
		t.open[c] = t.idle.PushBack(c)
	default:
		t.open[c] = nil
	}
	if t.Most <= 0 || len(t.open) <= t.Most || t.idle.Len() == 0 {
		return nil
	}
	old := t.idle.Remove(t.idle.Front()).(net.Conn)
	delete(t.open, old)
	t.trimmed++
	return old
}

// Count returns the number of open connections and the number closed so far to stay
// within the limit.
func (t *Trimmer) Count() (open int, trimmed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.trimmed
}

// callerDivisor sets the share of the file descriptors that callers may use: one part
// in callerDivisor. The rest is for endpoints, peers and the platform.
const callerDivisor = 2

// CallerBound returns the number of connections that callers may open to a process
// that may use the given number of file descriptors; 0 stands for the soft
// RLIMIT_NOFILE of the process.
func CallerBound(files int) (int, error) {
	n, err := descriptorLimit(files)
	return n / callerDivisor, err
}
