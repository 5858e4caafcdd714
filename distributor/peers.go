package distributor

import (
	"net/netip"
	"sync"
	"time"
)

// Limits of the time for which a failed source is skipped.
const (
	minPenalty = 500 * time.Millisecond
	maxPenalty = 30 * time.Second
)

// peers tracks failed sources. A failed source is skipped for a time that doubles
// with every failure; afterwards a single request at a time probes it.
type peers struct {
	mu     sync.Mutex
	failed map[netip.AddrPort]*penalty
}

type penalty struct {
	failures int
	until    time.Time
	probing  bool
}

// admit reports whether a source may be asked now.
func (p *peers) admit(a netip.AddrPort, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.failed[a]
	if f == nil {
		return true
	}
	if now.Before(f.until) || f.probing {
		return false
	}
	f.probing = true
	return true
}

// succeed resets the failures of a source.
func (p *peers) succeed(a netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failed, a)
}

// endProbe ends a probe that neither succeeded nor failed.
func (p *peers) endProbe(a netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.failed[a]; f != nil {
		f.probing = false
	}
}

// fail makes admit skip a source for a while. Failures of requests that were sent
// before the source was skipped count once.
func (p *peers) fail(a netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = make(map[netip.AddrPort]*penalty)
	}
	f := p.failed[a]
	if f == nil {
		f = new(penalty)
		p.failed[a] = f
	}
	f.probing = false
	if now.Before(f.until) {
		return
	}
	f.until = now.Add(min(maxPenalty, minPenalty<<min(f.failures, 10)))
	f.failures++
}
