package standin

import (
	"net/http"
	"sync"
)

// Gate holds the faults in force and lets waiting requests see a change of
// them. The zero value has no faults.
type Gate[T any] struct {
	mu      sync.Mutex
	v       T
	changed chan struct{}
}

// Get returns the faults in force.
func (g *Gate[T]) Get() T {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.v
}

// Set replaces the faults and wakes all that watch them.
func (g *Gate[T]) Set(v T) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.v = v
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// Watch returns the faults in force and a channel that is closed at the next
// change of them.
func (g *Gate[T]) Watch() (T, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.v, g.changed
}

// Pass treats a request by the outage that get reads from the faults. It
// reports whether the request goes on; if not, it is answered. A request that
// hangs goes on when the outage ends. The caller has read the request's body,
// since the server notices a closed connection only after that.
func (g *Gate[T]) Pass(w http.ResponseWriter, r *http.Request, get func(T) Outage) bool {
	for {
		v, changed := g.Watch()
		switch get(v) {
		case Refuse:
			ReplyError(w, http.StatusServiceUnavailable, "out of service")
			return false
		case Drop:
			Abort()
		case Hang:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				Abort()
			}
		}
		return true
	}
}

// Abort ends the handler and closes the connection without a (further) answer.
func Abort() { panic(http.ErrAbortHandler) }
