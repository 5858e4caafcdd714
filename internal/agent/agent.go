package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/activator"
	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/listener"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/internal/stopper"
	"github.com/eelgrassdrift/eelgrassdrift/limiter"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/relayer"
)

// Agent is the process on an endpoint instance. The fields are set before Run.
type Agent struct {
	settings.Node
	// Serves is "model/NAME" or "service/NAME".
	Serves string
	// Listen is where gateways and peers connect; Advertise is what they are
	// told, or zero for the address that Listen got.
	Listen, Advertise netip.AddrPort
	// Local is the loopback address for the engine, health checks and metrics.
	Local netip.AddrPort
	// Target is the base URL of the engine or service.
	Target string
	// Gateways are the relay addresses of the failure domain's gateways,
	// FallbackGateways those of other failure domains, to which the agent turns
	// while none of its own answers.
	Gateways, FallbackGateways []netip.AddrPort
	// OriginURL is the base URL of the platform's origin, OriginRegion the region
	// in which it lies.
	OriginURL    string
	OriginRegion recorder.Name
	// TLS secures Listen and the connections to gateways and peers.
	TLS authenticator.Files
	// WeightsMemory bounds the chunks in memory, in bytes.
	WeightsMemory int64
	// LogRetention is the time for which the log keeps records; 0 where it is
	// not known.
	LogRetention time.Duration
	// Rates bound the transfer of chunks.
	Rates Rates
	// Cold and Most bound the limit of requests at the endpoint.
	Cold, Most int
	// GrowEvery is the number of completed requests that raise the limit of a
	// cold endpoint by 1; 0 sets no bound.
	GrowEvery int
	// Metrics exports the metrics of the process.
	Metrics *meter.Exporter

	bootID  string
	replica *follower.Replica
	submit  *follower.Follower
	gate    activator.Gate
	limit   limiter.Limiter
	changed relayer.Signal
	client  *http.Client
	peers   *http.Client
	address netip.AddrPort
	weights string
	members atomic.Pointer[relayv1.Members]
	back    backend
	relay   *relayer.Client
	leaving atomic.Bool
	stopper stopper.Stopper
	buffers receiver.Buffers
	// connections is the budget of the connections that others make.
	connections *listener.Budget
}

// Rates bound the transfer of chunks in bytes a second; 0 sets no bound.
type Rates struct {
	// Link bounds what the instance sends, CrossRegion what it takes from other
	// regions, and Origin what it takes from the origin.
	Link, CrossRegion, Origin int64
}

// backend is what stands behind the agent: an engine or a plain service.
type backend interface {
	// handle registers the routes on the outer and the loopback listener.
	handle(outer, local *http.ServeMux)
	// run works until the context ends.
	run(ctx context.Context) error
	// status fills in state, version and progress.
	status(s *relayv1.EndpointStatus)
	// leave begins a planned stop.
	leave()
}

// model returns the model that is served, or an empty name.
func (a *Agent) model() recorder.Name {
	n, _ := strings.CutPrefix(a.Serves, "model/")
	if n == a.Serves {
		return ""
	}
	return recorder.Name(n)
}

// service returns the service that is served, or an empty name.
func (a *Agent) service() recorder.Name {
	n, _ := strings.CutPrefix(a.Serves, "service/")
	if n == a.Serves {
		return ""
	}
	return recorder.Name(n)
}

func (a *Agent) scheme() string {
	if a.TLS.IsZero() {
		return "http"
	}
	return "https"
}

// Run serves until the context ends, then makes a planned stop.
func (a *Agent) Run(ctx context.Context) error {
	outer, local, err := a.prepare(ctx)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return listener.IgnoreStop(work, a.relay.Run(work)) })
	g.Go(func() error { return listener.IgnoreStop(work, a.back.run(work)) })
	servers := []*listener.Drainer{
		{Server: outer.server, Listener: a.connections.Guard(outer.server, outer.listener, listener.Peers)},
		{Server: local.server, Listener: a.connections.Guard(local.server, local.listener, listener.Operators)},
	}
	for _, s := range servers {
		g.Go(s.Serve)
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		a.stop(servers)
		stop()
		return nil
	})
	return g.Wait()
}

// stop makes the planned stop: it announces it, refuses new work, finishes what is in flight, and
// cuts what takes too long.
func (a *Agent) stop(servers []*listener.Drainer) {
	cut := time.Now().Add(a.StopTimeout - listener.ExitMargin)
	a.leave(cut)
	if n, err := listener.DrainAll(servers, cut, a.stopper.Cut); err != nil {
		a.Log.Warn().Int("cut", n).Err(err).Msg("planned stop timed out")
	}
}

// leaveNotice is the time between the announcement of a planned stop and the
// end of new work that gateways may still send. It is one report interval.
const leaveNotice = 2 * time.Second

