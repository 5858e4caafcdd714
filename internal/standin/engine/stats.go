package engine

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Stats counts what the engine did since its start, over all restarts.
type Stats struct {
	// Served counts answers that were worked on to their end.
	Served int `json:"served"`
	// Cancelled counts requests ended by DELETE or by a closed connection.
	Cancelled int `json:"cancelled"`
	// Overloaded counts requests that arrived above the capacity.
	Overloaded int `json:"overloaded"`
	// Failed counts requests refused or ended while the engine failed, crashed
	// or was empty.
	Failed int `json:"failed"`
	// Resumed counts requests that named a sequence above 0.
	Resumed int `json:"resumed"`
	// MaxInFlight is the highest number of requests at once.
	MaxInFlight int `json:"max-in-flight"`
	// MaxExcess is the highest number of requests above the capacity.
	MaxExcess int `json:"max-excess"`
	// MaxLoad is the highest ratio of requests to the capacity.
	MaxLoad float64 `json:"max-load"`
	// Capacity is the capacity now; 0 means no limit.
	Capacity   int `json:"capacity"`
	InFlight   int `json:"in-flight"`
	PrefixHits int `json:"prefix-hits"`
	Restarts   int `json:"restarts"`
	// Loads are the last load orders, refused ones with their error.
	Loads []LoadStat `json:"loads"`
}

// LoadStat is one load order.
type LoadStat struct {
	At      time.Time     `json:"at"`
	Model   recorder.Name `json:"model"`
	Version recorder.Name `json:"version"`
	Fencing uint64        `json:"fencing"`
	// Error is empty for an order that was carried out.
	Error string `json:"error,omitempty"`
}

// maxLoads bounds the list of load orders.
const maxLoads = 1000
