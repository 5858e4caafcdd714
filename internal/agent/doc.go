// Package agent assembles the process on an endpoint instance.
//
// An Agent stands before one engine or one plain service. It is the last check
// before work starts: it admits a request only while the endpoint is ready for
// the pinned version, not taken out by operators, and below its limit. A
// refusal carries the outcome "not-run" and is the only answer that does. For
// an engine it also runs the activator and serves chunks to peers; for a
// service it runs the guard of idempotency keys.
package agent
