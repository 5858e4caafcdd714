package direct

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// The names under which processes exchange the tables.
const (
	operatorTable = "operators"
	endpointTable = "endpoints"
	gatewayTable  = "gateways"
	// outlineView is the operator table without the parts that only gateways need.
	// Agents read it, so that the routes of a configuration don't use up the bandwidth
	// of their links.
	outlineView = "operators-outline"
)

// Long-poll waits and pauses between reads of the tables.
const (
	// decisionWait is the long-poll time of a read of the operator table. A dead
	// connection is detected after this time plus the margin of the observer, which is
	// within the three seconds for which the platform counts a reset as a disruption. With
	// 2 s the margin of 0.3 s was used up on a busy machine.
	decisionWait = 1700 * time.Millisecond
	// decisionInterval is the pause between two reads of the operator table.
	decisionInterval = 20 * time.Millisecond
	// gatewayWait is the long-poll time of a read of the gateway table. It changes
	// rarely, and a late read loses only a few reports.
	gatewayWait     = 8 * time.Second
	gatewayInterval = time.Second
	// listIntervalShare is the pause between two reads of the endpoint list at a
	// gateway, as a part of the time after which a draining endpoint must get no more
	// requests. The rest is for a slow response and a second read after a failed one.
	listIntervalShare = 0.35
	// agentListInterval is the pause between two reads of the endpoint list at an agent,
	// which needs it only to find its peers.
	agentListInterval = time.Second
)

// follower holds the tables that one process follows and the state built from them.
type follower struct {
	tables Tables
	client *http.Client
	// self is the peer address of this process, which is left out of the peers.
	self   netip.AddrPort
	domain string
	// regions holds the region of each failure domain.
	regions map[string]string
	// seeds are the gateways from the settings; some may no longer exist.
	seeds []netip.AddrPort
	// drain is the time after which a draining endpoint must get no more requests.
	drain time.Duration
	state *observer.State
	// earliest is Follower.Earliest of the operator table; it may be nil.
	earliest func(from time.Time) time.Time
	// changed is called after each change of the state; it may be nil.
	changed func()
	// name is the key of this gateway's record; empty at an agent. recordMissing has a value
	// once a read of the gateway table lacked the record.
	name          string
	recordMissing chan struct{}
	// outdated wakes the reader of the endpoint list.
	outdated chan struct{}
	log      zerolog.Logger

	operators, endpoints, gateways observer.Table
	// listApplied is the time of Confirmed of the endpoint table as last applied.
	listApplied atomic.Pointer[time.Time]
	// gatewaysFailed is when a read of the gateway table from the platform last failed.
	gatewaysFailed atomic.Pointer[time.Time]
	// gatewaysRead tells that a first read of the gateway table succeeded or failed.
	gatewaysRead event
	outline      *observer.View
	returns      storeReturns
}

func newFollower(p *Platform, store, self netip.AddrPort, domain string, regions map[string]string, log zerolog.Logger) *follower {
	c := newClient()
	f := &follower{
		tables: p.Tables(store, c), outdated: make(chan struct{}, 1), recordMissing: make(chan struct{}, 1), client: c, self: self, domain: domain, regions: regions, log: log,
		state: &observer.State{
			Decode: p.DecodeOperator, DecodeEndpoint: p.EndpointDecoder(regions), DecodeGateway: p.DecodeGateway, Now: timekeeper.Now, Log: log,
		},
	}
	f.endpoints.Stamp = f.entryStamp
	f.endpoints.Outdated = f.logOutdated
	f.setEpochRules()
	f.outline = &observer.View{Table: &f.operators, Shorten: p.Outline}
	return f
}

// entryStamp returns the stamp of an entry of the endpoint list. An entry that describes no
// endpoint has none, as another writer may have written it.
func (f *follower) entryStamp(key string, value []byte) (connector.Stamp, bool) {
	e, err := f.state.DecodeEndpoint(key, value)
	if err != nil || e.Started.IsZero() {
		return connector.Stamp{}, false
	}
	return connector.Stamp{Started: e.Started, Sequence: e.Sequence}, true
}

