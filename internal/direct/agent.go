package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Timeouts of the distribution of chunks among agents. A version of a few megabytes
// is distributed within seconds, so a lost source must be given up sooner than that.
const (
	chunkWait  = 1500 * time.Millisecond
	chunkPoll  = 300 * time.Millisecond
	chunkStall = 700 * time.Millisecond
	// chunkPatience exceeds the time in which the origin sends a whole version. Otherwise
	// instances ask it for chunks that others are already waiting for.
	chunkPatience = 4 * time.Second
	chunkBackoff  = 150 * time.Millisecond
	// chunkLate is longer than a chunk takes on a link that all chunks in flight share.
	chunkLate = time.Second
	// sendTimeout limits sending a chunk, so that a peer that is gone doesn't occupy one
	// of the maxSentChunks for longer.
	sendTimeout = time.Second
	// stopTimeout limits a planned stop, in which the chunks in flight are sent. It is longer
	// than a chunk takes, as chunkLate is.
	stopTimeout = time.Second
	// agentBeatInterval is the interval at which the process notes that it runs, and
	// maxAgentBeatInterval the time between two notes from which it counts as paused.
	agentBeatInterval    = 400 * time.Millisecond
	maxAgentBeatInterval = time.Second
	// digestTimeout limits the requests for digests to peers. An instance that asks the
	// origin waits for originDigestDelay only: no peer can know a version that has just been
	// named, and the origin may become unavailable.
	digestTimeout     = 300 * time.Millisecond
	originDigestDelay = 50 * time.Millisecond
	// keepDigestsTimeout limits the writes of digests to the gateway table.
	keepDigestsTimeout = 2 * time.Second
)

const (
	// linkShare is the part of the instance's link that chunks may use, and liveShare
	// the part that an engine with all slots busy needs for the events of its streams.
	linkShare = 0.98
	liveShare = 0.14
	// regionShare is the part of the link between two regions that chunks may use.
	regionShare = 0.8
	// maxPeerChunks and maxLeadChunks limit the chunks in flight to this instance, and
	// maxSentChunks those in flight from it. On these links a chunk takes as long as a
	// few tokens, and the requests and events of the engine queue behind the chunks.
	maxPeerChunks = 3
	maxLeadChunks = 2
	maxSentChunks = 2
	// maxIdlePeerChunks is the same as maxPeerChunks while the engine serves nothing.
	maxIdlePeerChunks = 6
	// maxChunkDelay is the time that the chunks asked for may take to arrive. A request behind
	// them must not reach the engine more than half a second after its caller left, so half of
	// that is left to the requests and responses in the link.
	maxChunkDelay = 250 * time.Millisecond
	// maxOriginReads limits the concurrent reads of one agent from the origin.
	maxOriginReads = 2
	// digestPeers is the number of members of the failure domain that are asked for
	// digests. They are also the ones that ask the origin.
	digestPeers = 2
	// originProbability is the probability that any other instance asks the origin after
	// no peer knew the digests, in case the first ones of its failure domain are lost.
	originProbability = 0.05
	bitsPerByte       = 8
)

// Agent loads the target version into the engine of its instance. Its exported fields
// must be set before Run.
type Agent struct {
	Name, Domain, Region, Service string
	// Peers is the listen address for other agents, and Metrics that for scrapes; the
	// zero value of Metrics turns it off.
	Peers, Metrics netip.AddrPort
	// Engine is the address of the engine of this instance, as in the endpoint list.
	Engine netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Seeds are the peer addresses of gateways that are tried in addition to those in
	// the gateway table; some may no longer exist.
	Seeds []netip.AddrPort
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// Link and RegionLink are the bits per second of the instance's link and of the
	// link between two regions; 0 means no limit.
	Link, RegionLink float64
	// Lending says where the agent lends the request rate of its engine to gateways while the engine
	// is cold, by the bound of Cold.
	Lending Lending
	Cold    dispatcher.ColdLimit
	// MaxVersionDelay is the time in which all instances have to serve a new target version.
	MaxVersionDelay time.Duration
	// Descriptors is the maximum number of open file descriptors, Memory the memory of the
	// instance in bytes; 0 means the limit of the process and that it isn't known.
	Descriptors int
	Memory      int64
	Platform    *Platform
	Meter       *meter.Exporter
	Log         zerolog.Logger

	follower *follower
	origin   *http.Client
	chunks   *distributor.Store
	link     *distributor.Link
	loader   *loader.Loader
	reports  *reportSender
	monitor  timekeeper.Monitor
	// connections is the budget of the connections that others make.
	connections *listener.Budget
}

