package gateway

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

// updateEndpoint stores an endpoint status in the table.
func (g *Gateway) updateEndpoint(s *relayv1.EndpointStatus) {
	a, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		g.Log.Warn().Str("instance", s.Instance).Err(err).Msg("endpoint status refused")
		return
	}
	name := strings.ToLower(strings.TrimPrefix(s.State.String(), "ENDPOINT_STATE_"))
	state, err := router.ParseState(name)
	if err != nil {
		g.Log.Warn().Str("instance", s.Instance).Err(err).Msg("endpoint status refused")
		return
	}
	old, known := g.table.Get(recorder.Name(s.Instance))
	g.table.Update(router.Endpoint{
		Instance: recorder.Name(s.Instance), FailureDomain: recorder.Name(s.FailureDomain), Region: recorder.Name(s.Region),
		Serves: s.Serves, Address: a, BootID: s.BootId, Sequence: s.Sequence, State: state,
		Version: recorder.Name(s.Version), Limit: int(s.Limit), InFlight: int(s.InFlight), Applied: s.Applied,
		ChunksVerified: int(s.ChunksVerified), ChunksTotal: int(s.ChunksTotal), Message: s.Message, Seen: time.Now(),
	})
	if !known || old.State != state || old.Version != recorder.Name(s.Version) {
		g.Log.Info().Str("endpoint", s.Instance).Str("state", name).Str("version", s.Version).
			Uint32("limit", s.Limit).Str("reason", s.Message).Msg("endpoint status")
	}
}

// maintainTable periodically updates the admission capacity and removes endpoints
// that stopped reporting.
func (g *Gateway) maintainTable(ctx context.Context) error {
	t := time.NewTicker(capacityInterval)
	defer t.Stop()
	expired := time.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		g.setCapacity()
		if now := time.Now(); now.Sub(expired) >= time.Second {
			expired = now
			g.expire(now)
			g.countForeignEndpoints()
		}
	}
}

// countForeignEndpoints counts the endpoints of other failure domains.
func (g *Gateway) countForeignEndpoints() {
	n := int32(0)
	for e := range g.table.Each() {
		if e.FailureDomain != g.FailureDomain {
			n++
		}
	}
	g.foreignEndpoints.Store(n)
}

// expire removes endpoints whose agent stopped reporting. Endpoints attached to a
// live peer are kept.
func (g *Gateway) expire(now time.Time) {
	for e := range g.table.Each() {
		if now.Sub(e.Seen) > endpointGrace && !g.endpoints.IsReportedByPeer(string(e.Instance)) && g.table.Remove(e.Instance) {
			g.Log.Warn().Str("endpoint", string(e.Instance)).Dur("silent-ms", now.Sub(e.Seen)).Msg("endpoint expired")
		}
	}
}

// summaries returns the summaries to report to other failure domains. They cover
// the endpoints of this failure domain only, because limits and rollouts are
// counted by failure domain.
func (g *Gateway) summaries() []*relayv1.Summary {
	type key struct {
		serves  string
		version recorder.Name
	}
	sums := make(map[key]*relayv1.Summary)
	var out []*relayv1.Summary
	for e := range g.table.Each() {
		if e.FailureDomain != g.FailureDomain {
			continue
		}
		k := key{e.Serves, e.Version}
		s := sums[k]
		if s == nil {
			s = &relayv1.Summary{Serves: e.Serves, Version: string(e.Version)}
			sums[k] = s
			out = append(out, s)
		}
		s.Endpoints++
		s.ChunksVerified += uint64(e.ChunksVerified)
		s.ChunksTotal += uint64(e.ChunksTotal)
		if e.State == router.Ready && g.replica.Current().Drains[e.Instance] == nil {
			s.Ready++
			s.Limit += uint32(e.Limit)
			s.InFlight += uint32(e.InFlight)
		}
	}
	slices.SortFunc(out, func(a, b *relayv1.Summary) int {
		return cmp.Or(cmp.Compare(a.Serves, b.Serves), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// operatorEndpoints returns the endpoints for the operator API: those of the
// own failure domain one by one, those of others by their summaries and
// without a name.
func (g *Gateway) operatorEndpoints() []*operatorv1.Endpoint {
	var out []*operatorv1.Endpoint
	for e := range g.table.Each() {
		out = append(out, &operatorv1.Endpoint{
			Instance: string(e.Instance), FailureDomain: string(e.FailureDomain), Serves: e.Serves, Version: string(e.Version),
			State: e.State.String(), Limit: uint32(e.Limit), InFlight: uint32(e.InFlight), Message: e.Message, Applied: e.Applied,
			ChunksVerified: uint32(e.ChunksVerified), ChunksTotal: uint32(e.ChunksTotal),
		})
	}
	for _, d := range g.domains.all() {
		for _, s := range d.summaries {
			for i := range s.Endpoints {
				out = append(out, remoteEndpoint(d.name, s, i))
			}
		}
	}
	return out
}

func remoteEndpoint(domain recorder.Name, s *relayv1.Summary, i uint32) *operatorv1.Endpoint {
	e := &operatorv1.Endpoint{FailureDomain: string(domain), Serves: s.Serves, Version: s.Version, State: "not-ready"}
	if i < s.Ready {
		e.State, e.Limit, e.InFlight = router.Ready.String(), s.Limit/s.Ready, s.InFlight/s.Ready
	}
	e.ChunksVerified = uint32(s.ChunksVerified / uint64(s.Endpoints))
	e.ChunksTotal = uint32(s.ChunksTotal / uint64(s.Endpoints))
	return e
}
