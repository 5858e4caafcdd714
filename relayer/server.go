package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
)

// offsetInterval is the time after which a gateway resends its offset to an agent.
const offsetInterval = 2 * time.Second

// streamTimeout is the time without a message after which an Attach stream is closed.
const streamTimeout = 3 * offsetInterval

// Server is a gateway's side of the relay.
type Server struct {
	relayv1.UnimplementedRelayServiceServer

	// Hello describes this gateway.
	Hello *relayv1.Hello
	// Replica is the configuration that is relayed.
	Replica *follower.Replica
	// Members returns the members for an agent that serves the given model or service,
	// never nil. The returned list must not be modified.
	Members func(serves string) *relayv1.Members
	// Gateways returns the relay addresses of this failure domain and some of others.
	// The returned message must not be modified.
	Gateways func() *relayv1.Gateways
	// MembersChanged fires when the result of Members or Gateways has changed.
	MembersChanged *Signal
	// Endpoints receives the reports of agents and peers.
	Endpoints *Endpoints
	// Log receives an entry for each stream that begins or ends.
	Log zerolog.Logger

	mu       sync.Mutex
	attached int
	// inbound counts the open streams dialled by gateways of other failure domains, by
	// failure domain.
	inbound map[string]int
}

// Attached returns the number of attached agents.
func (s *Server) Attached() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached
}

func (s *Server) addAttached(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attached += n
}

// Attach serves one agent.
func (s *Server) Attach(g grpc.BidiStreamingServer[relayv1.AttachRequest, relayv1.AttachResponse]) error {
	m, err := g.Recv()
	if err != nil {
		return err
	}
	h := m.GetHello()
	if h == nil {
		return status.Error(codes.InvalidArgument, "attach: the first message has to be a hello")
	}
	if h.FailureDomain != s.Hello.FailureDomain && !h.Fallback {
		return status.Errorf(codes.FailedPrecondition, "attach: this gateway serves failure domain %s, not %s",
			s.Hello.FailureDomain, h.FailureDomain)
	}
	s.addAttached(1)
	defer s.addAttached(-1)
	s.Log.Info().Str("instance", h.Instance).Str("failure-domain", h.FailureDomain).Bool("fallback", h.Fallback).
		Uint64("applied", h.Applied).Msg("agent attached")
	a := &attachment{server: s, stream: g, hello: h, sentOffset: h.Applied}
	ctx, stop := context.WithCancel(g.Context())
	defer stop()
	w := newWatchdog(stop, streamTimeout)
	defer w.end()
	err = runBothDirections(stop, func() error { return a.receive(w) }, func() error { return a.send(ctx) })
	a.delivery.end()
	s.Endpoints.Detach(h.Instance, h.BootId)
	s.Log.Info().Str("instance", h.Instance).AnErr("reason", err).Msg("agent detached")
	return err
}

// runBothDirections runs both directions of a stream until one returns, and returns its
// error. stop must make send return. send runs on the caller's goroutine, as the stack of
// another one would take some 8 KB for each stream.
func runBothDirections(stop func(), receive, send func() error) error {
	received := make(chan error, 1)
	go func() {
		received <- receive()
		stop()
	}()
	err := send()
	select {
	case e := <-received:
		return e
	default:
		return err
	}
}

// delivery passes on the messages of a stream until it has ended. One that was received
// before may still be on its way then, and must not bring back state that has been dropped.
type delivery struct {
	mu    sync.Mutex
	ended bool
}

// do calls f unless the stream has ended, and reports whether it did.
func (d *delivery) do(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	f()
	return true
}

// end waits for a call of f, after which there is none any more.
func (d *delivery) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
}

// errStreamEnded ends the receiving direction of a stream whose sending one has ended.
var errStreamEnded = status.Error(codes.Canceled, "the stream has ended")

// attachment is the state of one Attach stream.
type attachment struct {
	server   *Server
	delivery delivery
	stream   grpc.BidiStreamingServer[relayv1.AttachRequest, relayv1.AttachResponse]
	hello    *relayv1.Hello
	// last is the latest full status, with the values of later keep-alives.
	last *relayv1.EndpointStatus
	// sentOffset is the offset of the last record sent.
	sentOffset uint64
}

func (a *attachment) receive(w *watchdog) error {
	for {
		m, err := a.stream.Recv()
		if err != nil {
			return err
		}
		w.reset()
		switch v := m.Message.(type) {
		case *relayv1.AttachRequest_Status:
			if v.Status.Instance != a.hello.Instance || v.Status.FailureDomain != a.hello.FailureDomain {
				return status.Error(codes.InvalidArgument, "attach: the status is of another instance")
			}
			a.last = v.Status
		case *relayv1.AttachRequest_Keepalive:
			if a.last == nil {
				return status.Error(codes.InvalidArgument, "attach: a keep-alive came before a status")
			}
			a.last = withKeepalive(a.last, v.Keepalive)
		default:
			continue
		}
		if !a.delivery.do(func() { a.server.Endpoints.Report(a.last) }) {
			return errStreamEnded
		}
	}
}

// withKeepalive returns a copy of the status with the values of a keep-alive.
func withKeepalive(s *relayv1.EndpointStatus, k *relayv1.Keepalive) *relayv1.EndpointStatus {
	n := proto.Clone(s).(*relayv1.EndpointStatus)
	n.Sequence, n.Limit, n.InFlight, n.Applied = k.Sequence, k.Limit, k.InFlight, k.Applied
	return n
}

func (a *attachment) send(ctx context.Context) error {
	s := a.server
	tick := time.NewTicker(offsetInterval)
	defer tick.Stop()
	var members *relayv1.Members
	var gateways *relayv1.Gateways
	for {
		changed, moved := s.Replica.Changed(), s.MembersChanged.Wait()
		if err := a.sendRecords(); err != nil {
			return err
		}
		m := s.Members(a.hello.Serves)
		if r := membersMessage(members, m, a.hello.MembersChange); r != nil {
			if err := a.stream.Send(r); err != nil {
				return err
			}
		}
		members = m
		if g := s.Gateways(); g != gateways && !proto.Equal(g, gateways) {
			gateways = g
			if err := a.stream.Send(&relayv1.AttachResponse{Message: &relayv1.AttachResponse_Gateways{Gateways: g}}); err != nil {
				return err
			}
		}
		o := &relayv1.AttachResponse_Offset{Offset: s.Replica.Current().Offset}
		if err := a.stream.Send(&relayv1.AttachResponse{Message: o}); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-moved:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendRecords sends the records that the agent has not got, or a snapshot if the replica
// no longer keeps them.
func (a *attachment) sendRecords() error {
	records, ok := a.server.Replica.After(a.sentOffset)
	if !ok {
		p, err := snapshotOf(a.server.Replica)
		if err != nil {
			return err
		}
		a.sentOffset = p.Offset
		return a.stream.Send(&relayv1.AttachResponse{Message: &relayv1.AttachResponse_Snapshot{Snapshot: p}})
	}
	for _, v := range records {
		r := &relayv1.Record{Offset: v.Offset, Body: v.Body}
		if err := a.stream.Send(&relayv1.AttachResponse{Message: &relayv1.AttachResponse_Record{Record: r}}); err != nil {
			return err
		}
		a.sentOffset = v.Offset
	}
	return nil
}

func snapshotOf(r *follower.Replica) (*relayv1.Snapshot, error) {
	s := r.Current()
	b, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	return &relayv1.Snapshot{Offset: s.Offset, Body: b}, nil
}
