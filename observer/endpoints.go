package observer

import (
	"maps"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// returnTime is how long an entry that lapsed while the platform was away may be
// missing after the last failed read until the endpoint is taken as gone.
const returnTime = 1900 * time.Millisecond

// ListFailed notes that the platform's list could not be read.
func (s *State) ListFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage, s.away = s.Now(), true
}

// ApplyEndpoints takes fresh entries of the list; first tells that the first source
// gave them. Entries that were dropped until its first answer after an outage may have
// lapsed because they couldn't be renewed, and are kept for a while. Later ones left.
func (s *State) ApplyEndpoints(items []connector.Item, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lapsed := s.away
	if first {
		s.away = false
	}
	if s.missing == nil {
		s.missing = make(map[string]time.Time)
	}
	if len(items) == 0 && len(s.missing) == 0 && s.Endpoints() != nil {
		return
	}
	m := s.copyEndpoints()
	for _, i := range items {
		delete(s.missing, i.Key)
		if i.Value == nil {
			if m[i.Key] != nil && lapsed {
				s.missing[i.Key] = s.outage.Add(returnTime)
				continue
			}
			s.remove(m, i.Key, "dropped")
			continue
		}
		e, err := s.DecodeEndpoint(i.Key, i.Value)
		if err != nil {
			s.Log.Warn().Str("endpoint", i.Key).Uint64("offset", i.Offset).Err(err).Msg("endpoint-entry-refused")
			delete(m, i.Key)
			continue
		}
		s.logChange(m[i.Key], e)
		m[i.Key] = e
	}
	s.expire(m)
	s.endpoints.Store(&m)
}

// ExpireEndpoints removes the entries that didn't come back after an outage. It is
// called several times a second where requests are placed, since reads of the list
// are further apart.
func (s *State) ExpireEndpoints() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.missing) == 0 {
		return
	}
	m := s.copyEndpoints()
	s.expire(m)
	s.endpoints.Store(&m)
}

func (s *State) copyEndpoints() map[string]*Endpoint {
	m := make(map[string]*Endpoint)
	maps.Copy(m, s.Endpoints())
	return m
}

func (s *State) expire(m map[string]*Endpoint) {
	now := s.Now()
	for k, until := range s.missing {
		if !now.Before(until) {
			delete(s.missing, k)
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
