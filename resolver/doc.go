// Package resolver resolves a request to its route and client account by a versioned
// configuration.
//
// The route gives the services to which the request may go and its limits. A
// Configuration is everything that operators declared at one revision; Check validates
// it. New compiles it into a Table, which is immutable, so that the request path can
// read it through an atomic pointer without a lock.
package resolver
