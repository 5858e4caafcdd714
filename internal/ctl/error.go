package ctl

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/operator"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "read file".
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

func fail(op string, k classifier.Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: k, Err: errors.Newf(format, args...)}
}

// exitCode returns the exit code of a finished run.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var x cli.ExitCoder
	if errors.As(err, &x) {
		return x.ExitCode()
	}
	var c classifier.Classified
	if errors.As(err, &c) {
		return c.Class().ExitCode()
	}
	// The remaining errors are those of the command line's own parser.
	return settings.ExitCode
}

// parseKind reads the name of a kind.
func parseKind(s string) (classifier.Kind, bool) {
	for k := classifier.Internal; k <= classifier.OutcomeUnknown; k++ {
		if k.String() == s {
			return k, true
		}
	}
	return classifier.Internal, false
}

// callError returns the error of a call. Without the server's trailer the
// transport failed, and a call that was sent may have been run.
func callError(op string, err error, trailer metadata.MD) *Error {
	e := &Error{Op: op, Err: errors.Newf("%s", status.Convert(err).Message())}
	if v := trailer.Get(operator.TrailerKind); len(v) == 1 {
		if k, ok := parseKind(v[0]); ok {
			e.Kind = k
			return e
		}
	}
	switch k := classifier.FromCode(status.Code(err)); k {
	case classifier.Invalid, classifier.Unauthenticated, classifier.Exhausted:
		e.Kind = k
	default:
		e.Kind = classifier.OutcomeUnknown
	}
	return e
}

// rejectionError returns the error of a rejection such as "conflict: TEXT".
func rejectionError(text string) error {
	name, rest, _ := strings.Cut(text, ": ")
	k, ok := parseKind(name)
	if !ok {
		k, rest = classifier.Refused, text
	}
	return &Error{Op: "rejected, " + k.String(), Kind: k, Err: errors.Newf("%s", rest)}
}
