package guarder

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "guard call".
	Op string
	// Kind classifies the failure. Unavailable means that the call was not run
	// and will not be run; Conflict that the key belongs to another request;
	// Invalid that the key is malformed; OutcomeUnknown that the call may have run.
	Kind classifier.Kind
	// RetryAfter is the delay after which a retry is useful, or 0.
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

const doOp = "guard call"

// unknown returns an error for a call that may have run.
func unknown(format string, args ...any) error {
	return &Error{Op: doOp, Kind: classifier.OutcomeUnknown, Err: errors.Newf(format, args...)}
}

// notRun returns an error for a call that was not run and will not be.
func notRun(after time.Duration, format string, args ...any) error {
	return &Error{Op: doOp, Kind: classifier.Unavailable, RetryAfter: after, Err: errors.Newf(format, args...)}
}

// reject returns an error of a kind for an invalid or conflicting call.
func reject(k classifier.Kind, format string, args ...any) error {
	return &Error{Op: doOp, Kind: k, Err: errors.Newf(format, args...)}
}
