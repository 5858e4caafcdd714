// Package origin is the stand-in of the weight store and origin.
//
// Blobs are held in memory under their SHA-256 digest and verified when stored.
// All readers share one link of a configured rate, and requests above a
// configured rate are answered with 429. connector.NewOrigin is its client.
package origin
