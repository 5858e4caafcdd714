package direct

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
)

// demandInterval is the interval at which a gateway sends its demand for permits of cold engines. A
// report answers the last one, whose age is part of lender.Validity.
const demandInterval = 100 * time.Millisecond

// waitingRounds is the number of rounds of demands of which one states the waiting requests: five
// a second, as agents report.
const waitingRounds = 2

// sendDemands sends the gateway's demands to the agents that lend, and its waiting requests to the agents
// of services with several ranks, until ctx is done. It opens its socket with the first one, so that a
// fleet without both uses no descriptor for it. It tries again with each one, and logs only the first failure.
func (g *Gateway) sendDemands(ctx context.Context) error {
	var c *net.UDPConn
	isLogged := false
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	t := time.NewTicker(demandInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		l := g.dispatcher.Demands()
		if round%waitingRounds == 0 {
			l = withWaiting(l, g.dispatcher.Waiting(), g.dispatcher.Name)
		}
		if len(l) == 0 {
			continue
		}
		if c == nil {
			var err error
			if c, err = net.ListenUDP("udp4", &net.UDPAddr{IP: g.Peers.Addr().AsSlice()}); err != nil {
				if !isLogged {
					g.Log.Warn().Err(err).Msg("demands-not-sent")
				}
				isLogged = true
				continue
			}
		}
		for _, d := range l {
			if err := sendDemand(c, d); err != nil {
				g.Log.Debug().Err(err).Str("agent", d.To.String()).Msg("demand-not-sent")
			}
		}
	}
}

// withWaiting adds the waiting requests to the demands for the same agents. Those for other agents
// become messages of their own, which ask for no permits.
func withWaiting(l []dispatcher.AgentDemand, waiting []dispatcher.Waiting, gateway string) []dispatcher.AgentDemand {
	for _, w := range waiting {
		i := slices.IndexFunc(l, func(d dispatcher.AgentDemand) bool { return d.To == w.To })
		if i < 0 {
			i = len(l)
			l = append(l, dispatcher.AgentDemand{To: w.To, Demand: lender.Demand{Gateway: gateway, Started: w.Started}})
		}
		l[i].Demand.Ranks = w.Ranks
	}
	return l
}

func sendDemand(c *net.UDPConn, d dispatcher.AgentDemand) error {
	b, err := json.Marshal(d.Demand)
	if err != nil {
		return errors.Wrap(err, "encode demand")
	}
	_, err = c.WriteToUDPAddrPort(b, d.To)
	return errors.Wrap(err, "send demand")
}
