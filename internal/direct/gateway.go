package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

const (
	// updateInterval is the interval of the dispatcher's updates for changes that only
	// time brings about, such as expired endpoints.
	updateInterval = 50 * time.Millisecond
	// maxBeatInterval is the time between two updates from which the process counts as
	// paused. A loaded process is late by less.
	maxBeatInterval = 300 * time.Millisecond
	// sweepInterval is the interval at which idle connections are closed.
	sweepInterval = time.Second
)

// The default values of Gateway.RetryRatio and Gateway.RetryExtra.
const (
	DefaultRetryRatio = 0.1
	DefaultRetryExtra = 24
)

const (
	// retryShare is the part of RetryRatio that gateways use; the rest covers windows
	// that begin with unused retries of the window before.
	retryShare = 0.9
	// RetryExtra is divided among retryGatewayFactor times the known gateways, but at
	// least minRetryGateways. This is more than the known ones, so that the total stays
	// within RetryExtra when gateways are added or restarted.
	minRetryGateways   = 8
	retryGatewayFactor = 1.5
	// minGraceShare is the least part of MaxVersionDelay during which requests may still go to
	// endpoints with an older version.
	minGraceShare = 0.5
)

// beginReserve is the end of MaxVersionDelay in which no request is sent to an older version. A
// sound engine may stand still for a second or so; when it goes on it may begin a request whose
// connection was closed meanwhile.
const beginReserve = 1500 * time.Millisecond

// Gateway accepts requests from callers and sends them to endpoints. Its exported
// fields must be set before Run.
type Gateway struct {
	Name, Domain, Region string
	// Front is the listen address for callers, Ready for the readiness check of the
	// load balancer, Peers for gateways and agents, and Metrics for scrapes; the zero
	// value of Metrics turns it off.
	Front, Ready, Peers, Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Seeds are the peer addresses of gateways that are tried in addition to those in
	// the gateway table; some may no longer exist.
	Seeds []netip.AddrPort
	// Regions holds the region of each failure domain.
	Regions map[string]string
	Cold    dispatcher.ColdLimit
	// LowestShare is the part of the slots of a service that less urgent requests always get, where
	// its requests differ in rank.
	LowestShare float64
	// HalfOpen says at which services endpoints that failed are tried while requests wait; the zero value
	// means at none.
	HalfOpen dispatcher.HalfOpen
	// RetryRatio is the number of retries per request, and RetryExtra the number of
	// retries in a window beyond it, both over all gateways.
	RetryRatio, RetryExtra float64
	// MaxVersionDelay is the time in which all instances have to serve a new target version.
	MaxVersionDelay time.Duration
	// Drain is the time after which a draining endpoint must get no more requests.
	Drain time.Duration
	// HoldEndings is the number of endpoints that end under a suspect before it is held, and
	// HoldTime the time until its first trial; 0 means the defaults of isolator. All gateways have
	// the same. UnheldRoutes are the routes whose requests are never held.
	HoldEndings  int
	HoldTime     time.Duration
	UnheldRoutes []string
	// BalancerWait is the time from reporting not ready to the last new connection,
	// and StopTimeout the longest time of a planned stop.
	BalancerWait, StopTimeout time.Duration
	// Descriptors is the maximum number of open file descriptors; 0 means the limit
	// of the process.
	Descriptors int
	// Memory is the memory of the instance in bytes, and Link the bytes per second of its link; 0
	// means that it isn't known.
	Memory   int64
	Link     float64
	Platform *Platform
	Meter    *meter.Exporter
	Log      zerolog.Logger

	follower   *follower
	dispatcher *dispatcher.Dispatcher
	front      *forwarder.Handler
	lag        lag
	monitor    timekeeper.Monitor
	listWait   listWait
	callers    listener.Trimmer
	// connections is the budget of the connections that others make.
	connections *listener.Budget
	stopping    atomic.Bool
	holds       *holdKeeper
	refusals    refusalWatch
	// endingNews has a value while the isolator has news for other gateways.
	endingNews chan struct{}
}

