package observer

import (
	"maps"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// HoldPrefix begins the keys of the records of the gateway table that tell which requests are held.
const HoldPrefix = "hold/"

// IsGatewayKey reports whether a record of the gateway table is that of a gateway.
func IsGatewayKey(key string) bool { return !isDigestKey(key) && !strings.HasPrefix(key, HoldPrefix) }

// ApplyGateways applies new records of gateways, of digests and of holds.
func (s *State) ApplyGateways(items []connector.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gateways == nil {
		s.gateways = make(map[string]*Gateway)
	}
	for _, i := range items {
		if isDigestKey(i.Key) {
			s.applyDigests(i)
			continue
		}
		if name, isHold := strings.CutPrefix(i.Key, HoldPrefix); isHold {
			if s.ApplyHold != nil {
				s.ApplyHold(name, i.Value)
			}
			continue
		}
		if i.Value == nil {
			delete(s.gateways, i.Key)
			continue
		}
		g, err := s.DecodeGateway(i.Value)
		if err != nil {
			s.Log.Warn().Str("gateway", i.Key).Str(zerolog.ErrorFieldName, brief(err)).Msg("gateway-record-refused")
			continue
		}
		s.gateways[i.Key] = g
	}
	if len(items) > 0 {
		names := slices.Sorted(maps.Keys(s.gateways))
		s.gatewayNames.Store(&names)
		list := make([]*Gateway, len(names))
		for i, n := range names {
			list[i] = s.gateways[n]
		}
		s.gatewayList.Store(&list)
	}
}

// GatewayNames returns the sorted names of the known gateways. The slice must not be
// modified and doesn't change later. No lock is taken, as it is read for each request.
func (s *State) GatewayNames() []string {
	if l := s.gatewayNames.Load(); l != nil {
		return *l
	}
	return nil
}

// GatewayList returns the known gateways sorted by key, with the same rules as
// GatewayNames.
func (s *State) GatewayList() []*Gateway {
	if l := s.gatewayList.Load(); l != nil {
		return *l
	}
	return nil
}

// GatewayCount returns the number of known gateways.
func (s *State) GatewayCount() int { return len(s.GatewayNames()) }

// Gateways returns the known gateways sorted by name, those of the failure domain first.
func (s *State) Gateways(domain string) []*Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, far []*Gateway
	for _, g := range s.gateways {
		if g.Domain == domain {
			near = append(near, g)
		} else {
			far = append(far, g)
		}
	}
	for _, l := range [][]*Gateway{near, far} {
		slices.SortFunc(l, func(a, b *Gateway) int { return strings.Compare(a.Name, b.Name) })
	}
	return append(near, far...)
}
