package retrier

import "time"

// DefaultMaxTries is the maximum number of attempts of one request, including
// the first, if Attempt.MaxTries is 0.
const DefaultMaxTries = 3

// Attempt describes a failed attempt.
type Attempt struct {
	// Outcome is what is known about the attempt.
	Outcome Outcome
	// Idempotent reports whether the call may run more than once.
	Idempotent bool
	// Started reports whether the first byte of the response was sent to the
	// caller.
	Started bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Tries is the number of attempts made so far, at least 1.
	Tries int
	// MaxTries bounds Tries; 0 means DefaultMaxTries.
	MaxTries int
	// Unavailable reports whether no endpoint may take another attempt at present.
	Unavailable bool
}

// NoEndpoint is the reason of a Decision if no endpoint may take another attempt.
const NoEndpoint = "no-endpoint"

// Decision is the result of Decide.
type Decision struct {
	Retry bool
	// Reason is a kebab-case word for the log.
	Reason string
	// window is what Budget.spend returned.
	window int64
}

// Decide reports whether a failed attempt may be retried, and why. It checks the
// rules in the order of their importance and takes a retry from the budget only
// if all other rules allow it.
func Decide(b *Budget, a Attempt) Decision {
	maxTries := a.MaxTries
	if maxTries == 0 {
		maxTries = DefaultMaxTries
	}
	switch {
	case a.Started:
		return Decision{Reason: "response-started"}
	case a.Outcome != NotRun && !a.Idempotent:
		return Decision{Reason: "not-idempotent"}
	case a.Remaining <= 0:
		return Decision{Reason: "deadline-passed"}
	case a.Tries >= maxTries:
		return Decision{Reason: "tries-used-up"}
	case a.Unavailable:
		return Decision{Reason: NoEndpoint}
	}
	window, ok := b.spend()
	switch {
	case !ok:
		return Decision{Reason: "budget-used-up"}
	case a.Outcome == NotRun:
		return Decision{Retry: true, Reason: "not-run", window: window}
	}
	return Decision{Retry: true, Reason: "idempotent", window: window}
}
