package agent

import (
	"os"
	"runtime/debug"
)

const (
	// controlMemory is what the agent needs beside the weights, in bytes.
	controlMemory = 32 << 20
	// gcPercent lets the heap grow by a tenth of the weights before a collection.
	// Chunks hold no pointers, so that frequent collections cost little.
	gcPercent = 10
	// serviceGCPercent is for plain services. Their heap is the table of
	// idempotency keys, 243 bytes for each, which the default of 100 would double.
	serviceGCPercent = 50
)

// limitMemory bounds the memory of an engine's agent for its store, and what the
// collector adds to the heap. The settings GOMEMLIMIT and GOGC of the Go runtime
// are kept where they are given.
func (a *Agent) limitMemory() {
	percent := serviceGCPercent
	if a.model() != "" {
		percent = gcPercent
		if os.Getenv("GOMEMLIMIT") == "" {
			debug.SetMemoryLimit(a.WeightsMemory + controlMemory)
		}
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
