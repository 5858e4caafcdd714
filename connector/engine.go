package connector

import (
	"context"
	"net/http"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// EngineState is the state that an engine reports.
type EngineState struct {
	// BootID changes whenever the engine restarts.
	BootID string `json:"boot-id"`
	// Model, Version and Digest are empty if nothing is loaded.
	Model    recorder.Name   `json:"model,omitempty"`
	Version  recorder.Name   `json:"version,omitempty"`
	Digest   string          `json:"digest,omitempty"`
	Adapters []recorder.Name `json:"adapters,omitempty"`
	Role     recorder.Name   `json:"role,omitempty"`
	// Fencing is the highest fencing number that the engine has seen.
	Fencing uint64 `json:"fencing"`
	Loading bool   `json:"loading"`
}

// LoadOrder is a request to an engine to load a version.
type LoadOrder struct {
	Model    recorder.Name   `json:"model"`
	Version  recorder.Name   `json:"version"`
	Digest   recorder.Digest `json:"digest"`
	Size     int64           `json:"size"`
	Adapters []recorder.Name `json:"adapters,omitempty"`
	Role     recorder.Name   `json:"role,omitempty"`
	// Fencing is the fencing number of the order: the log offset under which it is given.
	Fencing uint64 `json:"fencing"`
	// Deadline is the time after which the engine rejects the order.
	Deadline time.Time `json:"deadline"`
	// Source is the loopback URL from which the engine reads the weights.
	Source string `json:"source"`
}

// LoadReport is an engine's report of its load. It may be out of date.
type LoadReport struct {
	BootID        string    `json:"boot-id"`
	InFlight      int       `json:"in-flight"`
	Queued        int       `json:"queued"`
	CachePrefixes []string  `json:"cache-prefixes,omitempty"`
	At            time.Time `json:"at"`
}

// Engine is a client of the model engine on the agent's instance.
type Engine struct {
	// State returns what the engine has loaded.
	State func(ctx context.Context) (EngineState, error)
	// Load sends a load order and waits until the engine has completed it. If the
	// engine refuses, the error is an *Error of kind Refused with its message.
	Load func(ctx context.Context, o LoadOrder) (EngineState, error)
	// Report returns the engine's latest load report.
	Report func(ctx context.Context) (LoadReport, error)
	// Cancel stops the engine's work on a request.
	Cancel func(ctx context.Context, id string) error
}

// NewEngine returns a client of the engine at the base URL.
func NewEngine(base string, client *http.Client) *Engine {
	c := apiClient{base: base, client: client}
	return &Engine{
		State: func(ctx context.Context) (EngineState, error) {
			var s EngineState
			err := c.callJSON(ctx, "read engine state", http.MethodGet, "/v1/state", nil, &s)
			return s, err
		},
		Load: func(ctx context.Context, o LoadOrder) (EngineState, error) {
			var s EngineState
			err := c.callJSON(ctx, "order load of "+string(o.Version), http.MethodPost, "/v1/load", o, &s)
			return s, err
		},
		Report: func(ctx context.Context) (LoadReport, error) {
			var r LoadReport
			err := c.callJSON(ctx, "read load report", http.MethodGet, "/v1/load-report", nil, &r)
			return r, err
		},
		Cancel: func(ctx context.Context, id string) error {
			return c.callJSON(ctx, "cancel request", http.MethodDelete, "/v1/requests/"+id, nil, nil)
		},
	}
}
