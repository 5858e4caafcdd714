package gateway

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/eelgrassdrift/eelgrassdrift/admitter"
	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/internal/stopper"
	"github.com/eelgrassdrift/eelgrassdrift/operator"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/relayer"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

// handshakeTimeout is how long a connection to the relay or the operator API may take to be opened.
const handshakeTimeout = 3 * time.Second

// Gateway is the process on an entry instance. The fields are set before Run.
type Gateway struct {
	settings.Node
	// Callers, Operators, Relay and Peers are the addresses of the listeners for
	// callers, the operator API, agents and gateways, and requests of gateways
	// of other failure domains.
	Callers, Operators, Relay, Peers netip.AddrPort
	// Known are relay addresses of other gateways from the settings.
	Known []netip.AddrPort
	// InstancesURL is the base URL of the platform's instance list.
	InstancesURL string
	// CallerTLS secures the callers' and operators' listeners, TLS those of this
	// system's own processes.
	CallerTLS, TLS authenticator.Files
	// Bootstrap is the digest of the key for the first set-up, or zero.
	Bootstrap recorder.Digest
	// RequestTimeout bounds a call to a model.
	RequestTimeout time.Duration
	// AccountShare is the fraction of the account limits that this gateway
	// enforces until it has read the platform's instance list.
	AccountShare float64
	// SpillOver sends requests to other failure domains when the own one has no
	// room for them.
	SpillOver bool
	// BalancerWait is the time in a planned stop between reporting not ready and
	// closing the listeners, so that the load balancer stops sending requests.
	BalancerWait time.Duration
	// SnapshotEvery is the number of records after which a snapshot is written.
	SnapshotEvery uint64
	// SnapshotInterval is the time after which a snapshot is written again even
	// without new records. It has to be well below the retention of the log.
	SnapshotInterval time.Duration
	Metrics          *meter.Exporter

	bootID  string
	started time.Time
	replica *follower.Replica
	follow  *follower.Follower
	table   router.Table
	picker  router.Picker
	// keyed picks by idempotency key, regardless of load below the limit.
	keyed          router.Picker
	budget         retrier.Budget
	endpoints      relayer.Endpoints
	server         *relayer.Server
	membersChanged relayer.Signal
	list           instances
	domains        domains
	demands        demands
	meter          divider.Meter
	client         *http.Client
	dialer         net.Dialer
	counters       counters
	stopper        stopper.Stopper
	buffers        receiver.Buffers
	// connections is the budget of the connections that others make.
	connections *listener.Budget
	turns       atomic.Uint64
	// foreignEndpoints is the number of endpoints in the table that belong to
	// other failure domains. Their agents attach here after losing their own
	// gateways.
	foreignEndpoints atomic.Int32

	mu        sync.Mutex
	admitters map[string]*admitter.Admitter
}

// listeners are the sockets of a gateway.
type listeners struct{ callers, operators, relay, peers net.Listener }

// Run serves until the context ends, then makes a planned stop.
func (g *Gateway) Run(ctx context.Context) error {
	l, err := g.listen(ctx)
	if err != nil {
		return err
	}
	servers, err := g.prepare(l)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	t, work := errgroup.WithContext(work)
	for _, f := range []func(context.Context) error{
		g.follow.Run, g.pollInstances, g.maintainTable, g.plan, g.writeSnapshots, g.measureDomains,
	} {
		t.Go(func() error { return listener.IgnoreStop(work, f(work)) })
	}
	x := &relayer.Exchanger{Server: g.server, Peers: g.peerGateways, Credentials: servers.credentials}
	t.Go(func() error { return listener.IgnoreStop(work, x.Run(work)) })
	t.Go(servers.callers.Serve)
	t.Go(servers.peers.Serve)
	t.Go(func() error {
		return servers.operators.Serve(servers.operatorListener)
	})
	t.Go(func() error { return servers.relay.Serve(servers.relayListener) })
	t.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		g.stop(servers)
		stop()
		return nil
	})
	return t.Wait()
}

