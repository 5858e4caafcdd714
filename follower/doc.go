// Package follower keeps a replica of the configuration.
//
// A Replica holds the State, the latest records as stored in the log and a signal
// that fires on every change. It applies records in the order of their offsets
// only, from the log or from a peer, and never returns to a lower offset. A
// Follower reads the log into a Replica and submits records. Agents have a Replica
// and no Follower: their gateway sends them the records.
//
// After the log returned from an older copy, revisions are no longer offsets of the
// log. Followers agree on them by records of the log that hold the State with which
// an epoch begins (docs/design/restored-store.md).
package follower
