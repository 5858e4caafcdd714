package admitter

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Error is the error type of this package. A request that ends with it was not
// run.
type Error struct {
	// Op is the operation that failed, for example "admit".
	Op string
	// Kind is Exhausted for a refusal and Timeout if the caller gave up.
	Kind classifier.Kind
	// Reason is a kebab-case word for the log.
	Reason string
	// RetryAfter is the time after which a retry is expected to be admitted; 0
	// if the caller gave up.
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

// minRetryAfter prevents refused clients from retrying immediately.
const minRetryAfter = 10 * time.Millisecond

func refuse(reason string, after time.Duration, format string, args ...any) *Error {
	return &Error{
		Op: "admit", Kind: classifier.Exhausted, Reason: reason,
		RetryAfter: max(after, minRetryAfter), Err: errors.Newf(format, args...),
	}
}
