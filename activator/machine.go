package activator

import (
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// State is the state that an endpoint reports.
type State string

// The states of an endpoint.
const (
	Empty    State = "empty"
	Fetching State = "fetching"
	Verified State = "verified"
	Draining State = "draining"
	Loading  State = "loading"
	Warming  State = "warming"
	Ready    State = "ready"
	Leaving  State = "leaving"
)

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of action.
const (
	// Wait means to do nothing until an input changes.
	Wait ActionKind = "wait"
	// ReadBack means to read the engine's state.
	ReadBack ActionKind = "read-back"
	// Fetch means to fetch and verify the version's chunks.
	Fetch ActionKind = "fetch"
	// TakeGrant means to request a grant.
	TakeGrant ActionKind = "take-grant"
	// Drain means to close the gate and wait for the requests in flight.
	Drain ActionKind = "drain"
	// Order means to send the engine a load order and read its state afterwards.
	Order ActionKind = "order"
	// Warm means to send the engine its first request, which warms it up.
	Warm ActionKind = "warm"
	// Open means to open the gate for the engine's version.
	Open ActionKind = "open"
	// Release means to release the grant.
	Release ActionKind = "release"
)

// Action is the next step that the Runner carries out.
type Action struct {
	Kind ActionKind
	// Version is the version to fetch, order or open.
	Version *registrar.Version
	// Fencing is the fencing number of a load order.
	Fencing uint64
	// Deadline is the time after which the engine must not carry out a load
	// order, or the time at which a drain ends.
	Deadline time.Time
	// Grant is the grant to release.
	Grant *registrar.Grant
	// OK and Message are the content of a release.
	OK      bool
	Message string
	// Reason explains the action in the log.
	Reason string
}

// Inputs holds everything that a decision depends on.
type Inputs struct {
	Now time.Time
	// Model is the declared model, or nil.
	Model *registrar.Model
	// Target and Prefetch come from the configuration.
	Target   registrar.Target
	Prefetch *registrar.Version
	// Known returns a declared version of the model by name, or nil.
	Known func(recorder.Name) *registrar.Version
	// Engine is the state last read from the engine, valid while EngineRead is set.
	Engine     connector.EngineState
	EngineRead bool
	// HasChunks reports whether all chunks of a version are verified in memory.
	HasChunks func(*registrar.Version) bool
	// Applied is the log offset up to which the configuration was applied.
	Applied uint64
	// InFlight is the number of admitted requests that have not ended.
	InFlight int
	// Open and Serving report whether the gate is open, and for which version.
	Open    bool
	Serving recorder.Name
	// WarmBootID and WarmVersion identify the engine's boot and the version that
	// were warmed up last.
	WarmBootID  string
	WarmVersion recorder.Name
	// Grant is the grant that this endpoint holds, or nil. GrantEnd is the end
	// of its lease on the clock of Now, without the time of suspensions since.
	Grant    *registrar.Grant
	GrantEnd time.Time
	// NoGrantBefore and NoOrderBefore are the earliest times of the next grant
	// request and load order after a refusal or failure.
	NoGrantBefore, NoOrderBefore time.Time
	// Failure is the error of a load order that failed under Grant, or empty.
	Failure string
	// PredecessorOrderEnd is the time until which an engine that ignores fencing
	// numbers may still carry out a load order of a previous agent process.
	PredecessorOrderEnd time.Time
	// Leaving is set during a planned stop.
	Leaving bool
}

// Decision holds the state to report and the next action.
type Decision struct {
	State  State
	Action Action
}

// leaseMargin is the time between a load order's deadline and the end of the
// lease. An order that ends at its deadline leaves this time to read the engine.
const leaseMargin = 500 * time.Millisecond

// Matches reports whether the engine has loaded exactly the version, with its
// digest, role and adapters.
func Matches(e connector.EngineState, v *registrar.Version) bool {
	return v != nil && !e.Loading && e.Model == v.Model && e.Version == v.Name && e.Digest == v.Digest.String() &&
		e.Role == v.Role && slices.Equal(e.Adapters, v.Adapters)
}

// Decide returns the state and the next action of an endpoint.
func Decide(in *Inputs) Decision {
	switch {
	case in.Leaving:
		return decideLeaving(in)
	case !in.EngineRead:
		return Decision{Empty, Action{Kind: ReadBack, Reason: "engine state is not known"}}
	case in.Engine.Loading:
		return Decision{Loading, Action{Kind: ReadBack, Reason: "engine is loading"}}
	case Matches(in.Engine, in.Target.Version):
		return decideOnTarget(in)
	}
	return decideChange(in)
}

// decideLeaving decides for an endpoint in a planned stop.
func decideLeaving(in *Inputs) Decision {
	if in.Grant != nil {
		return Decision{Leaving, Action{Kind: Release, Grant: in.Grant, Message: "endpoint is leaving"}}
	}
	return Decision{Leaving, Action{Kind: Wait}}
}

// decideOnTarget decides for an engine that holds the target.
func decideOnTarget(in *Inputs) Decision {
	v := in.Target.Version
	if d, ok := decideServing(in, v); !ok {
		return d
	}
	if in.Grant != nil {
		ok := in.Grant.Version == v.Name
		return Decision{Ready, Action{Kind: Release, Grant: in.Grant, OK: ok, Message: "endpoint serves " + string(v.Name)}}
	}
	if p := in.Prefetch; p != nil && !in.HasChunks(p) {
		return Decision{Ready, Action{Kind: Fetch, Version: p, Reason: "fetch ahead"}}
	}
	if !in.HasChunks(v) {
		return Decision{Ready, Action{Kind: Fetch, Version: v, Reason: "chunks for peers and for a restart"}}
	}
	return Decision{Ready, Action{Kind: Wait}}
}

// decideServing returns the next step towards serving v, or true once the
// engine is warm and the gate is open.
func decideServing(in *Inputs, v *registrar.Version) (Decision, bool) {
	if in.WarmBootID != in.Engine.BootID || in.WarmVersion != v.Name {
		return Decision{Warming, Action{Kind: Warm, Version: v}}, false
	}
	if !in.Open || in.Serving != v.Name {
		return Decision{Warming, Action{Kind: Open, Version: v, Reason: "read back"}}, false
	}
	return Decision{}, true
}

// decideChange decides for an engine that does not hold the target.
func decideChange(in *Inputs) Decision {
	old := in.Known(in.Engine.Version)
	serving := Matches(in.Engine, old)
	v := in.Target.Version
	if v == nil {
		return Decision{Empty, Action{Kind: Wait, Reason: "no version is set"}}
	}
	if d, done := decideFetch(in, v, old, serving); !done {
		return d
	}
	if !serving {
		return decideOrder(in, v, in.fencing(), in.Now.Add(in.orderTimeout()))
	}
	return decideReplacement(in, v, old)
}

// decideFetch returns the next step towards having the chunks of v, or true
// once they are complete. An endpoint that holds an old version serves it
// meanwhile.
func decideFetch(in *Inputs, v, old *registrar.Version, serving bool) (Decision, bool) {
	if in.HasChunks(v) {
		return Decision{}, true
	}
	if in.Grant != nil {
		return Decision{Fetching, Action{Kind: Release, Grant: in.Grant, Message: "chunks are no longer complete"}}, false
	}
	if !serving {
		return Decision{Fetching, Action{Kind: Fetch, Version: v, Reason: "target"}}, false
	}
	if d, ok := decideServing(in, old); !ok {
		return d, false
	}
	return Decision{Ready, Action{Kind: Fetch, Version: v, Reason: "target"}}, false
}

// decideReplacement decides for an endpoint that serves old and has the chunks
// of v: it takes a grant, drains and loads v.
func decideReplacement(in *Inputs, v, old *registrar.Version) Decision {
	g := in.Grant
	if g == nil || g.Version != v.Name {
		if d, ok := decideServing(in, old); !ok {
			return d
		}
		if g != nil {
			return Decision{Ready, Action{Kind: Release, Grant: g, Message: "version " + string(g.Version) + " is no longer the target"}}
		}
		if in.Target.GrantRollout == nil || in.Target.GrantRollout.Phase == registrar.Paused || in.Now.Before(in.NoGrantBefore) {
			return Decision{Ready, Action{Kind: Wait, Reason: "no grant yet"}}
		}
		return Decision{Ready, Action{Kind: TakeGrant, Version: v}}
	}
	deadline := in.GrantEnd.Add(-leaseMargin)
	if in.Failure != "" || !in.Now.Before(deadline) {
		m := in.Failure
		if m == "" {
			m = "lease ended before the order"
		}
		return Decision{Draining, Action{Kind: Release, Grant: g, Message: m}}
	}
	if in.Open || in.InFlight > 0 {
		return Decision{Draining, Action{Kind: Drain, Deadline: deadline, Reason: "grant"}}
	}
	if t := in.Now.Add(in.orderTimeout()); t.Before(deadline) {
		deadline = t
	}
	return decideOrder(in, v, g.Offset, deadline)
}

// decideOrder returns a load order for v once the endpoint is drained and no
// delay is in force.
func decideOrder(in *Inputs, v *registrar.Version, fencing uint64, deadline time.Time) Decision {
	if in.Open || in.InFlight > 0 {
		return Decision{Draining, Action{Kind: Drain, Deadline: deadline, Reason: "engine holds no declared version"}}
	}
	if in.Now.Before(in.NoOrderBefore) {
		return Decision{Verified, Action{Kind: Wait, Reason: "last order failed"}}
	}
	if in.Model != nil && in.Model.Fencing == recorder.FencingIgnored && in.Now.Before(in.PredecessorOrderEnd) {
		return Decision{Verified, Action{Kind: Wait, Reason: "a load order of a previous process may still run"}}
	}
	return Decision{Loading, Action{Kind: Order, Version: v, Fencing: fencing, Deadline: deadline}}
}

// fencing returns the fencing number of a load order without a grant. An engine
// whose load under a grant failed remembers the grant's offset, which is above
// the target's offset. A process that has applied that offset knows a target
// that is no older, so it may reuse the engine's number.
func (in *Inputs) fencing() uint64 {
	if f := in.Engine.Fencing; f <= in.Applied {
		return max(f, in.Target.Offset)
	}
	return in.Target.Offset
}

// orderTimeout returns the model's time limit for a load order.
func (in *Inputs) orderTimeout() time.Duration {
	if in.Model == nil {
		return time.Minute
	}
	return in.Model.OrderTimeout.Std()
}
