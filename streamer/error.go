package streamer

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Fault is the way in which a stream failed. The zero value means none.
type Fault uint8

// The faults of a stream.
const (
	// Cut means that the stream was truncated before its end frame.
	Cut Fault = iota + 1
	// Gap means that at least one frame is missing.
	Gap
	// Foreign means that a frame belongs to another request.
	Foreign
	// Malformed means that an event is not a frame, or contradicts an earlier one.
	Malformed
	// Oversized means that a line, an id or the data of an event is too long.
	Oversized
	// Reported means that the sender ended the stream with an error event.
	Reported
	// Unwritable means that the frame could not be written to the next hop.
	Unwritable
)

// String returns the kebab-case name of the fault.
func (f Fault) String() string {
	names := [...]string{"none", "cut", "gap", "foreign", "malformed", "oversized", "reported", "unwritable"}
	if int(f) < len(names) {
		return names[f]
	}
	return "unknown"
}

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "read stream".
	Op string
	// Kind classifies the failure. It is OutcomeUnknown for Cut, Reported and
	// Unwritable, since the work may have been done, and Internal otherwise.
	Kind classifier.Kind
	// Fault is the way in which the stream failed.
	Fault Fault
	// Problem is the problem document of the error event if Fault is Reported.
	Problem []byte
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Class returns the kind of the failure.
func (e *Error) Class() classifier.Kind { return e.Kind }

// FaultOf returns the fault of the first *Error in the chain of err, or 0.
func FaultOf(err error) Fault {
	var e *Error
	if errors.As(err, &e) {
		return e.Fault
	}
	return 0
}

func newError(op string, f Fault, format string, args ...any) *Error {
	return wrapError(op, f, errors.Newf(format, args...))
}

func wrapError(op string, f Fault, err error) *Error {
	if errors.Is(err, io.EOF) {
		// Callers of Next would take io.EOF in the chain for a verified end.
		err = errors.Newf("%v", err)
	}
	k := classifier.Internal
	if f == Cut || f == Reported || f == Unwritable {
		k = classifier.OutcomeUnknown
	}
	return &Error{Op: op, Kind: k, Fault: f, Err: err}
}
