package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

const (
	// keepaliveInterval is the time between two reports of an unchanged endpoint.
	// Gateways drop an endpoint after 5 s without a report.
	keepaliveInterval = 1500 * time.Millisecond
	// DefaultAlone is longer than a gateway takes to start again, and leaves the
	// endpoints of a failure domain without a gateway out of service for a few
	// seconds only.
	DefaultAlone = 3 * time.Second
	// retryInterval is the mean time between two attempts to attach.
	retryInterval = 200 * time.Millisecond
	// maxMessage bounds a relay message, which may be a snapshot.
	maxMessage = 64 << 20
)

// Client is an agent's side of the relay.
type Client struct {
	// Gateways are the relay addresses of the own failure domain from settings,
	// Others those of gateways of other failure domains.
	Gateways, Others []netip.AddrPort
	// Alone is the time without a gateway of the own failure domain after which
	// the agent turns to others; 0 means DefaultAlone.
	Alone time.Duration
	// Credentials secure the connection.
	Credentials credentials.TransportCredentials
	// Hello describes the agent; Applied and MembersChange are filled in.
	Hello *relayv1.Hello
	// Replica receives the configuration.
	Replica *follower.Replica
	// Status returns the present status; Sequence is filled in.
	Status func() *relayv1.EndpointStatus
	// StatusChanged fires when the status changed.
	StatusChanged *Signal
	// Members takes each new list of members and does not change it.
	Members func(*relayv1.Members)
	// Log gets a line for each stream that begins or ends.
	Log zerolog.Logger

	mu sync.Mutex
	// learned and others are addresses that a gateway told.
	learned, others []netip.AddrPort
	sequence        uint64
	// own and fallback tell whether a gateway of the own failure domain and one
	// of another are connected.
	own, fallback bool
	changed       Signal
}

// IsAttached reports whether a gateway is connected.
func (c *Client) IsAttached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own || c.fallback
}

// Run keeps the agent attached until the context ends.
func (c *Client) Run(ctx context.Context) error {
	t, ctx := errgroup.WithContext(ctx)
	t.Go(func() error {
		return c.keep(ctx, false, func() []netip.AddrPort { return c.candidates(&c.learned, c.Gateways) })
	})
	t.Go(func() error { return c.keepFallback(ctx) })
	return t.Wait()
}

// keep attaches to one gateway after the other until the context ends.
func (c *Client) keep(ctx context.Context, fallback bool, candidates func() []netip.AddrPort) error {
	var r rotation
	for ctx.Err() == nil {
		if a, ok := r.next(candidates()); ok {
			err := c.attach(ctx, a, fallback)
			if ctx.Err() != nil {
				break
			}
			c.Log.Info().Stringer("gateway", a).Bool("fallback", fallback).AnErr("reason", err).Msg("gateway lost")
		}
		_ = sleeper.Sleep(ctx, retryInterval/2+rand.N(retryInterval))
	}
	return ctx.Err()
}

// keepFallback attaches to gateways of other failure domains while none of the
// own one is connected. A failure domain may have a single gateway, whose loss
// would otherwise take all endpoints of the failure domain out of service.
func (c *Client) keepFallback(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.awaitOwn(ctx, false); err != nil {
			return err
		}
		if sleeper.Sleep(ctx, c.alone()) != nil || c.hasOwn() {
			continue
		}
		f, stop := context.WithCancel(ctx)
		go func() { _ = c.awaitOwn(f, true); stop() }()
		_ = c.keep(f, true, func() []netip.AddrPort { return c.candidates(&c.others, c.Others) })
		stop()
	}
	return ctx.Err()
}

func (c *Client) alone() time.Duration {
	if c.Alone > 0 {
		return c.Alone
	}
	return DefaultAlone
}

func (c *Client) hasOwn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own
}