// Run serves chunks, reports the state of the engine and loads versions until ctx is
// done.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.build(); err != nil {
		return err
	}
	if err := a.connections.Register(a.Meter.Meter); err != nil {
		return err
	}
	e, ctx := errgroup.WithContext(ctx)
	if _, err := a.servePeers(ctx, e); err != nil {
		return err
	}
	if a.Metrics.IsValid() {
		if err := observeLoader(a.Meter, a.loader.Stats); err != nil {
			return err
		}
		if a.reports.Lender != nil {
			if err := observeLender(a.Meter, a.reports.Lender.Stats); err != nil {
				return err
			}
		}
		s := newServer(a.Meter.Handler)
		if _, err := serve(ctx, e, a.Metrics, s, a.connections, listener.Operators); err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = s.Close() })
	}
	a.Log.Info().Str("peers", a.Peers.String()).Str("engine", a.Engine.String()).Msg("start")
	e.Go(func() error { return a.follower.run(ctx, true) })
	e.Go(func() error { return a.beat(ctx) })
	e.Go(func() error { return a.loader.Reporter.Run(ctx) })
	e.Go(func() error { return a.reports.receiveDemands(ctx) })
	e.Go(func() error { return a.loader.Run(ctx) })
	err := e.Wait()
	a.Log.Info().AnErr("failure", err).Msg("stop")
	return err
}

// servePeers serves the other agents until ctx is done, and sends them the chunks in flight.
func (a *Agent) servePeers(ctx context.Context, e *errgroup.Group) (*listener.Drainer, error) {
	h := a.chunkHandler()
	d, err := serve(ctx, e, a.Peers, newServer(a.handler(h)), a.connections, listener.Peers)
	if err != nil {
		return nil, err
	}
	e.Go(func() error {
		<-ctx.Done()
		h.Stop()
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if err := d.Drain(c); err != nil && c.Err() != nil {
			a.Log.Warn().Err(err).Msg("stop-cut-chunks")
		}
		_ = d.Server.Close() // the listener is closed already
		return nil
	})
	return d, nil
}

// beat lets the monitor notice pauses of the process. A version that is named in a pause must
// not count as named at its end: its load, and that of a superseded version, would be late.
func (a *Agent) beat(ctx context.Context) error {
	for ctx.Err() == nil {
		a.monitor.Beat()
		_ = sleeper.Sleep(ctx, agentBeatInterval)
	}
	return nil
}

func (a *Agent) build() error {
	var err error
	if a.connections, err = listener.NewBudget(a.Descriptors, a.Memory, a.Log); err != nil {
		return err
	}
	a.follower = newFollower(a.Platform, a.Store, a.Peers, a.Domain, a.Regions, a.Log)
	a.follower.seeds = a.Seeds
	a.monitor.Limit = maxAgentBeatInterval
	a.monitor.Beat()
	a.follower.earliest = a.monitor.Earliest
	a.origin = newOriginClient()
	a.chunks = &distributor.Store{}
	a.link = &distributor.Link{Bound: maxChunkDelay}
	// Gateways send demands and statements to the source address of reports, and instances may be
	// reachable only at the ports of the platform's range.
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.Peers))
	if err != nil {
		return errors.Wrap(err, "open UDP socket for reports")
	}
	a.reports = &reportSender{Engine: a.Engine, Domain: a.Domain, State: a.follower.state, Socket: s, Log: a.Log, Lending: a.Lending, Cold: a.Cold, Service: a.Service}
	if a.Lending.isPossible() {
		a.reports.Lender = &lender.Lender{Began: time.Now(), Changed: func(c lender.Change) { logLending(a.Log, c) }}
	}
	replica := a.Platform.Replica(a.Engine, a.follower.client)
	a.loader = &loader.Loader{
		Service: a.Service, Domain: a.Domain, Address: a.Engine, Link: a.Link / bitsPerByte, MaxVersionDelay: a.MaxVersionDelay,
		Grace: grace(a.MaxVersionDelay), State: a.follower.state, Replica: replica,
		Reporter:   &loader.Reporter{Replica: replica, Address: a.Engine, Send: a.reports.send, LinkDelay: a.link.Delay, Log: a.Log},
		Digests:    a.digests,
		Learned:    a.keepDigests,
		Pieces:     func(o netip.AddrPort) *connector.Pieces { return a.Platform.Pieces(o, a.origin) },
		Manifests:  func(o netip.AddrPort) *connector.Pieces { return a.Platform.Pieces(o, newOriginClient()) },
		NewFetcher: a.newFetcher,
		Store:      a.chunks, Log: a.Log,
	}
	return nil
}

