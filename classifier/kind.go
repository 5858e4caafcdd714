package classifier

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
)

// Kind classifies a failure by what the receiver can do about it.
type Kind uint8

// The kinds of failure.
const (
	// Internal means a fault of the program itself.
	Internal Kind = iota
	// Invalid means that the input is wrong and a retry is useless.
	Invalid
	// Unauthenticated means that no valid key was presented.
	Unauthenticated
	// NotFound means that the named object does not exist.
	NotFound
	// Conflict means that the object changed since the caller read it.
	Conflict
	// Refused means that a rule forbids the operation in the present state.
	Refused
	// Exhausted means that a limit is used up; a later retry may succeed.
	Exhausted
	// Unavailable means that a required component is down and nothing was done.
	Unavailable
	// Timeout means that the deadline passed.
	Timeout
	// OutcomeUnknown means that the operation may or may not have taken effect.
	OutcomeUnknown
)

// Classified is implemented by the Error types of this module.
type Classified interface {
	error
	Class() Kind
}

type mapping struct {
	name string
	code codes.Code
	http int
	exit int
}

func (k Kind) mapping() mapping {
	switch k {
	case Invalid:
		return mapping{"invalid", codes.InvalidArgument, http.StatusBadRequest, 2}
	case Unauthenticated:
		return mapping{"unauthenticated", codes.Unauthenticated, http.StatusUnauthorized, 3}
	case NotFound:
		return mapping{"not-found", codes.NotFound, http.StatusNotFound, 4}
	case Conflict:
		return mapping{"conflict", codes.Aborted, http.StatusConflict, 5}
	case Refused:
		return mapping{"refused", codes.FailedPrecondition, http.StatusUnprocessableEntity, 6}
	case Exhausted:
		return mapping{"exhausted", codes.ResourceExhausted, http.StatusTooManyRequests, 7}
	case Unavailable:
		return mapping{"unavailable", codes.Unavailable, http.StatusServiceUnavailable, 8}
	case Timeout:
		return mapping{"timeout", codes.DeadlineExceeded, http.StatusGatewayTimeout, 9}
	case OutcomeUnknown:
		return mapping{"outcome-unknown", codes.Unknown, http.StatusBadGateway, 10}
	default:
		return mapping{"internal", codes.Internal, http.StatusInternalServerError, 1}
	}
}

// String returns the kebab-case name of the kind.
func (k Kind) String() string { return k.mapping().name }

// Code returns the gRPC code of the kind.
func (k Kind) Code() codes.Code { return k.mapping().code }

// Status returns the HTTP status of the kind.
func (k Kind) Status() int { return k.mapping().http }

// ExitCode returns the exit code of a command that fails with the kind.
func (k Kind) ExitCode() int { return k.mapping().exit }

// FromCode returns the kind that a gRPC code maps to; Internal if there is
// none.
func FromCode(c codes.Code) Kind {
	for k := Internal; k <= OutcomeUnknown; k++ {
		if k.Code() == c {
			return k
		}
	}
	return Internal
}

// Of returns the kind of the first Classified error in the chain of err, or
// Internal.
func Of(err error) Kind {
	var c Classified
	if errors.As(err, &c) {
		return c.Class()
	}
	return Internal
}
