// Package resolver turns a versioned configuration into the answer to one
// question: which services may a request go to, under which limits, and for
// which client account.
//
// A Configuration is the whole of what operators declared at one revision. It
// checks itself with Check. New compiles it into a Table, which is immutable, so
// that the request path reads it through an atomic pointer without a lock.
package resolver