// awaitOwn waits until a gateway of the own failure domain is connected, or
// until none is.
func (c *Client) awaitOwn(ctx context.Context, connected bool) error {
	for {
		changed := c.changed.Wait()
		if c.hasOwn() == connected {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// candidates returns gateways in this agent's rendezvous order, so that the
// agents of a failure domain spread over them.
func (c *Client) candidates(learned *[]netip.AddrPort, known []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	l := slices.Clone(*learned)
	c.mu.Unlock()
	for _, a := range known {
		if !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	rank := func(a netip.AddrPort) uint64 { return xxhash.Sum64String(c.Hello.Instance + " " + a.String()) }
	slices.SortFunc(l, func(a, b netip.AddrPort) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return l
}

func (c *Client) attach(ctx context.Context, a netip.AddrPort, fallback bool) error {
	g, err := dial(a, c.Credentials)
	if err != nil {
		return err
	}
	defer func() { _ = g.Close() }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watch := newWatchdog(stop, silence)
	defer watch.end()
	s, err := relayv1.NewRelayServiceClient(g).Attach(ctx)
	if err != nil {
		return err
	}
	h := proto.Clone(c.Hello).(*relayv1.Hello)
	h.Applied, h.Fallback, h.MembersChange = c.Replica.Current().Offset, fallback, true
	if err := s.Send(&relayv1.AttachRequest{Message: &relayv1.AttachRequest_Hello{Hello: h}}); err != nil {
		return err
	}
	var t errgroup.Group
	t.Go(func() error {
		defer stop()
		return c.receive(s, watch, func() {
			c.setAttached(fallback, true)
			c.Log.Info().Stringer("gateway", a).Bool("fallback", fallback).Msg("gateway attached")
		})
	})
	t.Go(func() error { defer stop(); return c.send(ctx, s) })
	err = t.Wait()
	c.setAttached(fallback, false)
	return err
}

func (c *Client) setAttached(fallback, v bool) {
	c.mu.Lock()
	if fallback {
		c.fallback = v
	} else {
		c.own = v
	}
	c.mu.Unlock()
	c.changed.Fire()
}

// receive takes messages until the stream ends, and calls attached after the
// first one.
func (c *Client) receive(s grpc.BidiStreamingClient[relayv1.AttachRequest, relayv1.AttachResponse], w *watchdog, attached func()) error {
	// Changes apply to the list of the same stream, never to one of another gateway.
	var members *relayv1.Members
	for first := true; ; first = false {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		if first {
			attached()
		}
		w.reset()
		switch v := m.Message.(type) {
		case *relayv1.AttachResponse_Members:
			members = v.Members
			c.Members(members)
		case *relayv1.AttachResponse_MembersChange:
			if members == nil {
				return failure("change members", classifier.Invalid, "a change came before a list")
			}
			members = applyMembers(members, v.MembersChange)
			c.Members(members)
		default:
			if err := c.take(m); err != nil {
				return err
			}
		}
	}
}

func (c *Client) take(m *relayv1.AttachResponse) error {
	switch v := m.Message.(type) {
	case *relayv1.AttachResponse_Record:
		return c.Replica.Apply(v.Record.Offset, v.Record.Body)
	case *relayv1.AttachResponse_Snapshot:
		return install(c.Replica, v.Snapshot)
	case *relayv1.AttachResponse_Gateways:
		c.learn(v.Gateways)
	case *relayv1.AttachResponse_Offset:
		c.Replica.Announce(v.Offset)
	}
	return nil
}

func install(r *follower.Replica, p *relayv1.Snapshot) error {
	s, err := registrar.Restore(p.Body)
	if err != nil {
		return err
	}
	if s.Offset != p.Offset {
		return failure("install snapshot", classifier.Invalid, "offset %d is announced as %d", s.Offset, p.Offset)
	}
	r.Install(s)
	return nil
}

// learn takes the gateways that one told. What a gateway of another failure
// domain tells is left out, since its own failure domain is another one.
func (c *Client) learn(g *relayv1.Gateways) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own {
		c.learned, c.others = parseAddresses(g.Addresses), parseAddresses(g.Others)
	}
}

func parseAddresses(l []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range l {
		if p, err := netip.ParseAddrPort(a); err == nil {
			out = append(out, p)
		}
	}
	return out
}

func (c *Client) send(ctx context.Context, s grpc.BidiStreamingClient[relayv1.AttachRequest, relayv1.AttachResponse]) error {
	var last *relayv1.EndpointStatus
	t := time.NewTicker(keepaliveInterval)
	defer t.Stop()
	for {
		changed := c.StatusChanged.Wait()
		n := c.next()
		m := &relayv1.AttachRequest{Message: &relayv1.AttachRequest_Status{Status: n}}
		if last != nil && sameStatus(last, n) {
			k := &relayv1.Keepalive{Sequence: n.Sequence, Limit: n.Limit, InFlight: n.InFlight, Applied: n.Applied}
			m = &relayv1.AttachRequest{Message: &relayv1.AttachRequest_Keepalive{Keepalive: k}}
		}
		last = n
		if err := s.Send(m); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) next() *relayv1.EndpointStatus {
	n := c.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	n.Sequence = c.sequence
	return n
}

// sameStatus reports whether only the values of a keep-alive differ.
func sameStatus(a, b *relayv1.EndpointStatus) bool {
	return a.State == b.State && a.Version == b.Version && a.Message == b.Message &&
		a.ChunksVerified == b.ChunksVerified && a.ChunksTotal == b.ChunksTotal
}

func dial(a netip.AddrPort, c credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+a.String(), append(dialOptions(), grpc.WithTransportCredentials(c))...)
}

// watchdog ends a stream on which nothing arrives.
type watchdog struct {
	t     *time.Timer
	limit time.Duration
}

func newWatchdog(stop func(), limit time.Duration) *watchdog {
	return &watchdog{time.AfterFunc(limit, stop), limit}
}

func (w *watchdog) reset() { w.t.Reset(w.limit) }

func (w *watchdog) end() { w.t.Stop() }
