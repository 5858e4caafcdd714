package load

// Outcome classifies the answer to a request as its caller sees it.
type Outcome string

// The outcomes.
const (
	// Whole is a complete and right answer.
	Whole Outcome = "whole"
	// Refused is an answer with Retry-After: the request was not run.
	Refused Outcome = "refused"
	// Failed is another error answer.
	Failed Outcome = "failed"
	// Lost is no final answer, or one that was cut.
	Lost Outcome = "lost"
	// WrongVersion is an answer of a version that it does not name, of two
	// versions, or of one that is not allowed.
	WrongVersion Outcome = "wrong-version"
	// WrongContent is any other answer that differs from the right one.
	WrongContent Outcome = "wrong-content"
)

// verdict is an outcome with its reason in a few words.
type verdict struct {
	outcome Outcome
	reason  string
}
