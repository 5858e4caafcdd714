// Package forwarder proxies HTTP requests from callers directly to endpoints,
// without an agent in between.
//
// A Handler serves the callers. It resolves the route of a request, acquires a lease
// from the dispatcher and makes attempts until one succeeds. An attempt names the
// instance of its lease in a header, so that another instance that has taken over
// the address refuses it, and forwards the remaining time to the deadline. The
// retrier decides whether an attempt is retried: always after a proven refusal,
// otherwise only if the request may run more than once. A stream that breaks off is
// resumed at another endpoint after the last complete event.
//
// An endpoint that is silent may be sound. Its attempt goes on while another one is made
// beside it, and the first of them with the next part of the response claims the right to
// write to the caller, which ends the others. If no other attempt can be made, the silent
// one goes on until the deadline.
//
// Each attempt has exclusive use of its connection. The Transport never hands out a
// connection with unread data: an endpoint may send a response that no request waits
// for, and it must not be taken for the response to the next request. Requests that
// may run at most once use a new connection.
//
// Headers holds the header names of the platform; the user of the package sets them.
package forwarder