// stop makes a planned stop: it reports not ready, waits for the load balancer,
// finishes the requests in flight, and cuts those that take too long.
func (g *Gateway) stop(s *servers) {
	cut := time.Now().Add(g.BalancerWait + g.StopTimeout - listener.ExitMargin)
	g.stopper.Begin(cut)
	g.Log.Info().Dur("balancer-wait-ms", g.BalancerWait).Msg("planned stop")
	time.Sleep(g.BalancerWait)
	if n, err := listener.DrainAll([]*listener.Drainer{s.callers, s.peers}, cut, g.stopper.Cut); err != nil {
		g.Log.Warn().Int("cut", n).Err(err).Msg("planned stop timed out")
	}
	var t errgroup.Group
	for _, v := range []*grpc.Server{s.operators, s.relay} {
		t.Go(func() error {
			v.Stop()
			return nil
		})
	}
	_ = t.Wait() // no function returns an error
}

// newGRPCServer returns a server whose Stop waits no longer than handshakeTimeout for connections
// that are being opened.
func (g *Gateway) newGRPCServer(c *tls.Config, l *listener.Guard, o []grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append(append(o, g.streamLimits(l)...), grpc.Creds(authenticator.Credentials(c)), grpc.ConnectionTimeout(handshakeTimeout))...)
}

func (g *Gateway) listen(ctx context.Context) (l listeners, err error) {
	for _, v := range []struct {
		to   *net.Listener
		from netip.AddrPort
	}{{&l.callers, g.Callers}, {&l.operators, g.Operators}, {&l.relay, g.Relay}, {&l.peers, g.Peers}} {
		if *v.to, err = listener.Open(ctx, v.from); err != nil {
			return l, err
		}
	}
	return l, nil
}

// relayServer returns the relay server for agents and other gateways.
func (g *Gateway) relayServer(l listeners) *relayer.Server {
	return &relayer.Server{
		Hello: &relayv1.Hello{
			Instance: string(g.Instance), FailureDomain: string(g.FailureDomain), Region: string(g.Region),
			Address: l.peers.Addr().String(), BootId: g.bootID,
		},
		Replica:        g.replica,
		Members:        g.membersFor,
		Gateways:       g.relayGateways,
		MembersChanged: &g.membersChanged,
		Endpoints:      &g.endpoints,
		Log:            g.Log,
	}
}

// endpointGrace is how long an endpoint is kept without a report. An agent reports
// every 1.5 s.
const endpointGrace = 5 * time.Second

func (g *Gateway) prepare(l listeners) (*servers, error) {
	g.bootID, g.started = uuid.NewString(), time.Now()
	g.replica = &follower.Replica{Log: g.Log}
	platform := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: header.MaxResponseBytes}}
	g.follow = &follower.Follower{Log: connector.NewLog(g.LogURL, platform), Replica: g.replica}
	g.follow.Log.Unconfirmed = follower.LogUnconfirmed(g.Log)
	g.list.client = connector.NewInstances(g.InstancesURL, platform)
	g.picker.Table = &g.table
	g.keyed = router.Picker{Table: &g.table, AffinityFactor: math.MaxInt32}
	g.admitters = make(map[string]*admitter.Admitter)
	g.endpoints = relayer.Endpoints{
		Update:       func(s *relayv1.EndpointStatus) { g.updateEndpoint(s) },
		Remove:       func(i string) { g.table.Remove(recorder.Name(i)) },
		Summaries:    g.updateDomain,
		OwnSummaries: g.summaries,
		OwnDemand:    g.ownDemand,
		Demand:       g.demands.update,
		Grace:        endpointGrace,
	}
	t, err := g.TLS.Client()
	if err != nil {
		return nil, err
	}
	g.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, DisableCompression: true, TLSClientConfig: t,
		DialContext: g.dial, MaxResponseHeaderBytes: header.MaxResponseBytes,
	}}
	if err := g.counters.make(g.Metrics.Meter); err != nil {
		return nil, err
	}
	if g.connections, err = listener.NewBudget(g.Descriptors, g.Memory, g.Log); err != nil {
		return nil, err
	}
	if err := g.connections.Register(g.Metrics.Meter); err != nil {
		return nil, err
	}
	g.buffers.Limit = receiver.LimitOf(g.Memory)
	g.server = g.relayServer(l)
	return g.newServers(l)
}

