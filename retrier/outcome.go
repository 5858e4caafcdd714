package retrier

import "fmt"

// Outcome is what is known about a failed attempt.
type Outcome uint8

// The outcomes. The zero value is Unknown, the one that permits the least.
const (
	// Unknown means that the attempt may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the attempt was refused before any work started.
	NotRun
	// Failed means that the attempt ran and failed.
	Failed
)

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Unknown:
		return "unknown"
	case NotRun:
		return "not-run"
	case Failed:
		return "failed"
	default:
		return fmt.Sprintf("outcome-%d", uint8(o))
	}
}

// ParseOutcome parses the kebab-case name of an outcome. It returns Unknown and
// false for any other text, since a response that cannot be understood proves
// nothing.
func ParseOutcome(s string) (Outcome, bool) {
	for _, o := range [...]Outcome{Unknown, NotRun, Failed} {
		if s == o.String() {
			return o, true
		}
	}
	return Unknown, false
}
