package operator

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// Server implements operatorv1.OperatorServiceServer. All function fields are
// set before the first call.
type Server struct {
	operatorv1.UnimplementedOperatorServiceServer

	// State returns the newest State; nil while the gateway has none.
	State func() *registrar.State
	// Age returns the time since the State was last known to be the newest.
	Age func() time.Duration
	// Submit appends a record and returns when its outcome is read back. An
	// error of kind Unavailable, Exhausted, Invalid or Refused means that the
	// record was certainly not appended; after any other error it may have been.
	Submit func(context.Context, recorder.Record) (registrar.Outcome, error)
	// Endpoints returns the endpoints that the gateway knows. The server does
	// not change them.
	Endpoints func() []*operatorv1.Endpoint
	// Changed returns a channel that is closed at the next change of the State
	// or of the endpoints.
	Changed func() <-chan struct{}
	// Now returns the time for records; people read it, no rule does.
	Now func() time.Time
	// Log receives one line for each call.
	Log zerolog.Logger
	// Bootstrap is the digest of the key that is accepted as operator
	// "bootstrap" while no operator is declared. Zero accepts none.
	Bootstrap recorder.Digest
	// FreshAge is the age up to which the State decides that a declared object
	// is unchanged and needs no change; 0 means DefaultFreshAge.
	FreshAge time.Duration
}

// DefaultFreshAge is the target time in which a change is in force everywhere.
// An older State may miss a change that the operator has already seen.
const DefaultFreshAge = 6 * time.Second

// state returns the State or an error of kind Unavailable.
func (s *Server) state(op string) (*registrar.State, error) {
	if v := s.State(); v != nil {
		return v, nil
	}
	return nil, fail(op, classifier.Unavailable, "the gateway has no configuration yet")
}

func (s *Server) isFresh() bool {
	limit := s.FreshAge
	if limit == 0 {
		limit = DefaultFreshAge
	}
	return s.Age() <= limit
}
