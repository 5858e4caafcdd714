package observer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Decision is the meaning of one operator record; one field is set.
type Decision struct {
	Configuration *resolver.Configuration
	// Evacuated is a failure domain that gets no new requests.
	Evacuated string
	Target    *Target
}

// Target is the version that all endpoints of a model are to serve.
type Target struct {
	Model   string
	Version int64
}

// Endpoint is an entry of the platform's list.
type Endpoint struct {
	// ID changes with most restarts; Started changes with each.
	ID      string
	Started time.Time
	Service string
	Address netip.AddrPort
	Domain  string
	Region  string
	// Draining endpoints get no new requests.
	Draining bool
	// Slots is the number of requests that run at once; 0 where it isn't known.
	Slots int
	// Cold is the time for which the endpoint stays cold after the entry was
	// written.
	Cold time.Duration
	// Versions holds the version of each model that the endpoint serves whole.
	Versions map[string]int64
}

// Gateway is a gateway that has announced itself.
type Gateway struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
}

// State is what the tables mean. Its fields are set before the first call.
type State struct {
	// Decode returns the meaning of an operator record. A nil result means that
	// the record is of no concern.
	Decode func(key string, value []byte) (*Decision, error)
	// DecodeEndpoint reads an entry of the list. The error tells that it names
	// no endpoint.
	DecodeEndpoint func(key string, value []byte) (*Endpoint, error)
	// DecodeGateway reads the record of a gateway.
	DecodeGateway func(value []byte) (*Gateway, error)
	Now           func() time.Time
	Log           zerolog.Logger

	table     atomic.Pointer[resolver.Table]
	endpoints atomic.Pointer[map[string]*Endpoint]
	// gatewayCount is the length of gateways.
	gatewayCount atomic.Int64

	mu        sync.Mutex
	evacuated map[string]string
	targets   map[string]*history
	gateways  map[string]*Gateway
	// outage is when a read of the list from the first source failed last; away is
	// set until it answers again.
	outage time.Time
	away   bool
	// missing holds until when entries that lapsed in an outage are kept.
	missing map[string]time.Time
}

// history is the sequence of the versions of a model, the newest last.
type history []naming

type naming struct {
	version int64
	// learned is when this process learned of the version; the zero time where
	// it may have been named long before.
	learned time.Time
}

// Table returns the configuration, or nil while none is known.
func (s *State) Table() *resolver.Table { return s.table.Load() }

// Endpoints returns the present list; it isn't changed. It is nil before the
// first read.
func (s *State) Endpoints() map[string]*Endpoint {
	if m := s.endpoints.Load(); m != nil {
		return *m
	}
	return nil
}

// ApplyOperator takes fresh operator records. Those of the first read may be old.
func (s *State) ApplyOperator(items []connector.Item, bootstrap bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated == nil {
		s.evacuated = make(map[string]string)
		s.targets = make(map[string]*history)
	}
	for _, i := range items {
		if i.Value == nil {
			delete(s.evacuated, i.Key)
			s.Log.Info().Str("key", i.Key).Uint64("offset", i.Offset).Msg("record-dropped")
			continue
		}
		d, err := s.Decode(i.Key, i.Value)
		if err != nil {
			s.Log.Error().Str("key", i.Key).Uint64("offset", i.Offset).Err(err).Msg("record-refused")
			continue
		}
		if d != nil {
			s.decide(i, d, bootstrap)
		}
	}
}

func (s *State) decide(i connector.Item, d *Decision, bootstrap bool) {
	l := s.Log.Info().Str("key", i.Key).Uint64("offset", i.Offset)
	switch {
	case d.Configuration != nil:
		if t := s.Table(); t != nil && t.Configuration.Revision > d.Configuration.Revision {
			l.Uint64("revision", d.Configuration.Revision).Uint64("kept", t.Configuration.Revision).Msg("configuration-older")
			return
		}
		s.table.Store(resolver.New(d.Configuration))
		l.Uint64("revision", d.Configuration.Revision).Int("routes", len(d.Configuration.Routes)).Msg("configuration-applied")
	case d.Evacuated != "":
		s.evacuated[i.Key] = d.Evacuated
		l.Str("failure-domain", d.Evacuated).Msg("failure-domain-evacuated")
	case d.Target != nil:
		h := s.targets[d.Target.Model]
		if h == nil {
			h = new(history)
			s.targets[d.Target.Model] = h
		}
		if n := len(*h); n > 0 && (*h)[n-1].version >= d.Target.Version {
			return
		}
		g := naming{version: d.Target.Version, learned: s.Now()}
		if bootstrap {
			g.learned = time.Time{}
		}
		*h = append(*h, g)
		l.Str("model", d.Target.Model).Int64("version", d.Target.Version).Msg("version-named")
	}
}

// Evacuated reports whether a failure domain gets no new requests.
func (s *State) Evacuated() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]bool, len(s.evacuated))
	for _, d := range s.evacuated {
		m[d] = true
	}
	return m
}

// Named is the state of a model's versions.
type Named struct {
	// Version is the newest version; 0 where none was named.
	Version int64
	// Learned is when this process learned of it; the zero time where it may
	// have been named long before.
	Learned time.Time
	// Floor is the newest version that was learned of at least grace ago.
	Floor int64
}

// Target returns the versions of a model.
func (s *State) Target(model string, grace time.Duration) Named {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.targets[model]
	if h == nil {
		return Named{}
	}
	last := (*h)[len(*h)-1]
	n := Named{Version: last.version, Learned: last.learned}
	for _, g := range *h {
		if s.Now().Sub(g.learned) >= grace {
			n.Floor = g.version
		}
	}
	return n
}
