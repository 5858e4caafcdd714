// Package observer replicates the platform's keyed tables in memory and decodes them
// into the state that the decisions of a process depend on.
//
// A Table is the replica of one table. A Follower updates it from the first of its
// sources that responds: a gateway reads the platform and falls back to its peers, and
// an agent reads a gateway and falls back to the platform. For each key the record with
// the highest offset wins, so the order and number of sources don't matter and an older
// record never replaces a newer one. A Handler serves the tables to peers.
//
// A State holds the decoded records. It decodes them with functions that its user
// sets, because the platform defines the format of the records.
package observer
