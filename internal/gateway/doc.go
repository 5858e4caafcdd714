// Package gateway assembles the process on an entry instance.
//
// A Gateway takes callers' requests over HTTP, admits them by client account,
// picks an endpoint and passes the answer on once it is proved to be whole and
// from the pinned version. It follows the platform's log, serves the operator
// API, relays configuration and membership to the agents of its failure domain
// and exchanges both with other gateways. All gateways are equal.
//
// One request is a call. A call makes one attempt after the other; retrier
// decides whether another one is allowed. An attempt goes to an endpoint of the
// own failure domain or, where that has no room, to a gateway of another one,
// which picks among its own endpoints.
package gateway