// Run serves until ctx is done, and then drains open connections before it returns.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.build(); err != nil {
		return err
	}
	m, err := newMetrics(g.Meter, g)
	if err != nil {
		return err
	}
	g.front.Observe = m.observe
	g.dispatcher.Noticed = func(e observer.Endpoint, v dispatcher.Notice, from dispatcher.NoticeSource) {
		m.observeNotice(e, v)
		logNotice(g.Log, e, v, from)
	}
	g.dispatcher.Replaced = func(e observer.Endpoint) { logReplaced(g.Log, e) }
	g.dispatcher.Withheld = func(service string, slots float64, began bool) { logWithheld(g.Log, service, slots, began) }
	g.dispatcher.PaceChanged = func(c dispatcher.PaceChange) { logPace(g.Log, c) }
	g.dispatcher.LengthsKnown = func(k dispatcher.LengthsKnown) { logLengths(g.Log, k) }
	g.dispatcher.Recovered = func(r dispatcher.Recovery) { logRecovery(g.Log, r) }
	g.dispatcher.UnevenChanged = func(c dispatcher.UnevenChange) { logUneven(g.Log, c) }
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e, work := errgroup.WithContext(work)
	g.follower.changed = g.dispatcher.Update
	e.Go(func() error { return g.follower.run(work, false) })
	e.Go(func() error { return g.tick(work) })
	e.Go(func() error { return g.receiveReports(work) })
	e.Go(func() error { return g.sendEndings(work) })
	e.Go(func() error { return g.sendDemands(work) })
	e.Go(func() error { return g.holds.run(work) })
	e.Go(func() error { return g.restorer().run(work) })
	e.Go(func() error { return g.announce(work) })
	e.Go(func() error { return g.checkLeaving(work) })
	servers, err := g.serve(ctx, e)
	if err != nil {
		return err
	}
	g.Log.Info().Str("front", g.Front.String()).Str("peers", g.Peers.String()).Msg("start")
	select {
	case <-ctx.Done():
		g.stop(servers)
	case <-work.Done():
	}
	cancel()
	for _, s := range servers {
		_ = s.Server.Close()
	}
	return e.Wait()
}

// grace returns how long requests may go to an older version after a newer one was named.
func grace(limit time.Duration) time.Duration {
	return max(limit-beginReserve, time.Duration(float64(limit)*minGraceShare))
}

func (g *Gateway) build() error {
	most, err := listener.CallerBound(g.Descriptors)
	if err != nil {
		return err
	}
	g.callers.Most = most
	if g.connections, err = listener.NewBudget(g.Descriptors, g.Memory, g.Log); err != nil {
		return err
	}
	g.follower = newFollower(g.Platform, g.Store, g.Peers, g.Domain, g.Regions, g.Log)
	g.follower.name = g.Name
	g.follower.drain, g.follower.seeds = g.Drain, g.Seeds
	g.monitor.Limit, g.monitor.Long = maxBeatInterval, minListPause
	g.monitor.Beat()
	g.follower.earliest = g.monitor.Earliest
	g.dispatcher = &dispatcher.Dispatcher{
		Name: g.Name, Domain: g.Domain, Region: g.Region, Cold: g.Cold, State: g.follower.state,
		LowestShare: g.LowestShare, HalfOpen: g.HalfOpen, Grace: grace(g.MaxVersionDelay), MaxVersionDelay: g.MaxVersionDelay,
		IsCurrent: g.isCurrent, Outdated: g.follower.listOutdated,
	}
	g.front = &forwarder.Handler{
		Headers: g.Platform.Headers, Dispatcher: g.dispatcher, Transport: &forwarder.Transport{}, DecodeNotice: g.Platform.DecodeNotice, AskProcess: g.newAsker(),
		Table: func() *resolver.Table { return g.follower.state.Table() }, Log: g.Log,
		Budget: forwarder.Budget{Share: g.RetryRatio * retryShare, Burst: g.retryBurst},
	}
	g.limit()
	g.isolate()
	return nil
}

// isolate makes the gateway hold back requests that end endpoints, together with the others.
func (g *Gateway) isolate() {
	g.endingNews = make(chan struct{}, 1)
	i, f := g.newIsolator(), g.follower
	g.holds = &holdKeeper{
		Isolator: i, Log: g.Log,
		Put: func(ctx context.Context, key string, value []byte) error {
			return f.tables.Gateways.Put(ctx, key, value)
		},
		PutAt: func(ctx context.Context, key string, value []byte) error {
			return f.claimAt(ctx, key, value)
		},
		Rank: g.rank, Count: f.state.GatewayCount,
	}
	g.follower.state.ApplyHold = g.holds.apply
	g.front.UnheldRoutes = g.UnheldRoutes
	g.front.Isolator, g.front.ClaimTrial, g.front.ReturnTrial = i, g.holds.claim, g.holds.returnTrial
}

