// Package registrar applies the records of the configuration stream to a State.
//
// State is a pure function of the records in the order of their offsets: it
// reads no clock and no settings, so every process that has applied the same
// offset holds the same State. A State is immutable. Apply returns a new one
// that shares what did not change, so readers on the request path keep a
// pointer without a lock.
//
// A record applies all of its changes or none. The first record in log order
// wins; a later one that names an older revision is rejected by every reader in
// the same way. The Outcome says whether a record was accepted. The offset of an
// object's last change is its revision, and the offset of a grant is the fencing
// token of the orders given under it.
package registrar
