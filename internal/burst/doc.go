// Package burst measures how fast weights reach many instances over loopback.
//
// A Burst runs every instance in this process with its own Store, Fetcher and
// HTTP server on a real TCP port, and an origin as a small HTTP server. Token
// buckets stand for the links: one per instance and direction, one for the
// origin, one per region and direction. The links count the bytes on the wire,
// so headers and repeated requests are part of every figure.
//
// Processes runs the same burst with one process for each instance, so that the
// instances share neither a scheduler nor a heap. The bench's process holds the
// origin and the links of the regions, in which the others reserve their bytes.
package burst
