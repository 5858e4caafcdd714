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

// Decision is a decoded operator record; exactly one field is set.
type Decision struct {
	Configuration *resolver.Configuration
	// Evacuated is the name of a failure domain that gets no new requests.
	Evacuated string
	Target    *Target
}

// Target is the version that all endpoints of a model should serve.
type Target struct {
	Model   string
	Version int64
}

// Endpoint is an entry of the platform's list of endpoints.
type Endpoint struct {
	// ID changes with most restarts, Started with every restart.
	ID      string
	Started time.Time
	// Sequence increases with each entry that the process writes.
	Sequence int64
	Service  string
	Address  netip.AddrPort
	Domain   string
	Region   string
	// Draining reports whether the endpoint gets no new requests.
	Draining bool
	// Slots is the number of requests that the endpoint runs concurrently; 0 if unknown.
	Slots int
	// Cold is the time after the entry was written until the endpoint is warm.
	Cold time.Duration
	// Versions holds the version of each model whose weights the endpoint has loaded
	// completely.
	Versions map[string]int64
}

// Gateway is a gateway that has registered itself.
type Gateway struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
}

// State is the decoded content of the tables. Its fields are set before the first call.
type State struct {
	// Decode decodes an operator record. A nil result means that the record is not
	// relevant to this process.
	Decode func(key string, value []byte) (*Decision, error)
	// DecodeEndpoint decodes an entry of the list of endpoints. An error means that the
	// entry describes no endpoint.
	DecodeEndpoint func(key string, value []byte) (*Endpoint, error)
	// DecodeGateway decodes the record of a gateway.
	DecodeGateway func(value []byte) (*Gateway, error)
	// ApplyHold is called with each record of a hold: what follows HoldPrefix in its key, and its
	// value, which is nil if it was deleted. It may be nil and must not call the State.
	ApplyHold func(name string, value []byte)
	// Now returns the current time on the clock of package timekeeper, on which grace
	// periods are measured.
	Now func() time.Time
	Log zerolog.Logger

	table     atomic.Pointer[resolver.Table]
	endpoints atomic.Pointer[map[string]*Endpoint]
	// gatewayNames holds the sorted names of gateways, for reads without the lock. The
	// slice is replaced by each change.
	gatewayNames atomic.Pointer[[]string]
	// gatewayList holds the gateways in the same order.
	gatewayList atomic.Pointer[[]*Gateway]

	mu        sync.Mutex
	evacuated map[string]string
	targets   map[string]*versionHistory
	gateways  map[string]*Gateway
	// digests holds the digests of versions by key.
	digests map[string]*Digests
	// lastListFailure is the time of the last failed read of the list of endpoints from
	// the first source; listUnavailable is set until a read succeeds.
	lastListFailure time.Time
	listUnavailable bool
	// lapsedUntil holds the time until which an endpoint is kept whose entry expired
	// during an outage.
	lapsedUntil map[string]time.Time
}

// versionHistory holds the target versions of a model, the newest last.
type versionHistory []targetVersion

type targetVersion struct {
	version int64
	// since is a time before which the version was not the target; the zero time if it
	// may have been the target for long.
	since time.Time
}

// Table returns the current routing table, or nil if no configuration is known.
func (s *State) Table() *resolver.Table { return s.table.Load() }

// Endpoints returns the current endpoints by id, or nil before the first read. The map
// must not be modified and doesn't change later.
func (s *State) Endpoints() map[string]*Endpoint {
	if m := s.endpoints.Load(); m != nil {
		return *m
	}
	return nil
}

// ApplyOperator applies new operator records to a state that lacked none before. after is a
// time before which none of them was written; the zero time if it isn't known.
func (s *State) ApplyOperator(items []connector.Item, after time.Time) {
	s.ApplyUpdate(Update{Fresh: items, After: after, Covered: after})
}

