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
	"google.golang.org/grpc/credentials"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

const (
	// keepaliveInterval is the time between two reports of an unchanged status. Gateways
	// remove an endpoint after 5 s without a report.
	keepaliveInterval = 1500 * time.Millisecond
	// DefaultFallbackDelay is the default of Client.FallbackDelay. It is longer than a
	// gateway takes to restart, and if a failure domain loses all its gateways, its
	// endpoints are out of service for only a few seconds.
	DefaultFallbackDelay = 3 * time.Second
	// retryInterval is the mean time between two attempts to attach.
	retryInterval = 200 * time.Millisecond
	// maxMessageBytes limits the size of a relay message, which may hold a snapshot.
	maxMessageBytes = 64 << 20
)

// Client is an agent's side of the relay.
type Client struct {
	// Gateways holds the relay addresses configured for the agent's failure domain,
	// Others those of gateways of other failure domains.
	Gateways, Others []netip.AddrPort
	// FallbackDelay is the time without a connected gateway of the agent's failure
	// domain after which it attaches to one of another; 0 means DefaultFallbackDelay.
	FallbackDelay time.Duration
	// Credentials secures the connections.
	Credentials credentials.TransportCredentials
	// Hello describes the agent. Client sets Applied, Fallback and MembersChange.
	Hello *relayv1.Hello
	// Replica receives the configuration.
	Replica *follower.Replica
	// Status returns the current status. Client sets Sequence.
	Status func() *relayv1.EndpointStatus
	// StatusChanged fires when the status has changed.
	StatusChanged *Signal
	// Members is called with each new list of members and must not modify it.
	Members func(*relayv1.Members)
	// Log receives an entry for each stream that begins or ends.
	Log zerolog.Logger

	mu sync.Mutex
	// learnedGateways and learnedOthers are the addresses received from a gateway, of
	// this failure domain and of others.
	learnedGateways, learnedOthers []netip.AddrPort
	sequence                       uint64
	// ownConnected and fallbackConnected tell whether a gateway of the agent's failure
	// domain and one of another are connected.
	ownConnected, fallbackConnected bool
	connectionChanged               Signal
}

// IsAttached reports whether a gateway is connected.
func (c *Client) IsAttached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownConnected || c.fallbackConnected
}

// Run keeps the agent attached until the context ends.
func (c *Client) Run(ctx context.Context) error {
	t, ctx := errgroup.WithContext(ctx)
	t.Go(func() error {
		return c.keepAttached(ctx, false, func() []netip.AddrPort { return c.candidates(&c.learnedGateways, c.Gateways) })
	})
	t.Go(func() error { return c.keepFallback(ctx) })
	return t.Wait()
}

// keepAttached attaches to one candidate after another until the context ends.
func (c *Client) keepAttached(ctx context.Context, fallback bool, candidates func() []netip.AddrPort) error {
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

// keepFallback attaches to gateways of other failure domains while none of the agent's
// own is connected. A failure domain may have a single gateway, whose loss would
// otherwise take all its endpoints out of service.
func (c *Client) keepFallback(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.awaitOwnGateway(ctx, false); err != nil {
			return err
		}
		if sleeper.Sleep(ctx, c.fallbackDelay()) != nil || c.hasOwnGateway() {
			continue
		}
		f, stop := context.WithCancel(ctx)
		go func() { _ = c.awaitOwnGateway(f, true); stop() }()
		_ = c.keepAttached(f, true, func() []netip.AddrPort { return c.candidates(&c.learnedOthers, c.Others) })
		stop()
	}
	return ctx.Err()
}

func (c *Client) fallbackDelay() time.Duration {
	if c.FallbackDelay > 0 {
		return c.FallbackDelay
	}
	return DefaultFallbackDelay
}

func (c *Client) hasOwnGateway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownConnected
}

// awaitOwnGateway waits until a gateway of the agent's failure domain is connected, or
// until none is if connected is false.
func (c *Client) awaitOwnGateway(ctx context.Context, connected bool) error {
	for {
		connectionChanged := c.connectionChanged.Wait()
		if c.hasOwnGateway() == connected {
			return nil
		}
		select {
		case <-connectionChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// candidates returns the learned and the known gateways in rendezvous order for this
// agent, so that the agents of a failure domain spread over them.
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
