package resolver

import "github.com/eelgrassdrift/eelgrassdrift/classifier"

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "resolve".
	Op string
	// Kind is Invalid for an invalid configuration, NotFound for a request that
	// matches no route and Unauthenticated for one without a known key.
	Kind classifier.Kind
	// Err is the cause.
	Err error
	// Place is the invalid field of a configuration.
	Place Place
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Class returns the kind of the failure.
func (e *Error) Class() classifier.Kind { return e.Kind }