// rank returns the place of this gateway among those that write records of all.
func (g *Gateway) rank() int { return slices.Index(g.follower.state.GatewayNames(), g.Name) }

// restorer returns the restorer of the gateway table.
func (g *Gateway) restorer() *restorer {
	f := g.follower
	return &restorer{
		Table: &f.gateways, Compared: f.gateways.Compared, Failed: f.gatewaysFailedAt,
		Rank:    func() (int, int) { return g.rank(), f.state.GatewayCount() },
		Returns: &f.returns, Log: g.Log,
		Put: func(ctx context.Context, key string, value []byte) error {
			return f.tables.Gateways.Put(ctx, key, value)
		},
		PutAt: func(ctx context.Context, key string, value []byte, p connector.Position) error {
			return f.tables.Gateways.PutAt(ctx, key, value, p)
		},
	}
}

// retryBurst returns this gateway's part of RetryExtra.
func (g *Gateway) retryBurst() float64 {
	_, burst := RetryLimit(g.RetryRatio, g.RetryExtra, g.follower.state.GatewayCount())
	return burst
}

// RetryLimit returns the retry budget of one of the gateways, given RetryRatio and RetryExtra: the
// number of retries that each request adds, and the largest number of saved ones.
func RetryLimit(ratio, extra float64, gateways int) (share, burst float64) {
	return ratio * retryShare, extra / max(minRetryGateways, retryGatewayFactor*float64(gateways))
}

// serve starts the HTTP servers. The first one returned is that for callers.
func (g *Gateway) serve(ctx context.Context, e *errgroup.Group) ([]*listener.Drainer, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+g.Platform.ReadyPath, g.ready)
	peers := http.NewServeMux()
	peers.Handle("GET /v1/tables/{name}", g.follower.handler())
	peers.Handle("/v1/holds", g.holds.handler())
	peers.Handle("/v1/holds/", g.holds.handler())
	all := []struct {
		address netip.AddrPort
		handler http.Handler
		class   listener.Class
	}{{g.Front, g.front, listener.Callers}, {g.Ready, ready, listener.Operators}, {g.Peers, peers, listener.Peers}, {g.Metrics, g.Meter.Handler, listener.Operators}}
	var servers []*listener.Drainer
	for _, s := range all {
		if !s.address.IsValid() {
			continue
		}
		h := newServer(s.handler)
		if s.address == g.Front {
			h.ConnContext, h.ConnState = forwarder.WithCaller, g.callers.ConnState
		}
		d, err := serve(ctx, e, s.address, h, g.connections, s.class)
		if err != nil {
			return nil, err
		}
		servers = append(servers, d)
	}
	return servers, nil
}

// ready answers 503 while the gateway stops, or lacks a configuration or the endpoint
// list.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	s := g.follower.state
	if g.stopping.Load() || s.Table() == nil || s.Endpoints() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop reports not ready, goes on serving for BalancerWait so that the load balancer
// notices, and then waits for running requests until StopTimeout has nearly passed.
func (g *Gateway) stop(servers []*listener.Drainer) {
	began := time.Now()
	g.Log.Info().Msg("stop")
	g.stopping.Store(true)
	cut := began.Add(g.StopTimeout - listener.ExitMargin)
	g.front.Stop(cut)
	go func() { _ = g.writeRecord(context.Background(), nil) }() // writeRecord logs its failure
	time.Sleep(g.BalancerWait)
	n, err := listener.DrainAll(servers[:1], cut, g.front.Cut)
	g.Log.Info().Err(err).Int("cut", n).Dur("took-ms", time.Since(began)).Msg("stopped")
}

// tick expires endpoints and updates the dispatcher at a fixed interval.
func (g *Gateway) tick(ctx context.Context) error {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-t.C:
			g.lag.observe(time.Since(due), g.Log)
		}
		g.beat()
		g.follower.state.ExpireEndpoints()
		g.dispatcher.Update()
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			g.front.Transport.Sweep()
			g.refusals.look()
		}
	}
}

// receiveReports passes the load reports of agents to the dispatcher.
func (g *Gateway) receiveReports(ctx context.Context) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.Peers))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", g.Peers)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	r := reportReceiver{Read: c.ReadFromUDPAddrPort, Report: g.dispatcher.Report, Isolator: g.front.Isolator, Log: g.Log}
	r.run(ctx)
	return nil
}
