package direct

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// The names of the tables between the programs.
const (
	operatorTable = "operators"
	endpointTable = "endpoints"
	gatewayTable  = "gateways"
	// outlineView is the table of operators' decisions without what only gateways
	// need. Agents read it, so that the routes of a configuration don't take their
	// links.
	outlineView = "operators-outline"
)

// Times of following.
const (
	// decisionWait is how long a read of decisions waits for one. A connection
	// that went silent is found after it and the margin of the observer, within
	// the three seconds for which the platform counts a reset as a disruption.
	decisionWait = 2 * time.Second
	// decisionPace is the pause between two reads of decisions.
	decisionPace = 20 * time.Millisecond
	// gatewayWait is how long a read of the gateways waits for a change. They
	// change seldom, and a late read costs only a few reports.
	gatewayWait = 8 * time.Second
	gatewayPace = time.Second
	// listShare is the part of the time in which a leaving endpoint must get no more
	// requests that lies between two reads of the list at a gateway. The rest is
	// for a slow answer and a second read after a failed one.
	listShare = 0.35
	// memberPace is the pause at an agent, which needs the list for its peers only.
	memberPace = time.Second
)

// follower keeps the tables and the state of one process.
type follower struct {
	tables Tables
	client *http.Client
	// self is the own address towards peers, which isn't asked.
	self   netip.AddrPort
	domain string
	// regions holds the region of each failure domain.
	regions map[string]string
	// seeds are gateways that the settings name; they may be gone.
	seeds []netip.AddrPort
	// drain is the time after which a leaving endpoint must get no more requests.
	drain time.Duration
	state *observer.State
	// changed is called after each change of the state; it may be nil.
	changed func()
	log     zerolog.Logger

	operators, endpoints, gateways observer.Table
	outline                        *observer.View
}

func newFollower(p *Platform, store, self netip.AddrPort, domain string, regions map[string]string, log zerolog.Logger) *follower {
	c := newClient()
	f := &follower{
		tables: p.Tables(store, c), client: c, self: self, domain: domain, regions: regions, log: log,
		state: &observer.State{
			Decode: p.Operator, DecodeEndpoint: p.Endpoint(regions), DecodeGateway: p.Gateway, Now: time.Now, Log: log,
		},
	}
	f.outline = &observer.View{Table: &f.operators, Shorten: p.Outline}
	return f
}

func (f *follower) handler() *observer.Handler {
	return &observer.Handler{Tables: f.all(), Views: map[string]*observer.View{outlineView: f.outline}}
}

// all returns the tables by name.
func (f *follower) all() map[string]*observer.Table {
	return map[string]*observer.Table{operatorTable: &f.operators, endpointTable: &f.endpoints, gatewayTable: &f.gateways}
}

// peers returns the addresses of the other gateways: those of the own failure domain
// first, then those of the own region. Among equally near ones each process has an
// order of its own, so that they share the reads. The seeds help a process that
// starts while it doesn't reach the platform.
func (f *follower) peers() []netip.AddrPort {
	var near []ranked
	for _, g := range f.state.Gateways(f.domain) {
		if g.Address != f.self {
			near = append(near, ranked{g.Address, f.distance(g.Domain), rankOf(f.self, g.Address)})
		}
	}
	slices.SortFunc(near, ranked.compare)
	var l []netip.AddrPort
	for _, r := range near {
		l = append(l, r.address)
	}
	for _, a := range f.seeds {
		if a != f.self && !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	return l
}

// The distances of a gateway.
const (
	inDomain = iota
	inRegion
	inOtherRegion
)

func (f *follower) distance(domain string) int {
	switch {
	case domain == f.domain:
		return inDomain
	case f.regions[domain] == f.regions[f.domain]:
		return inRegion
	default:
		return inOtherRegion
	}
}

// ranked is a gateway with its place in the order of a process.
type ranked struct {
	address  netip.AddrPort
	distance int
	rank     uint64
}

func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(r.distance, o.distance), cmp.Compare(r.rank, o.rank))
}

// rankOf is the rendezvous hash of a process and a gateway.
func rankOf(self, gateway netip.AddrPort) uint64 {
	return xxhash.Sum64String(self.String() + " " + gateway.String())
}

// sources returns where a table is read: a gateway asks the platform first, an
// agent its gateways.
func (f *follower) sources(name string, t *connector.Table, agent bool) []observer.Source {
	peers := &observer.PeerReader{Table: name, Client: f.client, Peers: f.peers, Now: time.Now}
	platform := observer.Source{Name: "platform", Read: t.Read}
	if !agent {
		return []observer.Source{platform, {Name: "peers", Read: peers.Read}}
	}
	if name == operatorTable {
		peers.Table = outlineView
	}
	return []observer.Source{{Name: "peers", Read: peers.Read}, platform}
}

// run follows all tables until the context ends.
func (f *follower) run(ctx context.Context, agent bool) error {
	pace, listWait := time.Duration(float64(f.drain)*listShare), time.Duration(0)
	if agent {
		pace = memberPace
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		known := false
		return (&observer.Follower{
			Name: operatorTable, Table: &f.operators, Sources: f.sources(operatorTable, f.tables.Operators, agent),
			Wait: decisionWait, Pace: decisionPace, Log: f.log, Reconnect: f.client.CloseIdleConnections,
			Changed: func(fresh []connector.Item, _ bool) {
				f.state.ApplyOperator(fresh, !known)
				known = true
				f.notify(len(fresh) > 0)
			},
		}).Run(ctx)
	})
	g.Go(func() error {
		return (&observer.Follower{
			Name: endpointTable, Table: &f.endpoints, Sources: f.sources(endpointTable, f.tables.Endpoints, agent),
			Wait: listWait, Pace: pace, Log: f.log, Reconnect: f.client.CloseIdleConnections, Failed: f.state.ListFailed,
			Changed: func(fresh []connector.Item, first bool) {
				f.state.ApplyEndpoints(fresh, first)
				f.notify(len(fresh) > 0)
			},
		}).Run(ctx)
	})
	g.Go(func() error {
		return (&observer.Follower{
			Name: gatewayTable, Table: &f.gateways, Sources: f.sources(gatewayTable, f.tables.Gateways, agent),
			Wait: gatewayWait, Pace: gatewayPace, Log: f.log,
			Changed: func(fresh []connector.Item, _ bool) { f.state.ApplyGateways(fresh) },
		}).Run(ctx)
	})
	return g.Wait()
}

func (f *follower) notify(changed bool) {
	if changed && f.changed != nil {
		f.changed()
	}
}
