package gateway

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// pingInterval is the time between two measurements of the latency to other
	// failure domains.
	pingInterval = 10 * time.Second
	pingTimeout  = time.Second
)

// domains holds the reports of other failure domains. The zero value is ready to
// use.
type domains struct {
	mu     sync.Mutex
	byName map[recorder.Name]*domain
}

// domain is another failure domain as its gateways reported it.
type domain struct {
	name recorder.Name
	// streams holds the last report of each stream from its gateways, by stream
	// number. The report is dropped when its stream ends, because it may be older
	// than what another stream reported before.
	streams map[uint64]gatewayReport
	// latency is the time to connect to a peer, 0 before it was measured.
	latency time.Duration
	// sent counts the requests sent there since the last summary that are still
	// in flight; epoch is the number of that summary.
	sent  map[string]uint32
	epoch uint64
}

// gatewayReport is the last report of a gateway of another failure domain.
type gatewayReport struct {
	address   netip.AddrPort
	summaries []*relayv1.Summary
	// epoch numbers the reports of the failure domain in order of arrival.
	epoch uint64
}

// latest returns the most recently reported summaries.
func (v *domain) latest() []*relayv1.Summary {
	var t gatewayReport
	for _, x := range v.streams {
		if x.epoch >= t.epoch {
			t = x
		}
	}
	return t.summaries
}

// addresses returns the addresses of the gateways, sorted and without duplicates.
func (v *domain) addresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, x := range v.streams {
		out = append(out, x.address)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return slices.Compact(out)
}

// maxReportedEndpoints bounds the endpoints of a failure domain. Each one has a view here.
const maxReportedEndpoints = 1 << 16

// updateDomain stores the summaries from a gateway of another failure domain, unless they
// stand for more endpoints than one has; nil means that its stream ended.
func (g *Gateway) updateDomain(stream uint64, name, address string, s []*relayv1.Summary) {
	n := uint64(0)
	for _, v := range s {
		n += uint64(v.Endpoints)
	}
	if max(n, uint64(len(s))) > maxReportedEndpoints {
		g.Log.Warn().Str("failure-domain", name).Uint64("endpoints", n).Msg("summaries refused")
		return
	}
	g.domains.update(stream, name, address, s)
}

// update stores the summaries from a gateway of another failure domain; nil
// means that its stream ended.
func (d *domains) update(stream uint64, name, address string, s []*relayv1.Summary) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byName == nil {
		d.byName = make(map[recorder.Name]*domain)
	}
	v := d.byName[recorder.Name(name)]
	if v == nil {
		v = &domain{name: recorder.Name(name), streams: make(map[uint64]gatewayReport), sent: make(map[string]uint32)}
		d.byName[v.name] = v
	}
	if s == nil {
		delete(v.streams, stream)
		if len(v.streams) == 0 {
			delete(d.byName, v.name)
		}
		return
	}
	v.epoch++
	v.streams[stream] = gatewayReport{a, s, v.epoch}
	clear(v.sent)
}

// domainView is a snapshot of a domain.
type domainView struct {
	name      recorder.Name
	peers     []netip.AddrPort
	summaries []*relayv1.Summary
	latency   time.Duration
	sent      map[string]uint32
}

// all returns the other failure domains in order of latency, then name.
func (d *domains) all() []domainView {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []domainView
	for _, v := range d.byName {
		out = append(out, domainView{
			name: v.name, peers: v.addresses(), summaries: v.latest(), latency: v.latency, sent: maps.Clone(v.sent),
		})
	}
	slices.SortFunc(out, func(a, b domainView) int {
		return cmp.Or(cmp.Compare(a.latency, b.latency), cmp.Compare(a.name, b.name))
	})
	return out
}

// count counts a request sent to a domain as in flight until the returned
// function is called or the next summary arrives, which includes it.
func (d *domains) count(name recorder.Name, serves string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.byName[name]
	if v == nil {
		return func() {}
	}
	v.sent[serves]++
	epoch := v.epoch
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if v.epoch == epoch && v.sent[serves] > 0 {
			v.sent[serves]--
		}
	}
}

// room returns the free capacity of the domain for a model or service, in
// requests. An empty version means any.
func (v *domainView) room(serves string, version recorder.Name) int {
	n := 0
	for _, s := range v.summaries {
		if s.Serves == serves && (version == "" || s.Version == string(version)) && s.Limit > s.InFlight {
			n += int(s.Limit - s.InFlight)
		}
	}
	return n - int(v.sent[serves])
}

// spillTarget is a gateway of another failure domain that can take a request.
type spillTarget struct {
	domain  recorder.Name
	address netip.AddrPort
}

// pickDomain returns a gateway of the failure domain with the lowest latency that
// is in service and has free capacity. With full set, one with a ready endpoint
// but no free capacity is also accepted.
func (g *Gateway) pickDomain(serves string, version recorder.Name, exclude []recorder.Name, full bool) (spillTarget, bool) {
	if !g.SpillOver {
		return spillTarget{}, false
	}
	s := g.replica.Current()
	for _, v := range g.domains.all() {
		if s.IsOut(v.name) || slices.Contains(exclude, v.name) || len(v.peers) == 0 {
			continue
		}
		if v.room(serves, version) > 0 || full && v.ready(serves, version) {
			return spillTarget{v.name, v.peers[g.roundRobin(len(v.peers))]}, true
		}
	}
	return spillTarget{}, false
}

func (v *domainView) ready(serves string, version recorder.Name) bool {
	return slices.ContainsFunc(v.summaries, func(s *relayv1.Summary) bool {
		return s.Serves == serves && s.Ready > 0 && (version == "" || s.Version == string(version))
	})
}

// roundRobin returns the next index below n in rotation.
func (g *Gateway) roundRobin(n int) int { return int(g.turns.Add(1) % uint64(n)) }

// measureDomains measures the latency to other failure domains periodically.
func (g *Gateway) measureDomains(ctx context.Context) error {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		for _, v := range g.domains.all() {
			if len(v.peers) > 0 {
				g.ping(ctx, v.name, v.peers[0])
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *Gateway) ping(ctx context.Context, name recorder.Name, a netip.AddrPort) {
	d := net.Dialer{Timeout: pingTimeout}
	begun := time.Now()
	c, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return
	}
	_ = c.Close()
	g.domains.mu.Lock()
	defer g.domains.mu.Unlock()
	if v := g.domains.byName[name]; v != nil {
		v.latency = time.Since(begun)
	}
}

// names returns the names of the known other failure domains.
func (d *domains) names() []recorder.Name {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.byName))
}
