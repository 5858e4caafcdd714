// Package load generates load against the callers' HTTP interface and checks
// every answer.
//
// The load is open: each account sends at planned times that a fixed seed
// decides, also while earlier requests wait, and latencies count from the
// planned time. So a stall of the system shows in the percentiles of all
// requests that it would have hit.
//
// Streamed answers are compared byte by byte with engine.NewAnswer. Service
// calls carry a key that no other call has; where the statistics of the service
// are reachable, Audit compares what callers were told with what was executed.
package load
