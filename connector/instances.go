package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// InstanceKind is the kind of process that an instance runs.
type InstanceKind string

// The kinds of instance.
const (
	GatewayInstance InstanceKind = "gateway"
	AgentInstance   InstanceKind = "agent"
)

// InstanceState is the platform's view of an instance. It may be out of date.
type InstanceState string

// The states of an instance. InstanceGone appears only in lists that aren't full.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceGone    InstanceState = "gone"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name          recorder.Name  `json:"name"`
	FailureDomain recorder.Name  `json:"failure-domain"`
	Region        recorder.Name  `json:"region"`
	Kind          InstanceKind   `json:"kind"`
	Address       netip.AddrPort `json:"address"`
	// Serves is "model/NAME" or "service/NAME" for an agent.
	Serves string        `json:"serves,omitempty"`
	State  InstanceState `json:"state"`
}

// InstanceList is the result of a poll.
type InstanceList struct {
	// Version is passed to the next poll.
	Version uint64 `json:"version"`
	// Full reports whether Instances is the whole list, not just the changes.
	Full      bool       `json:"full"`
	Instances []Instance `json:"instances"`
}

// Instances is a client of the platform's list of instances. The list may be out
// of date, so it doesn't prove that an instance is running or has gone.
type Instances struct {
	// Poll returns the changes since the version; it waits up to wait for one.
	Poll func(ctx context.Context, since uint64, wait time.Duration) (InstanceList, error)
	// Register puts an instance into the list; only the platform and tests call it.
	Register func(ctx context.Context, i Instance) error
	// Remove takes an instance off the list; only the platform and tests call it.
	Remove func(ctx context.Context, name recorder.Name) error
}

// NewInstances returns a client of the instance list at the base URL.
func NewInstances(base string, client *http.Client) *Instances {
	c := apiClient{base: base, client: client}
	return &Instances{
		Poll: func(ctx context.Context, since uint64, wait time.Duration) (InstanceList, error) {
			var l InstanceList
			path := fmt.Sprintf("/v1/instances?since=%d&wait-ms=%d", since, wait.Milliseconds())
			err := c.callJSON(ctx, "poll instances", http.MethodGet, path, nil, &l)
			return l, err
		},
		Register: func(ctx context.Context, i Instance) error {
			return c.callJSON(ctx, "register instance", http.MethodPut, "/v1/instances/"+string(i.Name), i, nil)
		},
		Remove: func(ctx context.Context, name recorder.Name) error {
			return c.callJSON(ctx, "remove instance", http.MethodDelete, "/v1/instances/"+string(name), nil, nil)
		},
	}
}
