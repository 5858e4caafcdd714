package direct

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Times of a gateway.
const (
	// updatePace is the pause between two looks at what became free or due by time
	// alone.
	updatePace = 50 * time.Millisecond
	// sweepPace is the pause between two closings of idle connections.
	sweepPace = time.Second
	// announcePause is the pause between two tries to write the own record.
	announcePause = time.Second
	// announceTimeout bounds one try.
	announceTimeout = 800 * time.Millisecond
	// exitMargin is left of the longest time of a planned stop for the exit.
	exitMargin = 700 * time.Millisecond
)

const (
	// retryShare is the part of the retry ratio that gateways use; the rest covers
	// windows that begin with saved retries.
	retryShare = 0.9
	// minRetryGateways is the least number of gateways among which the extra retries
	// are divided, and retryFactor how many times the known ones; more than there
	// are, so that added and restarted ones keep within them.
	minRetryGateways = 8
	retryFactor      = 1.5
	// graceShare is the part of the time to the deadline of a version in which an
	// older one may be used; the rest is for requests that wait at an engine.
	graceShare = 0.9
	// maxDatagram bounds a report in bytes.
	maxDatagram = 2048
)

// Gateway takes requests of callers and sends them to endpoints. Its fields are
// set before Run.
type Gateway struct {
	Name, Domain, Region string
	// Front takes callers, Ready the balancer, Peers gateways and agents, and
	// Metrics those who look; Metrics may be the zero value.
	Front, Ready, Peers, Metrics netip.AddrPort
	Store                        netip.AddrPort
	// Seeds are addresses of gateways towards peers; they may be gone.
	Seeds   []netip.AddrPort
	Regions map[string]string
	Cold    dispatcher.ColdLimit
	// RetryRatio and RetryExtra bound the retries of all gateways.
	RetryRatio, RetryExtra float64
	// Within is the time in which a named version has to be served everywhere.
	Within time.Duration
	// Drain is the time after which a leaving endpoint must get no more requests.
	Drain time.Duration
	// BalancerWait is the time from not ready to the last new connection, and
	// StopTimeout the longest time of a planned stop.
	BalancerWait, StopTimeout time.Duration
	// Descriptors is how many descriptors the process may have open; 0 means the
	// limit that the system gives it.
	Descriptors int
	Platform    *Platform
	Meter       *meter.Exporter
	Log         zerolog.Logger

	follower   *follower
	dispatcher *dispatcher.Dispatcher
	front      *forwarder.Front
	lag        lag
	callers    listener.Trimmer
	stopping   atomic.Bool
}

// Run serves until the context ends, and then stops as planned.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.build(); err != nil {
		return err
	}
	m, err := newMetrics(g.Meter, g)
	if err != nil {
		return err
	}
	g.front.Observe = m.observe
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e, work := errgroup.WithContext(work)
	g.follower.changed = g.dispatcher.Update
	e.Go(func() error { return g.follower.run(work, false) })
	e.Go(func() error { return g.tick(work) })
	e.Go(func() error { return g.receive(work) })
	e.Go(func() error { return g.announce(work) })
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
		_ = s.Close()
	}
	return e.Wait()
}

func (g *Gateway) build() error {
	most, err := listener.CallerBound(g.Descriptors)
	if err != nil {
		return err
	}
	g.callers.Most = most
	g.follower = newFollower(g.Platform, g.Store, g.Peers, g.Domain, g.Regions, g.Log)
	g.follower.drain, g.follower.seeds = g.Drain, g.Seeds
	g.dispatcher = &dispatcher.Dispatcher{
		Domain: g.Domain, Region: g.Region, Cold: g.Cold, State: g.follower.state,
		Grace: time.Duration(float64(g.Within) * graceShare),
	}
	g.front = &forwarder.Front{
		Headers: g.Platform.Headers, Dispatcher: g.dispatcher, Transport: &forwarder.Transport{},
		Table: func() *resolver.Table { return g.follower.state.Table() }, Log: g.Log,
		Budget: forwarder.Budget{Share: g.RetryRatio * retryShare, Burst: g.retryBurst},
	}
	return nil
}

// retryBurst is this gateway's part of the retries beyond the ratio.
func (g *Gateway) retryBurst() float64 {
	return g.RetryExtra / max(minRetryGateways, retryFactor*float64(g.follower.state.GatewayCount()))
}

// serve opens the listeners; the one of callers is the first of the servers.
func (g *Gateway) serve(ctx context.Context, e *errgroup.Group) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+g.Platform.ReadyPath, g.ready)
	peers := http.NewServeMux()
	peers.Handle("GET /v1/tables/{name}", g.follower.handler())
	all := []struct {
		address netip.AddrPort
		handler http.Handler
	}{{g.Front, g.front}, {g.Ready, ready}, {g.Peers, peers}, {g.Metrics, g.Meter.Handler}}
	var servers []*http.Server
	for _, s := range all {
		if !s.address.IsValid() {
			continue
		}
		h := newServer(s.handler)
		if s.address == g.Front {
			h.ConnContext, h.ConnState = forwarder.WithCaller, g.callers.ConnState
		}
		if err := serve(ctx, e, s.address, h); err != nil {
			return nil, err
		}
		servers = append(servers, h)
	}
	return servers, nil
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	s := g.follower.state
	if g.stopping.Load() || s.Table() == nil || s.Endpoints() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop tells the balancer, goes on serving until it has looked, and ends what
// runs.
func (g *Gateway) stop(servers []*http.Server) {
	began := time.Now()
	g.Log.Info().Msg("stop")
	g.stopping.Store(true)
	g.front.Stop()
	go func() { _ = g.write(context.Background(), nil) }() // write logs its failure
	time.Sleep(g.BalancerWait)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.StopTimeout-exitMargin))
	defer cancel()
	err := servers[0].Shutdown(ctx)
	g.Log.Info().AnErr("cut", err).Dur("took-ms", time.Since(began)).Msg("stopped")
}

// tick grants what became free by time alone.
func (g *Gateway) tick(ctx context.Context) error {
	t := time.NewTicker(updatePace)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-t.C:
			g.lag.observe(time.Since(due), g.Log)
		}
		g.follower.state.ExpireEndpoints()
		g.dispatcher.Update()
		if time.Since(swept) > sweepPace {
			swept = time.Now()
			g.front.Transport.Sweep()
		}
	}
}

// receive takes the reports of agents.
func (g *Gateway) receive(ctx context.Context) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.Peers))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", g.Peers)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	b := make([]byte, maxDatagram)
	for {
		n, _, err := c.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive report")
		}
		var r dispatcher.Report
		if err := json.Unmarshal(b[:n], &r); err != nil {
			g.Log.Warn().Err(err).Msg("report-refused")
			continue
		}
		g.dispatcher.Report(r)
	}
}

// announce writes the own record until the store has taken it.
func (g *Gateway) announce(ctx context.Context) error {
	b, err := json.Marshal(observer.Gateway{Name: g.Name, Domain: g.Domain, Address: g.Peers})
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	for ctx.Err() == nil && !g.stopping.Load() {
		if err := g.write(ctx, b); err == nil {
			return nil
		}
		_ = sleeper.Sleep(ctx, announcePause)
	}
	return nil
}

func (g *Gateway) write(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := g.follower.tables.Gateways.Put(ctx, g.Name, b)
	if err != nil {
		g.Log.Warn().Err(err).Bool("drop", b == nil).Msg("gateway-record-not-written")
	}
	return err
}