func (f *follower) logOutdated(i connector.Item) {
	f.log.Info().Str("endpoint", i.Key).Uint64("offset", i.Offset).Msg("endpoint-entry-outdated")
}

func (f *follower) handler() *observer.Handler {
	return &observer.Handler{Tables: f.all(), Views: map[string]*observer.View{outlineView: f.outline}}
}

// all returns the tables by name.
func (f *follower) all() map[string]*observer.Table {
	return map[string]*observer.Table{operatorTable: &f.operators, endpointTable: &f.endpoints, gatewayTable: &f.gateways}
}

// peers returns the addresses of the other gateways: first those in this failure
// domain, then those in this region, then the rest. Gateways at the same distance are
// ordered by rendezvous hash, which spreads the reads of all processes over them. The
// seeds come last; a process that can't reach the platform when it starts needs them.
func (f *follower) peers() []netip.AddrPort {
	var near []rankedGateway
	for _, g := range f.state.Gateways(f.domain) {
		if g.Address != f.self {
			near = append(near, rankedGateway{g.Address, f.distance(g.Domain), rendezvousHash(f.self, g.Address)})
		}
	}
	slices.SortFunc(near, rankedGateway.compare)
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

// Distances of a gateway from this process.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

func (f *follower) distance(domain string) int {
	switch {
	case domain == f.domain:
		return sameDomain
	case f.regions[domain] == f.regions[f.domain]:
		return sameRegion
	default:
		return otherRegion
	}
}

// rankedGateway is a gateway with its sort keys.
type rankedGateway struct {
	address  netip.AddrPort
	distance int
	rank     uint64
}

func (r rankedGateway) compare(o rankedGateway) int {
	return cmp.Or(cmp.Compare(r.distance, o.distance), cmp.Compare(r.rank, o.rank))
}

// rendezvousHash returns the rendezvous hash of a process and a gateway.
func rendezvousHash(self, gateway netip.AddrPort) uint64 {
	return xxhash.Sum64String(self.String() + " " + gateway.String())
}

// startPlatformDelay is how long an agent that starts asks only gateways for the operator
// table and the endpoint list.
const startPlatformDelay = 400 * time.Millisecond

// sources returns the sources of a table in order of preference: the platform first
// for a gateway, the gateways first for an agent. An agent that starts reads the gateway
// table from the platform, so that it knows the gateways near it.
func (f *follower) sources(name string, t *connector.Table, agent bool) []observer.Source {
	peers := &observer.PeerReader{Table: name, Client: f.client, Peers: f.peers, Now: time.Now, Epoch: f.all()[name].Epoch}
	platform := observer.Source{Name: "platform", Read: t.Read}
	if !agent {
		return []observer.Source{platform, {Name: "peers", Read: peers.Read, ReadAny: peers.ReadAny, Peers: true}}
	}
	start := &observer.StartReader{Peers: peers.Read, Platform: t.Read, PlatformDelay: startPlatformDelay}
	switch name {
	case operatorTable:
		peers.Table = outlineView
	case gatewayTable:
		start.PlatformDelay = 0
	}
	first := observer.Source{Name: "peers", Read: f.returns.interruptible(start.Read), Peers: true}
	if name != gatewayTable {
		start.LargeDelay = f.largeStartDelay
		first.LimitsSilence = true
	}
	return []observer.Source{first, platform}
}

// run follows all tables until ctx is done.
func (f *follower) run(ctx context.Context, agent bool) error {
	list := &observer.Follower{
		Name: endpointTable, Table: &f.endpoints, Sources: f.sources(endpointTable, f.tables.Endpoints, agent),
		Pace: agentListInterval, Wake: f.outdated, Log: f.log, Reconnect: f.reconnect(f.tables.Endpoints), Failed: f.state.ListFailed,
		Earliest: f.earliest,
		Changed:  f.applyList, FirstTimeout: f.firstTimeout,
	}
	operators := &observer.Follower{
		Name: operatorTable, Table: &f.operators, Sources: f.sources(operatorTable, f.tables.Operators, agent),
		Wait: decisionWait, Pace: decisionInterval, Log: f.log, Reconnect: f.reconnect(f.tables.Operators),
		Earliest: f.earliest, AskPeers: !agent, AskLost: !agent, FirstTimeout: f.firstTimeout,
		Changed: func(u observer.Update) {
			f.returns.note(u.Rise)
			f.state.ApplyUpdate(u)
			f.notify(len(u.Fresh) > 0)
		},
	}
	gateways := &observer.Follower{
		Name: gatewayTable, Table: &f.gateways, Sources: f.sources(gatewayTable, f.tables.Gateways, agent),
		Wait: gatewayWait, Pace: gatewayInterval, Log: f.log, AskLost: !agent,
		Failed: func() {
			now := timekeeper.Now()
			f.gatewaysFailed.Store(&now)
			f.gatewaysRead.signal()
		},
		Changed: func(u observer.Update) {
			f.returns.note(u.Rise)
			f.state.ApplyGateways(u.Fresh)
			f.checkRecord()
			f.gatewaysRead.signal()
		},
	}
	if !agent {
		interval := time.Duration(float64(f.drain) * listIntervalShare)
		shared := &observer.SharedReader{Interval: interval, MaxAge: time.Duration(float64(interval) * maxListAgeFactor)}
		f.shareFirst(list, shared)
		f.share(list, shared)
		f.share(operators, &observer.SharedReader{
			Wait: decisionWait, SharedWait: sharedDecisionWait, Interval: decisionInterval, MaxAge: maxDecisionAge,
		})
		f.share(gateways, &observer.SharedReader{
			Wait: gatewayWait, SharedWait: gatewayWait, Interval: gatewayInterval, MaxAge: maxGatewayAge,
		})
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		f.gatewaysRead.wait(ctx, maxGatewaysWait)
		return list.Run(ctx)
	})
	g.Go(func() error {
		if agent {
			f.gatewaysRead.wait(ctx, maxGatewaysWait)
		}
		return operators.Run(ctx)
	})
	g.Go(func() error { return gateways.Run(ctx) })
	return g.Wait()
}

