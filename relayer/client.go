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