func (a *Agent) self() distributor.Member { return a.member(a.Engine, a.Domain, a.Region, false) }

// member returns the distributor's member for an engine. Its instance name is the IP
// address of the engine, the only name that all instances know from the list.
func (a *Agent) member(engine netip.AddrPort, domain, region string, leaving bool) distributor.Member {
	return distributor.Member{
		Instance: recorder.Name(engine.Addr().String()), FailureDomain: recorder.Name(domain), Region: recorder.Name(region),
		Address: netip.AddrPortFrom(engine.Addr(), a.Peers.Port()), Leaving: leaving,
	}
}

// members returns the instances of the agent's service, sorted by address.
func (a *Agent) members() []distributor.Member {
	list := a.follower.state.Endpoints()
	var empty map[netip.AddrPort]bool
	if e := a.loader.Engine(); e != nil {
		empty = loader.EmptyEndpoints(list, a.Service, e.Model, max(1, a.follower.state.Target(e.Model, 0).Version))
	}
	var l []distributor.Member
	for _, e := range list {
		if e.Service == a.Service {
			m := a.member(e.Address, e.Domain, e.Region, e.Draining)
			m.Empty = empty[e.Address]
			l = append(l, m)
		}
	}
	// The fetcher plans again whenever the list differs from the one before, so its
	// order must not vary.
	slices.SortFunc(l, func(x, y distributor.Member) int { return x.Address.Compare(y.Address) })
	return l
}

func (a *Agent) newFetcher(o *connector.Origin, domain string) *distributor.Fetcher {
	return &distributor.Fetcher{
		Self: a.self(), OriginRegion: recorder.Name(a.Regions[domain]), Store: a.chunks, Origin: o,
		Client: distributor.NewClient(nil), Members: a.members, OriginParallel: maxOriginReads,
		CrossRegionRate: a.RegionLink / bitsPerByte * regionShare,
		Link:            a.link,
		Parallel:        maxPeerChunks, LeadParallel: maxLeadChunks,
		IdleParallel: maxIdlePeerChunks, IsIdle: func() bool { return a.liveLoad() == 0 },
		Wait: chunkWait, Poll: chunkPoll, Stall: chunkStall, HedgeDelay: chunkPatience, LateDelay: chunkLate, MaxBackoff: chunkBackoff, Log: a.Log,
	}
}

func (a *Agent) chunkHandler() *distributor.Handler {
	return &distributor.Handler{
		Store: a.chunks, Self: a.self(), SendRate: a.Link / bitsPerByte * linkShare, LiveLoad: a.liveLoad,
		SendParallel: maxSentChunks, WriteTimeout: sendTimeout, Log: a.Log,
	}
}

func (a *Agent) handler(chunks http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", chunks)
	m.HandleFunc("GET /v1/digests/{version}", a.serveDigests)
	return m
}

// liveLoad returns the part of the link that the streams of the engine need now.
func (a *Agent) liveLoad() float64 {
	s, ok := a.loader.Reporter.State()
	if !ok || s.Active == 0 {
		return 0
	}
	if e := a.loader.Engine(); e != nil {
		return liveShare * min(1, float64(s.Active)/float64(e.Slots))
	}
	return liveShare
}
