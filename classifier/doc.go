// Package classifier defines the kinds of failure that all packages share and
// maps each kind to a gRPC code, an HTTP status and an exit code.
//
// Every package has its own Error type with an operation and a Kind. The tables
// in this package are the only place where a kind is mapped to the code of a
// protocol.
package classifier
