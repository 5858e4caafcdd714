package isolator

import "github.com/eelgrassdrift/eelgrassdrift/classifier"

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "decode message".
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
