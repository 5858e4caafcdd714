package relayer

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

func (c *Client) attach(ctx context.Context, a netip.AddrPort, fallback bool) error {
	g, err := dial(a, c.Credentials)
	if err != nil {
		return err
	}
	defer func() { _ = g.Close() }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watch := newWatchdog(stop, streamTimeout)
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
		c.fallbackConnected = v
	} else {
		c.ownConnected = v
	}
	c.mu.Unlock()
	c.connectionChanged.Fire()
}

// receive handles messages until the stream fails, and calls attached after the first
// message.
func (c *Client) receive(s grpc.BidiStreamingClient[relayv1.AttachRequest, relayv1.AttachResponse], w *watchdog, attached func()) error {
	// A change applies to the list received on the same stream, never to another gateway's.
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
				return failure("change members", classifier.Invalid, "received a change of the member list before a full list")
			}
			members = applyMembers(members, v.MembersChange)
			c.Members(members)
		default:
			if err := c.handle(m); err != nil {
				return err
			}
		}
	}
}

func (c *Client) handle(m *relayv1.AttachResponse) error {
	switch v := m.Message.(type) {
	case *relayv1.AttachResponse_Record:
		return c.Replica.Apply(v.Record.Offset, v.Record.Body)
	case *relayv1.AttachResponse_Snapshot:
		return installSnapshot(c.Replica, v.Snapshot)
	case *relayv1.AttachResponse_Gateways:
		c.setLearnedGateways(v.Gateways)
	case *relayv1.AttachResponse_Offset:
		c.Replica.ObserveLogEnd(v.Offset)
	}
	return nil
}

func installSnapshot(r *follower.Replica, p *relayv1.Snapshot) error {
	s, err := registrar.Restore(p.Body)
	if err != nil {
		return err
	}
	if s.Offset != p.Offset {
		return failure("install snapshot", classifier.Invalid, "snapshot has offset %d, message announces %d", s.Offset, p.Offset)
	}
	r.Install(s)
	return nil
}

// setLearnedGateways stores the gateway addresses that a gateway sent. They are ignored
// while only a gateway of another failure domain is connected, since that
// gateway's own failure domain is not the agent's.
func (c *Client) setLearnedGateways(g *relayv1.Gateways) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownConnected {
		c.learnedGateways, c.learnedOthers = parseAddresses(g.Addresses), parseAddresses(g.Others)
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
		n := c.nextStatus()
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

func (c *Client) nextStatus() *relayv1.EndpointStatus {
	n := c.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	n.Sequence = c.sequence
	return n
}

// sameStatus reports whether two statuses differ at most in the fields of a Keepalive.
func sameStatus(a, b *relayv1.EndpointStatus) bool {
	return a.State == b.State && a.Version == b.Version && a.Message == b.Message &&
		a.ChunksVerified == b.ChunksVerified && a.ChunksTotal == b.ChunksTotal
}

func dial(a netip.AddrPort, c credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+a.String(), append(dialOptions(), grpc.WithTransportCredentials(c))...)
}
