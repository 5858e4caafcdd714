package activator

import (
	"sync"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Gate admits requests to an endpoint for the version that it serves. The zero
// value admits no request.
type Gate struct {
	mu sync.Mutex
	// version and bootID were read from the engine; requests are admitted only
	// while open is set.
	version  recorder.Name
	bootID   string
	open     bool
	reason   string
	inFlight int
	// idle is closed when inFlight falls to 0.
	idle chan struct{}
}

// Pass permits its holder to send one request to the engine.
type Pass struct {
	// Version and BootID must match those in the engine's response.
	Version recorder.Name
	BootID  string
	gate    *Gate
}

// Open admits requests for a version that the engine serves in the given boot.
func (g *Gate) Open(version recorder.Name, bootID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version, g.bootID, g.open, g.reason = version, bootID, true, ""
}

// Close refuses further requests. Enter returns the reason to callers.
func (g *Gate) Close(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.reason = false, reason
}

// CloseBoot closes the gate if it is open for the given boot of the engine.
func (g *Gate) CloseBoot(bootID, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bootID == bootID {
		g.open, g.reason = false, reason
	}
}

// Enter admits one request for a version; an empty version matches the one that
// is served. An error is of kind Unavailable and means that nothing was run.
func (g *Gate) Enter(version recorder.Name) (Pass, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		if g.reason == "" {
			return Pass{}, unavailable("endpoint is not ready")
		}
		return Pass{}, unavailable("endpoint is not ready: %s", g.reason)
	}
	if version != "" && version != g.version {
		return Pass{}, unavailable("endpoint serves version %s, not %s", g.version, version)
	}
	g.inFlight++
	return Pass{Version: g.version, BootID: g.bootID, gate: g}, nil
}

// Leave marks the request as ended. It must be called once for each Pass.
func (p Pass) Leave() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// InFlight returns the number of admitted requests that have not ended.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// IsOpen returns the version that the gate was last opened for and reports
// whether requests are admitted.
func (g *Gate) IsOpen() (recorder.Name, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version, g.open
}

// Idle returns a channel that is closed once no request is in flight.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight == 0 {
		c := make(chan struct{})
		close(c)
		return c
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}
