package router

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// State is the state of an endpoint as its agent reports it.
type State uint8

// The states of an endpoint, in the order in which a new version passes them.
const (
	// Empty means that the engine holds no weights.
	Empty State = iota
	// Fetching means that chunks of the version are on their way.
	Fetching
	// Verified means that all chunks are present and verified.
	Verified
	// Draining means that requests of the old version are finishing.
	Draining
	// Loading means that a load order is in progress.
	Loading
	// Warming means that the engine is loaded and not yet checked.
	Warming
	// Ready means that the endpoint takes requests.
	Ready
	// Leaving means that the endpoint takes no new requests and will stop.
	Leaving
)

// String returns the kebab-case name of the state.
func (s State) String() string {
	names := [...]string{"empty", "fetching", "verified", "draining", "loading", "warming", "ready", "leaving"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state-%d", uint8(s))
}

// ParseState reads the kebab-case name of a state. The error is of kind Invalid.
func ParseState(s string) (State, error) {
	for v := Empty; v <= Leaving; v++ {
		if s == v.String() {
			return v, nil
		}
	}
	return Empty, &Error{Op: "parse state", Kind: classifier.Invalid, Err: errors.Newf("%.40q is not a state", s)}
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(b []byte) error {
	v, err := ParseState(string(b))
	if err != nil {
		return err
	}
	*s = v
	return nil
}
