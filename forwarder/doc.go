// Package forwarder carries requests from callers straight to endpoints, where no
// agent stands between them.
//
// A Front is the HTTP handler of the callers. It resolves the request, waits for a
// lease of the dispatcher and makes attempts until one is answered. An attempt
// pins the instance that the lease names, so that an address that changed hands
// refuses it, and passes on the time that is left. What may be repeated is the
// retrier's decision: after a proven refusal always, after anything else only
// where the request may run again. A stream that breaks is resumed elsewhere after
// the last whole event.
//
// An attempt has a connection of its own while it lasts, from a Transport that
// hands out no connection with bytes on it: an endpoint may send an answer that
// nobody waits for, and it must not meet the next request. Requests that may run
// only once take a new connection.
//
// Headers names the headers of the platform, which the caller fills in.
package forwarder