const (
	// dialTimeout bounds the making of a connection to an agent or another gateway.
	dialTimeout = time.Second
	// watchedDialTimeout bounds that of a watched attempt, which others may run beside
	// after dialTimeout. A sound endpoint may be silent for 2 s.
	watchedDialTimeout = 3 * time.Second
)

// watched is the key of the context of a watched attempt.
type watched struct{}

func (g *Gateway) dial(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := dialTimeout
	if ctx.Value(watched{}) != nil {
		timeout = watchedDialTimeout
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return g.dialer.DialContext(ctx, network, address)
}

func (g *Gateway) operatorServer() *operator.Server {
	return &operator.Server{
		State:     g.replica.Current,
		Age:       g.follow.Age,
		Submit:    g.follow.Submit,
		Endpoints: g.operatorEndpoints,
		Changed:   g.replica.Changed,
		Now:       time.Now,
		Log:       g.Log,
		Bootstrap: g.Bootstrap,
	}
}

type servers struct {
	callers, peers   *listener.Drainer
	operators, relay *grpc.Server
	// operatorListener and relayListener count the connections of these two.
	operatorListener, relayListener *listener.Guard
	credentials                     credentials.TransportCredentials
}

// drainer returns a server whose connections count in the budget.
func (g *Gateway) drainer(l net.Listener, k listener.Class, s *http.Server) *listener.Drainer {
	return &listener.Drainer{Server: s, Listener: g.connections.Guard(s, l, k)}
}

func (g *Gateway) newServers(l listeners) (*servers, error) {
	outer, err := g.CallerTLS.Server(false)
	if err != nil {
		return nil, err
	}
	inner, err := g.TLS.Server(true)
	if err != nil {
		return nil, err
	}
	client, err := g.TLS.Client()
	if err != nil {
		return nil, err
	}
	most, err := listener.CallerBound(g.Descriptors)
	if err != nil {
		return nil, err
	}
	o := g.operatorServer()
	operators, relay := g.connections.GuardOpaque(l.operators, listener.Operators), g.connections.GuardOpaque(l.relay, listener.Peers)
	s := &servers{
		operatorListener: operators, relayListener: relay,
		callers: g.drainer(l.callers, listener.Callers, &http.Server{
			Handler: g.callerRoutes(), TLSConfig: outer, ReadHeaderTimeout: 10 * time.Second,
			ConnState: (&listener.Trimmer{Most: most}).ConnState,
		}),
		peers: g.drainer(l.peers, listener.Peers, &http.Server{
			Handler: http.HandlerFunc(g.servePeer), TLSConfig: inner, ReadHeaderTimeout: 10 * time.Second,
		}),
		operators:   g.newGRPCServer(outer, operators, o.Options()),
		relay:       g.newGRPCServer(inner, relay, relayer.ServerOptions()),
		credentials: authenticator.Credentials(client),
	}
	operatorv1.RegisterOperatorServiceServer(s.operators, o)
	relayv1.RegisterRelayServiceServer(s.relay, g.server)
	g.Log.Info().Stringer("callers", l.callers.Addr()).Stringer("operators", l.operators.Addr()).
		Stringer("relay", l.relay.Addr()).Stringer("peers", l.peers.Addr()).Str("boot-id", g.bootID).Msg("listening")
	return s, nil
}
