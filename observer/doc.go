// Package observer keeps the platform's keyed tables in memory and turns them
// into the state on which a process decides.
//
// A Table is the replica of one table. A Follower fills it from the first of its
// sources that answers: a gateway reads the platform and falls back to its peers,
// an agent reads a gateway and falls back to the platform. The record with the
// higher offset wins for each key, so the order and number of sources don't
// matter and nothing ever goes back. A Handler serves the tables to peers.
//
// A State holds what the records mean. It is decoded by function fields, because
// the form of the records is the platform's.
package observer
