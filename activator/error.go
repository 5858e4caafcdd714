package activator

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "enter".
	Op string
	// Kind classifies the failure.
	Kind classifier.Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Class returns the kind of the failure.
func (e *Error) Class() classifier.Kind { return e.Kind }

// unavailable returns the error of a request that was not admitted.
func unavailable(format string, args ...any) error {
	return &Error{Op: "enter", Kind: classifier.Unavailable, Err: errors.Newf(format, args...)}
}
