package checker

import "github.com/eelgrassdrift/eelgrassdrift/resolver"

// Class says what a finding is about.
type Class string

// The classes of findings.
const (
	// Faulty means that the text is wrong. A gateway refuses the record, except for DuplicateField.
	Faulty Class = "error"
	// Unmatched means that an entry, or a part of it, is never used.
	Unmatched Class = "never-used"
	// Contradictory means that two limits contradict each other.
	Contradictory Class = "contradiction"
)

// Rule is the rule that a finding breaks. Operators name rules to ignore their findings.
type Rule string

// The rules whose findings are of class Faulty.
const (
	// Syntax means that the text is no record.
	Syntax Rule = "syntax"
	// Type means that a value is of another type than its field, or out of its range.
	Type Rule = "type"
	// Value means that a field has an invalid value.
	Value Rule = "value"
	// DuplicateField means that an object has a field twice, of which the last one counts.
	DuplicateField Rule = "duplicate-field"
)

// The rules whose findings are of class Unmatched.
const (
	// NoRoutes means that the configuration matches no request at all.
	NoRoutes Rule = "no-routes"
	// UnmatchedHost means that no request carries the host.
	UnmatchedHost Rule = "unmatched-host"
	// UnmatchedPrefix means that no request carries a path with the prefix.
	UnmatchedPrefix Rule = "unmatched-prefix"
	// ShadowedRoute means that another route matches all requests of a route.
	ShadowedRoute Rule = "shadowed-route"
	// TargetWithoutWeight means that no request is sent to a target.
	TargetWithoutWeight Rule = "target-without-weight"
	// UndeclaredService means that the service of a target isn't in the configuration.
	UndeclaredService Rule = "undeclared-service"
	// OriginTarget means that the service of a target is an origin of weights.
	OriginTarget Rule = "origin-target"
	// DuplicateService means that a later service has the same name and is used in its place.
	DuplicateService Rule = "duplicate-service"
	// AccountWithoutKeys means that no request can be of an account.
	AccountWithoutKeys Rule = "account-without-keys"
	// UnmatchedKey means that no request can carry a key.
	UnmatchedKey Rule = "unmatched-key"
	// DuplicateKey means that a key belongs to a later account, or is there twice.
	DuplicateKey Rule = "duplicate-key"
)

// The rules whose findings are of class Contradictory.
const (
	// TimeoutBeyondCallers means that a timeout is longer than callers wait.
	TimeoutBeyondCallers Rule = "timeout-beyond-callers"
	// AttemptsBeyondTimeout means that the attempts don't fit into the timeout.
	AttemptsBeyondTimeout Rule = "attempts-beyond-timeout"
	// AttemptsBeyondCallers means that the callers of a stream leave before its last attempt.
	AttemptsBeyondCallers Rule = "attempts-beyond-callers"
	// NoRetries means that a route has several attempts, and the retry budget allows no retry.
	NoRetries Rule = "no-retries"
	// ConnectionsAboveCapacity means that a service may have more connections than its engine can
	// serve before the timeout.
	ConnectionsAboveCapacity Rule = "connections-above-capacity"
	// TargetAboveTimeout means that a target latency or gap is above the timeout.
	TargetAboveTimeout Rule = "target-above-timeout"
	// LowRevision means that the revision isn't above that of the active configuration, which a
	// gateway then keeps, or after a loss of the record may return to.
	LowRevision Rule = "low-revision"
)

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{
		Syntax, Type, Value, DuplicateField, NoRoutes, UnmatchedHost, UnmatchedPrefix, ShadowedRoute, TargetWithoutWeight,
		UndeclaredService, OriginTarget, DuplicateService, AccountWithoutKeys, UnmatchedKey, DuplicateKey, TimeoutBeyondCallers,
		AttemptsBeyondTimeout, AttemptsBeyondCallers, NoRetries, ConnectionsAboveCapacity, TargetAboveTimeout, LowRevision,
	}
}

// Position is a place in the text of a configuration.
type Position struct {
	// Line is the number of the line, from 1.
	Line int `json:"line"`
	// Field is the path of the field, as it is spelled in the text.
	Field string `json:"field,omitempty"`
}

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Class Class `json:"class"`
	Rule  Rule  `json:"rule"`
	Position
	// Entry is the kind and the name of the entry; it is empty if the finding isn't about an entry.
	Entry string `json:"entry,omitempty"`
	// Text says what is wrong. It never holds a key of an account.
	Text string `json:"text"`
}

// Document is a configuration with the positions of its entries in a text.
type Document struct {
	// Configuration is nil if a gateway would refuse the record.
	Configuration *resolver.Configuration
	// Errors holds the findings of class Faulty. There is at least one if Configuration is nil.
	Errors []Finding
	// Locate returns the position of a place in Configuration. For a field that the text lacks it is
	// that of its entry.
	Locate func(p resolver.Place) Position
}
