package direct

import (
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
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
	Log    zerolog.Logger

	mu   sync.Mutex
	last dispatcher.Report
	// count is the number of reports since one was sent to all gateways.
	count int
}

// send sends a report to the gateways that share the engine, and to all others if it tells
// of a change that concerns every request, or in their turn.
func (s *reportSender) send(r dispatcher.Report) {
	b, err := json.Marshal(r)
	if err != nil {
		s.Log.Error().Err(err).Msg("report-not-encoded")
		return
	}
	sharers := s.sharers()
	toAll := s.isForAll(r) || sharers == nil
	for _, g := range s.State.Gateways(s.Domain) {
		if !toAll && !slices.Contains(sharers, g.Name) {
			continue
		}
		if _, err := s.Socket.WriteToUDPAddrPort(b, g.Address); err != nil {
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
	var own *observer.Endpoint
	for _, e := range s.State.Endpoints() {
		if e.Address == s.Engine && (own == nil || e.Started.After(own.Started)) {
			own = e
		}
	}
	if own == nil {
		return nil
	}
	return dispatcher.Sharers(own, s.State.GatewayList())
}