// leave announces the planned stop, refuses new work and waits until cut for what is in flight.
func (a *Agent) leave(cut time.Time) {
	a.Log.Info().Int("in-flight", a.limit.InFlight()).Msg("planned stop")
	a.leaving.Store(true)
	a.back.leave()
	a.changed.Fire()
	t := time.After(time.Until(cut))
	notice := time.After(leaveNotice)
	for a.limit.InFlight() > 0 || notice != nil {
		select {
		case <-notice:
			notice = nil
		case <-time.After(20 * time.Millisecond):
		case <-t:
			return
		}
	}
}

// listening is an HTTP server with its listener.
type listening struct {
	server   *http.Server
	listener net.Listener
}

func (a *Agent) prepare(ctx context.Context) (outer, local listening, err error) {
	a.bootID = uuid.NewString()
	if a.connections, err = listener.NewBudget(a.Descriptors, a.Memory, a.Log); err != nil {
		return outer, local, err
	}
	if err := a.connections.Register(a.Metrics.Meter); err != nil {
		return outer, local, err
	}
	a.buffers.Limit = receiver.LimitOf(a.Memory)
	a.replica = &follower.Replica{Log: a.Log}
	platform := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: header.MaxResponseBytes}}
	a.submit = &follower.Follower{Log: connector.NewLog(a.LogURL, platform), Replica: a.replica}
	a.submit.Log.Unconfirmed = follower.LogUnconfirmed(a.Log)
	a.limit.Cold, a.limit.Max, a.limit.GrowEvery = a.Cold, a.Most, a.GrowEvery
	a.limit.Changed = func(n int, reason string) {
		a.Log.Info().Int("limit", n).Str("reason", reason).Msg("limit lowered")
	}
	a.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, DisableCompression: true, MaxResponseHeaderBytes: header.MaxResponseBytes,
	}}
	t, err := a.TLS.Client()
	if err != nil {
		return outer, local, err
	}
	a.peers = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, DisableCompression: true, TLSClientConfig: t,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, IdleConnTimeout: 30 * time.Second,
		MaxResponseHeaderBytes: header.MaxResponseBytes,
	}}
	s, err := a.TLS.Server(true)
	if err != nil {
		return outer, local, err
	}
	if outer, err = listen(ctx, a.Listen); err != nil {
		return outer, local, err
	}
	if local, err = listen(ctx, a.Local); err != nil {
		return outer, local, err
	}
	a.address = a.Advertise
	if !a.address.IsValid() {
		a.address = listener.Address(outer.listener)
	}
	a.weights = "http://" + local.listener.Addr().String()
	outer.server.TLSConfig = s
	if a.model() != "" {
		a.back, err = newEngine(a)
	} else {
		a.back = newService(a)
	}
	if err != nil {
		return outer, local, err
	}
	a.relay = a.newRelay()
	if t != nil {
		a.relay.Credentials = authenticator.Credentials(t)
	}
	a.routes(outer.server, local.server)
	a.Log.Info().Stringer("address", a.address).Str("local", local.listener.Addr().String()).
		Str("serves", a.Serves).Str("boot-id", a.bootID).Msg("listening")
	return outer, local, nil
}

func listen(ctx context.Context, a netip.AddrPort) (listening, error) {
	l, err := listener.Open(ctx, a)
	return listening{&http.Server{ReadHeaderTimeout: 10 * time.Second}, l}, err
}

func (a *Agent) routes(outer, local *http.Server) {
	o, l := http.NewServeMux(), http.NewServeMux()
	a.back.handle(o, l)
	for _, m := range []*http.ServeMux{o, l} {
		m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		m.HandleFunc("GET /readyz", a.readyz)
		m.Handle("GET /metrics", a.Metrics.Handler)
	}
	outer.Handler, local.Handler = o, l
}

func (a *Agent) readyz(w http.ResponseWriter, _ *http.Request) {
	if !a.replica.CaughtUp() || a.leaving.Load() || !a.relay.IsAttached() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (a *Agent) newRelay() *relayer.Client {
	return &relayer.Client{
		Gateways: a.Gateways, Others: a.FallbackGateways,
		Hello: &relayv1.Hello{
			Instance: string(a.Instance), FailureDomain: string(a.FailureDomain), Region: string(a.Region),
			Serves: a.Serves, Address: a.address.String(), BootId: a.bootID,
		},
		Credentials:   authenticator.Credentials(nil),
		Replica:       a.replica,
		Status:        a.status,
		StatusChanged: &a.changed,
		Members:       func(m *relayv1.Members) { a.members.Store(m) },
		Log:           a.Log,
	}
}

func (a *Agent) status() *relayv1.EndpointStatus {
	s := &relayv1.EndpointStatus{
		Instance: string(a.Instance), FailureDomain: string(a.FailureDomain), Region: string(a.Region),
		Serves: a.Serves, Address: a.address.String(), BootId: a.bootID,
		Limit: uint32(a.limit.Limit()), InFlight: uint32(a.limit.InFlight()), Applied: a.replica.Current().Offset,
	}
	a.back.status(s)
	return s
}
