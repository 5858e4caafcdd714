package relayer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

const (
	// wantDelay is the time for which a gateway that is behind waits for the log before
	// it requests records from a peer.
	wantDelay = 250 * time.Millisecond
	// coalesceInterval is the minimum time between two reports of offsets and summaries.
	coalesceInterval = 200 * time.Millisecond
	// loadReportInterval is the minimum time between two summaries that differ only in load.
	loadReportInterval = time.Second
	// repeatInterval is the time after which gateways resend their offset to each other.
	// A gateway has some 50 Exchange streams, so it is longer than for agents.
	repeatInterval = 2 * offsetInterval
)

// link is one end of an Exchange stream.
type link struct {
	server   *Server
	delivery delivery
	// stream is the number of the stream in the server's Endpoints.
	stream uint64
	peer   *relayv1.Hello
	send   func(*relayv1.ExchangeMessage) error
	recv   func() (*relayv1.ExchangeMessage, error)
	// summaries returns this failure domain's summaries.
	summaries func() []*relayv1.Summary
	// peerWants carries the offset after which the peer requests records.
	peerWants chan uint64
	// peerOffsets carries the latest offset that the peer announced.
	peerOffsets chan uint64
}

// Exchange serves a stream that another gateway dialled.
func (s *Server) Exchange(g grpc.BidiStreamingServer[relayv1.ExchangeRequest, relayv1.ExchangeResponse]) error {
	m, err := g.Recv()
	if err != nil {
		return err
	}
	h := m.GetMessage().GetHello()
	if h == nil {
		return status.Error(codes.InvalidArgument, "exchange: the first message has to be a hello")
	}
	l := s.newLink(h)
	l.send = func(m *relayv1.ExchangeMessage) error { return g.Send(&relayv1.ExchangeResponse{Message: m}) }
	l.recv = func() (*relayv1.ExchangeMessage, error) {
		v, err := g.Recv()
		return v.GetMessage(), err
	}
	if err := l.send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Hello{Hello: s.hello()}}); err != nil {
		return err
	}
	if !l.isLocal() {
		s.addInbound(h.FailureDomain, 1)
		defer s.addInbound(h.FailureDomain, -1)
	}
	return l.run(g.Context())
}

// addInbound adds n to the number of open streams dialled by gateways of another failure domain.
func (s *Server) addInbound(domain string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inbound == nil {
		s.inbound = make(map[string]int)
	}
	s.inbound[domain] += n
}

// hasInbound reports whether a stream dialled by a gateway of a failure domain is open.
func (s *Server) hasInbound(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inbound[domain] > 0
}

func (s *Server) hello() *relayv1.Hello {
	h := proto.Clone(s.Hello).(*relayv1.Hello)
	h.Applied = s.Replica.Current().Offset
	return h
}

func (s *Server) newLink(peer *relayv1.Hello) *link {
	return &link{
		server: s, stream: s.Endpoints.newStream(), peer: peer, summaries: s.Endpoints.summaries,
		peerWants: make(chan uint64, 1), peerOffsets: make(chan uint64, 1),
	}
}

// run exchanges messages until the stream fails.
func (l *link) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s := l.server
	s.Log.Info().Str("peer", l.peer.Instance).Str("failure-domain", l.peer.FailureDomain).Msg("peer connected")
	putLatest(l.peerOffsets, l.peer.Applied)
	w := newWatchdog(stop, 3*repeatInterval)
	defer w.end()
	err := runBothDirections(stop, func() error { return l.receive(w) }, func() error { return l.sendLoop(ctx) })
	l.delivery.end()
	s.Endpoints.Demand(l.stream, l.peer, nil)
	if l.isLocal() {
		s.Endpoints.dropStream(l.stream)
	} else {
		s.Endpoints.Summaries(l.stream, l.peer.FailureDomain, l.peer.Address, nil)
	}
	s.Log.Info().Str("peer", l.peer.Instance).AnErr("reason", err).Msg("peer lost")
	return err
}

// isLocal reports whether the peer belongs to the same failure domain.
func (l *link) isLocal() bool { return l.peer.FailureDomain == l.server.Hello.FailureDomain }

// putLatest replaces the offset buffered in the channel, if any. It does not block.
func putLatest(c chan uint64, offset uint64) {
	for {
		select {
		case c <- offset:
			return
		default:
		}
		select {
		case <-c:
		default:
		}
	}
}

func (l *link) receive(w *watchdog) error {
	for {
		m, err := l.recv()
		if err != nil {
			return err
		}
		w.reset()
		if !l.delivery.do(func() { err = l.process(m) }) {
			return errStreamEnded
		}
		if err != nil {
			return err
		}
	}
}

// process handles one message of the peer.
func (l *link) process(m *relayv1.ExchangeMessage) error {
	s := l.server
	switch v := m.GetMessage().(type) {
	case *relayv1.ExchangeMessage_Offset:
		s.Replica.ObserveLogEnd(v.Offset)
		putLatest(l.peerOffsets, v.Offset)
	case *relayv1.ExchangeMessage_Want:
		putLatest(l.peerWants, v.Want.After)
	case *relayv1.ExchangeMessage_Record:
		if err := s.Replica.Apply(v.Record.Offset, v.Record.Body); err != nil {
			s.Log.Debug().Err(err).Str("peer", l.peer.Instance).Msg("record from peer refused")
		}
	case *relayv1.ExchangeMessage_Snapshot:
		return installSnapshot(s.Replica, v.Snapshot)
	case *relayv1.ExchangeMessage_Status:
		// The endpoint may be of another failure domain, which has lost its gateways.
		if l.isLocal() {
			s.Endpoints.reportFromPeer(l.stream, v.Status)
		}
	case *relayv1.ExchangeMessage_Detached:
		s.Endpoints.detachFromPeer(l.stream, v.Detached)
	case *relayv1.ExchangeMessage_Demand:
		s.Endpoints.Demand(l.stream, l.peer, v.Demand)
	case *relayv1.ExchangeMessage_Summaries:
		// A failure domain without endpoints sends an empty list; nil means end of stream.
		n := append([]*relayv1.Summary{}, v.Summaries.Summaries...)
		s.Endpoints.Summaries(l.stream, l.peer.FailureDomain, l.peer.Address, n)
	}
	return nil
}

