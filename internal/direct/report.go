package direct

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// otherReportInterval is the number of reports of which a gateway that doesn't share the
// engine gets one. It sends few requests there, and reports to all gateways would be most
// of the bytes between regions in a large fleet.
const otherReportInterval = 3

// reportSender sends the reports of an agent to gateways over UDP. A lost report is made up
// for by the next one. Its exported fields are set before the first report.
type reportSender struct {
	// Engine is the address of the agent's engine, as in the endpoint list.
	Engine netip.AddrPort
	// Domain is the failure domain of the agent.
	Domain string
	State  *observer.State
	Socket *net.UDPConn
	// Lender lends the cold rate of the engine by the bound of Cold, where Lending says so; nil if
	// the agent doesn't lend.
	Lender  *lender.Lender
	Lending Lending
	Cold    dispatcher.ColdLimit
	// Service is the service of the engine.
	Service string
	Log     zerolog.Logger

	// statements holds the waiting requests that gateways stated.
	statements dispatcher.Statements

	mu   sync.Mutex
	last dispatcher.Report
	// count is the number of reports since one was sent to all gateways.
	count int
}

// Lending says where an agent lends the request rate of its engine while it is cold. The zero value
// is NeverLend.
type Lending string

// The values of Lending.
const (
	NeverLend  Lending = "false"
	AlwaysLend Lending = "true"
	// LendRanked means where routes of the service differ in rank, so that callers compete for the
	// engines. Agents don't know the ranks of accounts.
	LendRanked Lending = "ranked"
)

// isPossible reports whether the agent may lend under some configuration.
func (l Lending) isPossible() bool { return l == AlwaysLend || l == LendRanked }

// includes reports whether the agent lends the rate of engines of the service.
func (l Lending) includes(t *resolver.Table, service string) bool {
	return l == AlwaysLend || l == LendRanked && len(t.Ranks(service)) > 1
}

// send sends a report to the gateways that share the engine, and to all others if it tells
// of a change that concerns every request, or in their turn. While a small fleet's list lacks the
// engine, all gateways get each report. In a large one they get it in turn: at the start, when no
// agent has the list, reports would use half of a link between regions.
func (s *reportSender) send(r dispatcher.Report) {
	offers := s.lend(&r)
	b, err := json.Marshal(r)
	if err != nil {
		s.Log.Error().Err(err).Msg("report-not-encoded")
		return
	}
	sharers := s.sharers()
	toAll := s.isForAll(r) || sharers == nil && len(s.State.GatewayNames()) <= maxSmallFleet
	for _, g := range s.State.Gateways(s.Domain) {
		o, isLent := offers[g.Name]
		if !toAll && !isLent && !slices.Contains(sharers, g.Name) {
			continue
		}
		own := b
		if others := s.statements.Others(g.Name); isLent || others != nil {
			v := r
			v.Waiting = others
			if isLent {
				v.Lending = &o
			}
			if own, err = json.Marshal(v); err != nil {
				s.Log.Error().Err(err).Msg("report-not-encoded")
				continue
			}
		}
		if _, err := s.Socket.WriteToUDPAddrPort(own, g.Address); err != nil {
			s.Log.Debug().Err(err).Str("gateway", g.Name).Msg("report-not-sent")
		}
	}
}

// isForAll records the report, and reports whether it goes to all gateways.
func (s *reportSender) isForAll(r dispatcher.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := r.Closed != s.last.Closed || r.Leaving != s.last.Leaving || !r.Started.Equal(s.last.Started) || !maps.Equal(r.Versions, s.last.Versions)
	s.last = r
	if s.count++; changed || s.count >= otherReportInterval {
		s.count = 0
		return true
	}
	return false
}

// sharers returns the names of the gateways that share the engine; nil if all do, or if
// that isn't known.
func (s *reportSender) sharers() []string {
	own := s.own()
	if own == nil {
		return nil
	}
	return dispatcher.Sharers(own, s.State.GatewayList())
}

// own returns the entry of the engine in the endpoint list, or nil.
func (s *reportSender) own() *observer.Endpoint {
	var own *observer.Endpoint
	for _, e := range s.State.Endpoints() {
		if e.Address == s.Engine && e.Service == s.Service && (own == nil || e.Started.After(own.Started)) {
			own = e
		}
	}
	return own
}

// lend adds an empty offer to the report if the agent lends, and returns the offers with permits
// by gateway.
func (s *reportSender) lend(r *dispatcher.Report) map[string]lender.Offer {
	if s.Lender == nil {
		return nil
	}
	own, t := s.own(), s.State.Table()
	if own == nil || t == nil {
		return nil
	}
	v := t.Service(s.Service)
	if v == nil {
		return nil
	}
	e := lender.Endpoint{
		Started: r.Started, Loaded: len(r.Versions) > 0, ColdTime: v.ColdTime, List: lender.ListDigest(s.State.GatewayNames()),
	}
	// Without a bound the lender ends a ramp-up that has begun, and reports that the engine is warm.
	if v.ColdRate > 0 && s.Lending.includes(t, s.Service) {
		e.Bound = s.Cold.Bound(v.ColdRate)
		e.Shares, e.Share = s.Cold.FixedShares(v.ColdRate, own, s.State.GatewayList())
	}
	offers, isActive := s.Lender.Lend(e)
	if isActive {
		r.Lending = &lender.Offer{}
	}
	return offers
}

// maxDemandBytes is the largest size of a demand; a gateway's name is bounded by it.
const maxDemandBytes = 512

// receiveDemands takes the demands of gateways for permits and their waiting requests until ctx is done. It reads from
// the socket of the reports, to whose address gateways send them.
func (s *reportSender) receiveDemands(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	b := make([]byte, maxDemandBytes+1)
	for ctx.Err() == nil {
		n, from, err := s.Socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil {
				s.Log.Warn().Err(err).Msg("demands-not-received")
				_ = sleeper.Sleep(ctx, receiveRetryDelay)
			}
			continue
		}
		s.hear(b[:n], from)
	}
	return nil
}

// hear passes a demand to the lender, and records the waiting requests that it states, if it came from the
// instance of the gateway that it names. Others are ignored without a line, as anyone can send them.
func (s *reportSender) hear(b []byte, from netip.AddrPort) {
	var d lender.Demand
	if len(b) > maxDemandBytes || json.Unmarshal(b, &d) != nil {
		return
	}
	isSource := slices.ContainsFunc(s.State.GatewayList(), func(g *observer.Gateway) bool {
		return g.Name == d.Gateway && g.Address.Addr().Unmap() == from.Addr().Unmap()
	})
	if !isSource {
		return
	}
	if len(d.Ranks) > 0 {
		s.statements.Hear(d.Gateway, d.Ranks)
	}
	if s.Lender != nil && d.Sent != 0 {
		s.Lender.Hear(d)
	}
}
