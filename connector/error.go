package connector

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "append to intents.booking".
	Op string
	// Kind classifies the failure.
	Kind classifier.Kind
	// RetryAfter is how long the server asks to wait before a retry, or 0.
	RetryAfter time.Duration
	// First is the oldest offset that the log still has if a read was below it.
	First uint64
	// Epoch is that of the log in a response to such a read; 0 if it isn't known.
	Epoch uint64
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Class returns the kind of the failure.
func (e *Error) Class() classifier.Kind { return e.Kind }
