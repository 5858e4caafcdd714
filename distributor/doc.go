// Package distributor distributes the weights of a version to all instances of a
// model without a tracker, and serves them to peers and to the local engine.
//
// A version is a Manifest of content-addressed chunks. Instances form a tree:
// regions, failure domains, cells of at most 32 instances, instances. For
// every chunk, rendezvous hashing ranks one child of each group first. Only the
// instance ranked first in a group asks the level above the group; its siblings
// ask that instance. The origin's region is first among the regions, and its
// first instance asks the origin. The origin thus sends about one copy, each
// region receives one, and each instance sends about one.
//
// Ranking is a pure function: a Ranker turns a list of members and the digests
// of the chunks into a Plan, which returns the ordered sources of each chunk.
// Instances whose member lists differ may choose different sources. This costs
// extra transfers but never correctness, because a chunk is accepted only after
// its digest is verified.
//
// The Store holds verified chunks in memory. The Fetcher fills it from the
// sources of the Plan and falls back to the next source in rank on a miss, a
// stall, a corrupted chunk or a failed instance. The Handler serves the Store to
// peers, the Weights handler serves whole versions to the engine.
package distributor
