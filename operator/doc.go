// Package operator serves the operator API of a gateway.
//
// A call that changes something becomes one record with an operation id. The
// server hands it to Submit and replies with the outcome that was read back
// from the log. A rejection by the rules of the registrar package and an
// outcome that is not known yet are normal replies; an error means that the
// record was certainly not appended. A repeat of a known operation id returns
// the first outcome and appends nothing.
//
// Reading calls answer from the gateway's State, which may lag behind the log;
// their replies carry its revision and age.
//
// The interceptors authenticate operators by bearer key, bound the size of
// requests and write one log line for each call. They leave calls of other
// services on the same gRPC server alone.
package operator