// reconnect returns a function that closes the idle connections to the sources of a table.
func (f *follower) reconnect(t *connector.Table) func() {
	return func() {
		f.client.CloseIdleConnections()
		t.Reconnect()
	}
}

// applyList applies the changes of the endpoint list.
func (f *follower) applyList(u observer.Update) {
	f.returns.note(u.Rise)
	at := f.endpoints.Confirmed()
	f.state.ApplyEndpoints(u.Fresh, u.First)
	f.notify(len(u.Fresh) > 0)
	f.listApplied.Store(&at)
}

// listInUse returns when the platform confirmed the endpoint list that requests go by, on the
// clock of package timekeeper. The table itself is newer while it is being applied.
func (f *follower) listInUse() time.Time {
	if at := f.listApplied.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// gatewaysFailedAt returns when a read of the gateway table from the platform last failed; the zero
// time if none has.
func (f *follower) gatewaysFailedAt() time.Time {
	if at := f.gatewaysFailed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// checkRecord signals that the gateway table lacks the record of this gateway.
func (f *follower) checkRecord() {
	if f.name == "" || !f.lacksRecord() {
		return
	}
	select {
	case f.recordMissing <- struct{}{}:
	default:
	}
}

// lacksRecord reports whether the store lacks the record of this gateway.
func (f *follower) lacksRecord() bool {
	return f.gateways.IsLost(f.name) || !slices.Contains(f.state.GatewayNames(), f.name)
}

// listOutdated makes the follower read the endpoint list soon.
func (f *follower) listOutdated() {
	select {
	case f.outdated <- struct{}{}:
	default:
	}
}

func (f *follower) notify(changed bool) {
	if changed && f.changed != nil {
		f.changed()
	}
}
