//go:build review

// Package harness holds the stand-ins of the review's cases: the platform's store, replicas, the
// origin of weights and callers, as the users' pages describe them, and the start of the
// project's own programs with the commands of the deploy file.
package harness
