// Package activator brings one endpoint from empty to ready and replaces the
// model version that it serves.
//
// Decide is a pure function. From the target in the configuration, the engine
// state that was read last, the verified chunks and the requests in flight it
// derives the next Action and the State that the endpoint reports. Runner
// carries the actions out. Gate counts the requests in flight and admits a
// request only for the version that was read from the engine, so that no
// request for an old version runs during a load order.
//
// An endpoint that serves an old version needs a grant before it drains, and
// its load orders carry the grant's log offset as their fencing number. Loading
// an engine that holds nothing takes no endpoint out of service and needs no
// grant; such an order carries the log offset of the record that set the target.
package activator
