// Package loader loads the target version that the operators set into one engine,
// with weights that the distributor copies among the instances.
//
// A Loader takes the same steps for each version: learn the digests of the pieces,
// reuse those that are already staged at the engine, fetch the others, stage them,
// read all of them back, wait for the engine's start time, and order the load. The
// engine doesn't verify what is staged, and staged pieces may become corrupt, so they
// are read back right before the order.
//
// An engine that serves an older version loads at a start time computed from the
// endpoint list and the time at which the target was learned. This staggers the loads
// without coordination, so that engines don't all load at once. An engine without
// weights doesn't wait.
//
// A new target doesn't always stop an older version that is partly fetched: the
// deadline of the older one could then pass without any engine that serves it.
//
// Several versions are kept at a time, and they may share pieces: the type versions decides what
// the store keeps and under which version a piece is asked for. What depends on the place of the
// origin is an originConnection, which is replaced when a configuration names another place, in the
// middle of a fetch too.
//
// A Reporter reads the engine's state and reports it to the gateways.
package loader
