package observer

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// lapsedEntryRetention is how long after the last failed read an endpoint is kept whose
// entry expired while the platform was unavailable. Endpoints that are alive are listed again
// within two seconds.
const lapsedEntryRetention = 1900 * time.Millisecond

// ListFailed records that the list of endpoints could not be read from the platform.
func (s *State) ListFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastListFailure, s.listUnavailable = s.Now(), true
}

// IsListAvailable reports whether the last read of the list of endpoints from the platform succeeded.
func (s *State) IsListAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.listUnavailable
}

// ApplyEndpoints applies new entries of the list; first reports whether they come from
// the first source. During an outage of the first source, up to and including its first
// response, an entry may have been deleted because it expired without a chance to be
// renewed, so its endpoint is kept for a while. An entry that is deleted later belongs
// to an endpoint that has left.
func (s *State) ApplyEndpoints(items []connector.Item, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lapsed := s.listUnavailable
	if first {
		s.listUnavailable = false
	}
	if s.lapsedUntil == nil {
		s.lapsedUntil = make(map[string]time.Time)
	}
	if len(items) == 0 && len(s.lapsedUntil) == 0 && s.Endpoints() != nil {
		return
	}
	m := s.copyEndpoints()
	for _, i := range items {
		delete(s.lapsedUntil, i.Key)
		if i.Value == nil {
			if m[i.Key] != nil && lapsed {
				s.lapsedUntil[i.Key] = s.lastListFailure.Add(lapsedEntryRetention)
				continue
			}
			s.remove(m, i.Key, "dropped")
			continue
		}
		e, err := s.DecodeEndpoint(i.Key, i.Value)
		if err != nil {
			s.Log.Warn().Str("endpoint", i.Key).Uint64("offset", i.Offset).Str(zerolog.ErrorFieldName, brief(err)).Msg("endpoint-entry-refused")
			delete(m, i.Key)
			continue
		}
		s.logChange(m[i.Key], e)
		m[i.Key] = e
	}
	s.removeExpired(m)
	s.endpoints.Store(&m)
}

// ExpireEndpoints removes the endpoints whose entries weren't renewed in time after an
// outage. A process that schedules requests calls it several times a second, as reads
// of the list are less frequent.
func (s *State) ExpireEndpoints() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lapsedUntil) == 0 {
		return
	}
	m := s.copyEndpoints()
	s.removeExpired(m)
	s.endpoints.Store(&m)
}

func (s *State) copyEndpoints() map[string]*Endpoint {
	m := make(map[string]*Endpoint)
	maps.Copy(m, s.Endpoints())
	return m
}

func (s *State) removeExpired(m map[string]*Endpoint) {
	now := s.Now()
	for k, until := range s.lapsedUntil {
		if !now.Before(until) {
			delete(s.lapsedUntil, k)
			s.remove(m, k, "lapsed")
		}
	}
}

func (s *State) remove(m map[string]*Endpoint, id, reason string) {
	if m[id] == nil {
		return
	}
	delete(m, id)
	s.Log.Info().Str("endpoint", id).Str("reason", reason).Msg("endpoint-gone")
}

func (s *State) logChange(old, e *Endpoint) {
	if old != nil && old.Draining == e.Draining && old.Started.Equal(e.Started) && old.Address == e.Address {
		return
	}
	s.Log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address.String()).
		Str("failure-domain", e.Domain).Bool("draining", e.Draining).Bool("new", old == nil).Msg("endpoint-changed")
}
