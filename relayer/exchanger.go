package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

// planInterval is the time between two reads of the list of peers.
const planInterval = 500 * time.Millisecond

// Peer is another gateway.
type Peer struct {
	// Instance is empty for a peer known by its address only.
	Instance      string
	FailureDomain string
	Address       netip.AddrPort
}

// Exchanger keeps Exchange streams to peers.
type Exchanger struct {
	// Server is this gateway's side of the relay.
	Server *Server
	// Peers returns the other gateways that are known.
	Peers func() []Peer
	// Credentials secures the connections.
	Credentials credentials.TransportCredentials

	mu sync.Mutex
	// connected holds the peers that answered with a hello on a stream that this gateway
	// dialled and that is still open.
	connected map[netip.AddrPort]bool
}

// Run maintains the streams until the context ends.
func (x *Exchanger) Run(ctx context.Context) error {
	open := make(map[netip.AddrPort]context.CancelFunc)
	ended := make(chan netip.AddrPort)
	t := time.NewTicker(planInterval)
	defer t.Stop()
	defer func() {
		for range open {
			<-ended
		}
	}()
	var d dialler
	for {
		want := d.want(time.Now(), x.Server.Hello, x.Peers(), x.isConnected, x.Server.hasInbound)
		for a := range want {
			if open[a] == nil {
				c, stop := context.WithCancel(ctx)
				open[a] = stop
				go x.keepConnected(c, a, ended)
			}
		}
		for a, stop := range open {
			if !want[a] {
				stop()
			}
		}
		select {
		case <-t.C:
		case a := <-ended:
			delete(open, a)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (x *Exchanger) isConnected(a netip.AddrPort) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.connected[a]
}

func (x *Exchanger) setConnected(a netip.AddrPort, v bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.connected == nil {
		x.connected = make(map[netip.AddrPort]bool)
	}
	if v {
		x.connected[a] = true
	} else {
		delete(x.connected, a)
	}
}

// keepConnected dials one peer again and again until the context ends.
func (x *Exchanger) keepConnected(ctx context.Context, a netip.AddrPort, ended chan<- netip.AddrPort) {
	for ctx.Err() == nil {
		if err := x.dial(ctx, a); err != nil && ctx.Err() == nil {
			x.Server.Log.Debug().Stringer("peer-address", a).Err(err).Msg("connection to peer failed")
		}
		_ = sleeper.Sleep(ctx, retryInterval+rand.N(2*retryInterval))
	}
	ended <- a
}

func (x *Exchanger) dial(ctx context.Context, a netip.AddrPort) error {
	g, err := dial(a, x.Credentials)
	if err != nil {
		return err
	}
	defer func() { _ = g.Close() }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// Without a timeout, a peer that accepts the connection and sends nothing would block here.
	w := newWatchdog(stop, 3*repeatInterval)
	defer w.end()
	s, err := relayv1.NewRelayServiceClient(g).Exchange(ctx)
	if err != nil {
		return err
	}
	send := func(m *relayv1.ExchangeMessage) error { return s.Send(&relayv1.ExchangeRequest{Message: m}) }
	if err := send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Hello{Hello: x.Server.hello()}}); err != nil {
		return err
	}
	m, err := s.Recv()
	if err != nil {
		return err
	}
	w.end()
	h := m.GetMessage().GetHello()
	if h == nil {
		return failure("exchange", classifier.Invalid, "the first message of %s is not a hello", a)
	}
	if h.Instance == x.Server.Hello.Instance {
		<-ctx.Done()
		return ctx.Err()
	}
	x.setConnected(a, true)
	defer x.setConnected(a, false)
	l := x.Server.newLink(h)
	l.send = send
	l.recv = func() (*relayv1.ExchangeMessage, error) {
		v, err := s.Recv()
		return v.GetMessage(), err
	}
	return l.run(ctx)
}
