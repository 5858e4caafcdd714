// Package loader brings one engine to the version that the operators named, with
// weights that the distributor spreads among the instances.
//
// A Loader works through the same steps for each version: learn the digests of
// the pieces, take those that are staged at the engine already, fetch the others,
// stage them, read all back, wait for the turn, and order the load. The engine
// doesn't check what is staged, and staged pieces may rot, so they are read back
// right before the order. An engine that serves an older version waits for its
// turn, which is computed from the list and the version, so that engines don't
// all load at the same time and no agreement is needed. An engine without weights
// doesn't wait.
//
// A version that is named while an older one is half there doesn't stop the older
// one: its own deadline would pass without any engine that serves it.
//
// A Reporter reads the engine's state and tells it to the gateways.
package loader
