package connector

import (
	"context"
	"io"
	"time"
)

// Item is the newest record of one key of a table.
type Item struct {
	Key string `json:"key"`
	// Value is nil where the key was dropped.
	Value []byte `json:"value,omitempty"`
	// Offset rises with each record of the table.
	Offset uint64 `json:"offset"`
}

// Changes is the answer to a read of a table.
type Changes struct {
	Items []Item `json:"items"`
	// Next is the offset to read from next.
	Next uint64 `json:"next"`
	// Full tells that Items holds all keys of the table, so that others are
	// dropped; otherwise it holds what changed.
	Full bool `json:"full,omitempty"`
	// Age is how long ago the platform itself confirmed what the answer is made of;
	// 0 where the platform gave it.
	Age time.Duration `json:"age,omitempty"`
}

// Table is a topic of the platform's log that keeps the newest record of each key.
type Table struct {
	// Read returns the changes from the offset on, and waits up to wait for the
	// first. It returns the whole table where from is 0 or is no longer kept.
	Read func(ctx context.Context, from uint64, wait time.Duration) (Changes, error)
	// Put writes the record of a key; a nil value drops the key.
	Put func(ctx context.Context, key string, value []byte) error
}

// Replica is a model engine that takes weights in pieces from its own instance
// and loads them on an order.
type Replica struct {
	// Report returns the state of the engine.
	Report func(ctx context.Context) (ReplicaReport, error)
	// Staged returns a staged piece. The error is of kind NotFound where there
	// is none.
	Staged func(ctx context.Context, model string, piece int) ([]byte, error)
	// Held lists the staged pieces.
	Held func(ctx context.Context, model string) ([]int, error)
	// Stage stores a piece, in place of an earlier one.
	Stage func(ctx context.Context, model string, piece int, b []byte) error
	// Start orders the engine to load the staged pieces as a version. The
	// order is refused with kind Conflict where the engine has taken another
	// order than the given number of orders. With cut the requests that run are
	// cut off; otherwise they end first.
	Start func(ctx context.Context, model string, version, orders int64, cut bool) error
}

// ReplicaReport is what an engine reports of itself.
type ReplicaReport struct {
	// Started is when the engine started; it changes with each restart.
	Started time.Time
	// Versions holds the version of each model that is loaded whole.
	Versions map[string]int64
	// Loading tells that an order is in progress.
	Loading bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Active and Queued count the requests at the engine.
	Active, Queued int
}

// Pieces is the origin of weights that are cut into numbered pieces.
type Pieces struct {
	// Manifest returns the SHA-256 digests of the pieces of a version.
	Manifest func(ctx context.Context, model string, version int64) ([][32]byte, error)
	// Piece opens a piece; the caller closes and verifies it. The size is -1 where
	// it is not known.
	Piece func(ctx context.Context, model string, version int64, piece int) (body io.ReadCloser, size int64, err error)
}
