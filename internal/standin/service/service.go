package service

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
)

const (
	// DefaultPrefix is the path prefix of the zero value.
	DefaultPrefix = "/booking/"
	maxBody       = 1 << 20
	maxKey        = 256
)

// Service is the service. Exported fields are set before the first call.
type Service struct {
	standin.Server
	// Prefix begins and ends with "/"; empty means DefaultPrefix.
	Prefix string
	// Start holds the faults in force at the start.
	Start Faults
	// Seed is the seed of faults by share.
	Seed uint64

	once   sync.Once
	mux    *http.ServeMux
	gate   standin.Gate[Faults]
	dice   standin.Dice
	before standin.Picker
	after  standin.Picker

	mu    sync.Mutex
	stats Stats
}

// Stats counts what the service did since its start.
type Stats struct {
	// Executions counts bookings, with or without an answer.
	Executions int `json:"executions"`
	// Keys counts bookings by the field key of the body, and IdempotencyKeys by
	// the header Idempotency-Key.
	Keys            map[string]int `json:"keys"`
	IdempotencyKeys map[string]int `json:"idempotency-keys"`
	// Repeated counts bookings above the first of a body key.
	Repeated int `json:"repeated"`
	// Failed counts bookings refused before their effect, and Lost those made
	// and not answered.
	Failed int `json:"failed"`
	Lost   int `json:"lost"`
	// Reads counts GET calls.
	Reads int `json:"reads"`
}

// Booking is the answer to a booking.
type Booking struct {
	Key string `json:"key"`
	// Execution is the number of the booking, from 1. Two answers with the same
	// number come from one execution.
	Execution int `json:"execution"`
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.Serve(ctx, s) }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.once.Do(s.prepare)
	s.setFaults(f)
}

func (s *Service) setFaults(f Faults) {
	s.before.Set(f.FailBefore)
	s.after.Set(f.FailAfter)
	s.gate.Set(f)
}

// Stats returns a copy of the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.stats
	v.Keys, v.IdempotencyKeys = maps.Clone(v.Keys), maps.Clone(v.IdempotencyKeys)
	return v
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.prepare)
	s.mux.ServeHTTP(w, r)
}

func (s *Service) prepare() {
	if s.Prefix == "" {
		s.Prefix = DefaultPrefix
	}
	s.dice.Seed = s.Seed
	s.stats.Keys, s.stats.IdempotencyKeys = map[string]int{}, map[string]int{}
	s.setFaults(s.Start)
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST "+s.Prefix+"bookings", s.book)
	s.mux.HandleFunc("GET "+s.Prefix, s.get)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { standin.Reply(w, http.StatusOK, s.Stats()) })
	standin.HandleFaults(s.mux, s.gate.Get, s.SetFaults)
}

func outage(f Faults) standin.Outage { return f.Outage }

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		standin.ReplyError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !s.gate.Pass(w, r, outage) {
		return
	}
	key, err := parseKey(b)
	if err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !standin.Sleep(r.Context(), s.gate.Get().DelayBefore.Std()) {
		return
	}
	if s.before.Hit(&s.dice) {
		s.mu.Lock()
		s.stats.Failed++
		s.mu.Unlock()
		standin.ReplyError(w, http.StatusInternalServerError, "booking failed")
		return
	}
	n, lost := s.execute(key, r.Header.Get("Idempotency-Key"))
	if !standin.Sleep(r.Context(), s.gate.Get().DelayAfter.Std()) || lost {
		standin.Abort()
	}
	standin.Reply(w, http.StatusCreated, Booking{key, n})
}

// parseKey reads the field key. Other fields belong to the caller and are allowed.
func parseKey(b []byte) (string, error) {
	var v struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return "", errors.Wrap(err, "body")
	}
	if v.Key == "" || len(v.Key) > maxKey {
		return "", errors.Newf("field key: %d bytes; 1 to %d are allowed", len(v.Key), maxKey)
	}
	return v.Key, nil
}

func (s *Service) execute(key, header string) (n int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.after.Hit(&s.dice)
	s.stats.Executions++
	if s.stats.Keys[key]++; s.stats.Keys[key] > 1 {
		s.stats.Repeated++
	}
	if header != "" {
		s.stats.IdempotencyKeys[header]++
	}
	if lost {
		s.stats.Lost++
	}
	return s.stats.Executions, lost
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	if !s.gate.Pass(w, r, outage) {
		return
	}
	if !standin.Sleep(r.Context(), s.gate.Get().DelayBefore.Std()) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	s.mu.Unlock()
	standin.Reply(w, http.StatusOK, struct {
		Path string `json:"path"`
	}{r.URL.Path})
}