// sendLoop sends this gateway's offset, its endpoints or summaries, and the records that
// the peer requests.
func (l *link) sendLoop(ctx context.Context) error {
	s := l.server
	tick := time.NewTicker(repeatInterval)
	defer tick.Stop()
	o := sentState{link: l}
	var wantTimer <-chan time.Time
	for {
		moved, reported := s.Replica.Changed(), s.Endpoints.statusChanged.Wait()
		var summaryChanged <-chan struct{}
		if !l.isLocal() {
			summaryChanged = s.Endpoints.summaryChanged.Wait()
		}
		if err := o.flush(); err != nil {
			return err
		}
		select {
		case <-moved:
		case <-reported:
		case <-summaryChanged:
		case <-tick.C:
			o.repeatDue = true
		case after := <-l.peerWants:
			if err := l.sendRecords(after); err != nil {
				return err
			}
			continue
		case n := <-l.peerOffsets:
			if n > s.Replica.Current().Offset && wantTimer == nil {
				wantTimer = time.After(wantDelay)
			}
			continue
		case <-wantTimer:
			wantTimer = nil
			if err := l.want(); err != nil {
				return err
			}
			continue
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sleeper.Sleep(ctx, coalesceInterval); err != nil {
			return err
		}
	}
}

// want requests records from the peer unless the log has delivered them in the meantime.
func (l *link) want() error {
	r := l.server.Replica
	have := r.Current().Offset
	if !r.IsBehind() {
		return nil
	}
	l.server.Log.Info().Str("peer", l.peer.Instance).Uint64("applied", have).Msg("records requested from peer")
	w := &relayv1.Want{After: have}
	return l.send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Want{Want: w}})
}

func (l *link) sendRecords(after uint64) error {
	r := l.server.Replica
	records, ok := r.After(after)
	if !ok {
		p, err := snapshotOf(r)
		if err != nil {
			return err
		}
		return l.send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Snapshot{Snapshot: p}})
	}
	for _, v := range records {
		m := &relayv1.Record{Offset: v.Offset, Body: v.Body}
		if err := l.send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Record{Record: m}}); err != nil {
			return err
		}
	}
	return nil
}

// sentState records what was sent to a peer.
type sentState struct {
	link         *link
	sentStatuses sentStatuses
	// repeatDue requests that the offset be resent even if unchanged.
	repeatDue  bool
	offsetSent bool
	offset     uint64
	summaries  *relayv1.Summaries
	// summariesSentAt is when summaries were last sent.
	summariesSentAt time.Time
	demand          divider.Demand
}

func (o *sentState) flush() error {
	s := o.link.server
	if n := s.Replica.Current().Offset; !o.offsetSent || o.repeatDue || n != o.offset {
		o.offset = n
		if err := o.link.send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Offset{Offset: n}}); err != nil {
			return err
		}
	}
	o.offsetSent = true
	defer func() { o.repeatDue = false }()
	if err := o.flushDemand(); err != nil {
		return err
	}
	if o.link.isLocal() {
		for _, m := range o.sentStatuses.diff(time.Now(), s.Endpoints.snapshot()) {
			if err := o.link.send(m); err != nil {
				return err
			}
		}
		return nil
	}
	n := &relayv1.Summaries{FailureDomain: s.Hello.FailureDomain, Summaries: o.link.summaries()}
	now := time.Now()
	if o.summaries != nil && !summariesChanged(o.summaries, n, now.Sub(o.summariesSentAt) >= loadReportInterval) {
		return nil
	}
	o.summaries, o.summariesSentAt = n, now
	return o.link.send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Summaries{Summaries: n}})
}

// summariesChanged reports whether new summaries need to be sent to a peer: if endpoints
// or versions changed, and with load set also if the free capacity changed by more than
// an eighth of the limit. Without this threshold, every request would cost a message to
// each other failure domain.
func summariesChanged(a, b *relayv1.Summaries, load bool) bool {
	if len(a.Summaries) != len(b.Summaries) {
		return true
	}
	for i, x := range a.Summaries {
		y := b.Summaries[i]
		if x.Serves != y.Serves || x.Version != y.Version || x.Ready != y.Ready || x.Endpoints != y.Endpoints {
			return true
		}
		was, is := int64(x.Limit)-int64(x.InFlight), int64(y.Limit)-int64(y.InFlight)
		if load && 8*max(was-is, is-was) > int64(max(x.Limit, y.Limit)) {
			return true
		}
	}
	return false
}

// flushDemand sends the demand if it changed by more than a fifth. The first one is sent
// even if empty, so that the peer knows that this gateway reports.
func (o *sentState) flushDemand() error {
	d := o.link.server.Endpoints.OwnDemand(o.link.isLocal())
	if o.demand != nil && !divider.Changed(o.demand, d) {
		return nil
	}
	o.demand = d
	m := &relayv1.Demand{RequestsPerSecond: make(map[string]float32, len(d))}
	for a, r := range d {
		m.RequestsPerSecond[string(a)] = float32(r)
	}
	return o.link.send(&relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Demand{Demand: m}})
}
