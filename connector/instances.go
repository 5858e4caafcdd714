package connector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

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
	// Refused holds the errors of the entries that describe no instance. An instance whose
	// name such an entry has is gone, in Instances.
	Refused []error `json:"-"`
}

// UnmarshalJSON implements json.Unmarshaler. An entry that describes no instance is refused
// by itself, so that the others hold.
func (l *InstanceList) UnmarshalJSON(b []byte) error {
	var in struct {
		Version   uint64            `json:"version"`
		Full      bool              `json:"full"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(b, &in); err != nil {
		return errors.WithStack(err)
	}
	*l = InstanceList{Version: in.Version, Full: in.Full}
	for n, raw := range in.Instances {
		i, err := decodeInstance(raw)
		if err != nil {
			l.Refused = append(l.Refused, errors.Wrapf(err, "entry %d, instance %.64q", n, string(i.Name)))
		}
		if i.Name != "" {
			l.Instances = append(l.Instances, i)
		}
	}
	return nil
}

// decodeInstance decodes an entry. With an error it returns an instance that is gone, whose
// name is empty if the entry has none.
func decodeInstance(raw json.RawMessage) (Instance, error) {
	var i Instance
	err := json.Unmarshal(raw, &i)
	if err == nil {
		err = i.Name.Check()
	}
	if err == nil {
		return i, nil
	}
	var named struct {
		Name recorder.Name `json:"name"`
	}
	if json.Unmarshal(raw, &named) != nil || named.Name.Check() != nil {
		named.Name = ""
	}
	return Instance{Name: named.Name, State: InstanceGone}, err
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
