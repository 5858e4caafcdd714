package direct

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

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
	// seeds are gateways that the settings name; they may be gone.
	seeds []netip.AddrPort
	// drain is the time after which a leaving endpoint must get no more requests.
	drain time.Duration
	state *observer.State
	// changed is called after each change of the state; it may be nil.
	changed func()
	log     zerolog.Logger

	operators, endpoints, gateways observer.Table
}

func newFollower(p *Platform, store, self netip.AddrPort, domain string, regions map[string]string, log zerolog.Logger) *follower {
	c := newClient()
	return &follower{
		tables: p.Tables(store, c), client: c, self: self, domain: domain, log: log,
		state: &observer.State{
			Decode: p.Operator, DecodeEndpoint: p.Endpoint(regions), DecodeGateway: p.Gateway, Now: time.Now, Log: log,
		},
	}
}

func (f *follower) handler() *observer.Handler {
	return &observer.Handler{Tables: f.all()}
}

// all returns the tables by name.
func (f *follower) all() map[string]*observer.Table {
	return map[string]*observer.Table{operatorTable: &f.operators, endpointTable: &f.endpoints, gatewayTable: &f.gateways}
}

// peers returns the addresses of the other gateways, near ones first. The seeds
// help a process that starts while it doesn't reach the platform.
func (f *follower) peers() []netip.AddrPort {
	var l []netip.AddrPort
	for _, g := range f.state.Gateways(f.domain) {
		if g.Address != f.self {
			l = append(l, g.Address)
		}
	}
	for _, a := range f.seeds {
		if a != f.self && !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	return l
}

// sources returns where a table is read: a gateway asks the platform first, an
// agent its gateways.
func (f *follower) sources(name string, t *connector.Table, agent bool) []observer.Source {
	l := []observer.Source{{Name: "platform", Read: t.Read}, observer.Peers(name, f.client, f.peers)}
	if agent {
		l[0], l[1] = l[1], l[0]
	}
	return l
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