// ApplyUpdate applies the result of a read of the operator table.
func (s *State) ApplyUpdate(u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated == nil {
		s.evacuated = make(map[string]string)
		s.targets = make(map[string]*versionHistory)
	}
	for _, i := range u.Fresh {
		if i.Value == nil {
			delete(s.evacuated, i.Key)
			s.Log.Info().Str("key", i.Key).Uint64("offset", i.Offset).Msg("record-dropped")
			continue
		}
		d, err := s.Decode(i.Key, i.Value)
		if err != nil {
			s.Log.Error().Str("key", i.Key).Uint64("offset", i.Offset).Str(zerolog.ErrorFieldName, brief(err)).Msg("record-refused")
			continue
		}
		if d != nil {
			s.applyDecision(i, d, u)
		}
	}
}

func (s *State) applyDecision(i connector.Item, d *Decision, u Update) {
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
		if !s.applyTarget(d.Target, u) {
			return
		}
		if !u.After.IsZero() {
			l.Dur("age-ms", s.Now().Sub(u.After))
		}
		l.Str("model", d.Target.Model).Int64("version", d.Target.Version).Msg("version-named")
	}
}

// IsLater reports whether an operator record names a higher revision or version than another
// one of its key.
func (s *State) IsLater(i, than connector.Item) bool {
	a, err := s.Decode(i.Key, i.Value)
	if err != nil || a == nil {
		return false
	}
	b, err := s.Decode(than.Key, than.Value)
	if err != nil || b == nil {
		return err != nil
	}
	switch {
	case a.Configuration != nil && b.Configuration != nil:
		return a.Configuration.Revision > b.Configuration.Revision
	case a.Target != nil && b.Target != nil:
		return a.Target.Version > b.Target.Version
	}
	return false
}

// firstVersion is the version that endpoints serve before any is named.
const firstVersion = 1

// applyTarget adds a target version to the history, and reports whether it is newer than
// those there. Versions between it and the one before were replaced before this process
// could read them; the last of them may have been named right after the time that the
// state covered.
func (s *State) applyTarget(t *Target, u Update) bool {
	h := s.targets[t.Model]
	if h == nil {
		h = new(versionHistory)
		s.targets[t.Model] = h
	}
	previous := int64(firstVersion)
	if n := len(*h); n > 0 {
		previous = (*h)[n-1].version
		if previous >= t.Version {
			return false
		}
	}
	if missed := t.Version - 1; missed > previous && !u.Covered.IsZero() {
		*h = append(*h, targetVersion{version: missed, since: u.Covered})
		s.Log.Info().Str("model", t.Model).Int64("version", missed).Dur("age-ms", s.Now().Sub(u.Covered)).Msg("version-missed")
	}
	*h = append(*h, targetVersion{version: t.Version, since: u.After})
	return true
}

// Evacuated returns the set of failure domains that get no new requests.
func (s *State) Evacuated() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]bool, len(s.evacuated))
	for _, d := range s.evacuated {
		m[d] = true
	}
	return m
}

// TargetVersions describes the target versions of a model.
type TargetVersions struct {
	// Version is the newest target version; 0 if there is none.
	Version int64
	// Since is a time before which Version was not the target, on the clock of package
	// timekeeper; the zero time if it may have been the target for long.
	Since time.Time
	// Floor is the newest target version whose grace period may have ended; 0 if there
	// is none.
	Floor int64
}

// NamedVersion is a version that operators named.
type NamedVersion struct {
	Version int64
	// Since is a time before which the version was not the target; the zero time if it may
	// have been the target for long.
	Since time.Time
}

// Named returns the versions of a model that operators named, the newest last.
func (s *State) Named(model string) []NamedVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.targets[model]
	if h == nil {
		return nil
	}
	l := make([]NamedVersion, len(*h))
	for i, t := range *h {
		l[i] = NamedVersion{t.version, t.since}
	}
	return l
}

// Target returns the target versions of a model, with Floor for the grace period.
func (s *State) Target(model string, grace time.Duration) TargetVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.targets[model]
	if h == nil {
		return TargetVersions{}
	}
	last := (*h)[len(*h)-1]
	n := TargetVersions{Version: last.version, Since: last.since}
	for _, g := range *h {
		if s.Now().Sub(g.since) >= grace {
			n.Floor = g.version
		}
	}
	return n
}
