package dispatcher

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Error is the error type of this package. A request that ends with it has not
// been sent.
type Error struct {
	// Op is the operation that failed, for example "acquire".
	Op string
	// Kind is Exhausted if all endpoints are full, Unavailable if none may be used,
	// and Timeout if the caller gave up.
	Kind classifier.Kind
	// Reason is a kebab-case word for the log line.
	Reason string
	// RetryAfter is the time after which a retry is expected to be served.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Class returns the kind of the failure.
func (e *Error) Class() classifier.Kind { return e.Kind }
