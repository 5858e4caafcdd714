// Package connector holds the clients of the platform: the log, the instance
// list, the origin of weights and the engines.
//
// Each client is a struct of function fields, so that a test or another
// platform can replace a single call without implementing an interface. The
// constructors (NewLog, NewInstances, NewOrigin, NewEngine) fill the fields with
// calls of the platform's HTTP protocol. Errors are of type *Error; their Kind
// distinguishes an append that certainly did not happen (Unavailable, Exhausted)
// from one whose response was lost (OutcomeUnknown).
package connector
