package connector

import (
	"context"
	"io"
	"time"
)

// Item is the newest record of one key of a table.
type Item struct {
	Key string `json:"key"`
	// Value is nil if the key was deleted.
	Value []byte `json:"value,omitempty"`
	// Packed is the compressed value, in place of Value, in a message between processes; nil
	// everywhere else.
	Packed []byte `json:"packed,omitempty"`
	// Offset increases with each record of the table.
	Offset uint64 `json:"offset"`
	// Stamp is the newest known stamp of the records of a deleted key; nil if none is known,
	// and in an item with a value, which has its own.
	Stamp *Stamp `json:"stamp,omitempty"`
	// Lost reports that the record is of an earlier epoch and that the store, which returned from
	// an older copy, lacks it. Offset is an offset of that epoch. It is false in items of the
	// store.
	Lost bool `json:"lost,omitempty"`
	// Carried is set in a deletion that was known before the store returned from an older copy, so
	// that its Offset is no offset of its own: it is the highest offset of the earlier epoch at
	// which a record of the key was deleted. It is 0 in items of the store.
	Carried uint64 `json:"carried,omitempty"`
	// Earlier is the epoch of Carried or, in a lost item, of Offset; 0 if it isn't known.
	Earlier uint64 `json:"earlier,omitempty"`
}

// Changes is the result of a read of a table.
type Changes struct {
	Items []Item `json:"items"`
	// Next is the offset to read from next.
	Next uint64 `json:"next"`
	// Epoch increases each time the store returns from an older copy of the log, after which
	// offsets of lower epochs mean nothing; 0 if it isn't known.
	Epoch uint64 `json:"epoch,omitempty"`
	// Full reports whether Items holds all keys of the table, so that the reader
	// deletes all others; otherwise Items holds only the changes.
	Full bool `json:"full,omitempty"`
	// Age is the time since the platform confirmed the data in this result; 0 if the
	// result comes from the platform itself.
	Age time.Duration `json:"age,omitempty"`
	// Written is a time within which all Items were written; 0 if it isn't known.
	Written time.Duration `json:"written,omitempty"`
	// Delay is the time between the beginning of the read and the request to the source
	// of this result, in which other sources failed.
	Delay time.Duration `json:"-"`
}

// Position is the end of a table that was read.
type Position struct {
	// Epoch and Next are those of Changes.
	Epoch, Next uint64
}

// Table is a topic of the platform's log that keeps the newest record of each key.
type Table struct {
	// Read returns the changes starting at offset from, and waits up to wait for
	// the first. It returns the whole table if from is 0 or no longer retained.
	Read func(ctx context.Context, from uint64, wait time.Duration) (Changes, error)
	// Put writes the record of a key; a nil value deletes the key.
	Put func(ctx context.Context, key string, value []byte) error
	// PutAt does the same if nothing was written to the table since a read with the given
	// position. Otherwise the error is of kind Conflict; if the store returned from an older copy
	// meanwhile, the record may be there all the same.
	PutAt func(ctx context.Context, key string, value []byte, p Position) error
	// Reconnect closes the idle connections to the store.
	Reconnect func()
}

// Replica is a client of a model engine to which its own instance uploads weights
// in numbered pieces and then sends an order to load them.
type Replica struct {
	// Report returns the state of the engine.
	Report func(ctx context.Context) (ReplicaReport, error)
	// Staged returns a staged piece of at most size bytes. The error is of kind NotFound if the
	// piece is not staged.
	Staged func(ctx context.Context, model string, piece int, size int64) ([]byte, error)
	// Held returns the numbers of the staged pieces.
	Held func(ctx context.Context, model string) ([]int, error)
	// Stage uploads a piece; it replaces an earlier one with the same number.
	Stage func(ctx context.Context, model string, piece int, b []byte) error
	// Start orders the engine to load the staged pieces as a version. The engine
	// rejects the order with an error of kind Conflict if the number of orders
	// that it has accepted differs from orders. If cut is set, running requests
	// are cut off; otherwise the engine lets them finish first.
	Start func(ctx context.Context, model string, version, orders int64, cut bool) error
}

// ReplicaReport is the state that a replica reports.
type ReplicaReport struct {
	// Started is when the engine started; it changes with each restart.
	Started time.Time
	// Versions holds the version of each model that is fully loaded.
	Versions map[string]int64
	// Loading reports whether an order is in progress.
	Loading bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Leaving reports whether the engine is about to end.
	Leaving bool
	// Active and Queued count the requests at the engine.
	Active, Queued int
}

// ProcessState is what the process at an address says of itself.
type ProcessState struct {
	// Started is when it started; the zero time if it doesn't say so.
	Started time.Time
	// Leaving reports whether it is about to end.
	Leaving bool
}

// Pieces is a client of the origin of weights that are split into numbered pieces.
type Pieces struct {
	// Manifest returns the SHA-256 digests of the pieces of a version.
	Manifest func(ctx context.Context, model string, version int64) ([][32]byte, error)
	// Piece opens a piece; the caller closes and verifies it. The size is -1 if it
	// is not known.
	Piece func(ctx context.Context, model string, version int64, piece int) (body io.ReadCloser, size int64, err error)
}
