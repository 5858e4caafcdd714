// Package planner decides which changes a gateway appends to the configuration
// on its own while rollouts are in progress.
//
// A Planner observes the State and the live endpoints over time. It returns
// the changes that are due: the next step of a rollout, its end, a pause after
// consecutive failures, and the revocation of a grant whose lease has expired.
// It does no I/O and reads no clock; its caller passes the time and appends the
// changes.
//
// Every gateway runs a Planner. For each change the live gateways are ranked by
// rendezvous hashing, and a gateway waits for its rank times a delay before it
// appends, so that usually only one does. A duplicate is harmless: the change
// carries the revision that it expects, and OperationID returns the same operation
// ID on every gateway.
package planner
