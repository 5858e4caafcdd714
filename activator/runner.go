package activator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

const (
	// readInterval is the time between reads of the engine's state, and the
	// longest time until a restart of the engine is noticed.
	readInterval = 500 * time.Millisecond
	// readTimeout bounds one read of the engine's state.
	readTimeout = 2 * time.Second
	// submitTimeout bounds the append of a grant or release and the wait for its
	// outcome.
	submitTimeout = 10 * time.Second
	// grantBackoff and orderBackoff are the mean delays before a retry.
	grantBackoff = time.Second
	orderBackoff = 2 * time.Second
	// warmTimeout bounds the first request to an engine, which warms it up.
	warmTimeout = 30 * time.Second
)

// Status is what the endpoint reports.
type Status struct {
	State   State
	Version recorder.Name
	// Verified and Total count the chunks of the version being fetched.
	Verified, Total int
	// Message is the last refusal or failure.
	Message string
}

// Runner carries out the decisions for one engine.
type Runner struct {
	// Instance is the holder of the grants.
	Instance      recorder.Name
	FailureDomain recorder.Name
	Model         recorder.Name
	Engine        *connector.Engine
	Replica       *follower.Replica
	Gate          *Gate
	// Submit appends a record and returns its outcome.
	Submit func(ctx context.Context, r recorder.Record) (registrar.Outcome, error)
	// Fetch fetches all chunks of a version into memory and verifies them.
	Fetch func(ctx context.Context, v *registrar.Version, progress func(verified, total int)) error
	// HasChunks reports whether all chunks of a version are verified.
	HasChunks func(v *registrar.Version) bool
	// Keep drops the chunks of all versions except the given ones.
	Keep func(versions []*registrar.Version)
	// Source returns the URL from which the engine reads a version.
	Source func(v *registrar.Version) string
	// Warm sends the engine its first request, which warms it up.
	Warm func(ctx context.Context, v *registrar.Version) error
	// Cold is called after a load order or a restart of the engine, when it may
	// no longer be warm.
	Cold func(reason string)
	// Changed is called when the value that Status returns may have changed.
	Changed func()
	// Now defaults to time.Now.
	Now func() time.Time
	// LeaseNow is the clock of leases, which goes on while the machine is suspended. It
	// defaults to timekeeper.Now.
	LeaseNow func() time.Time
	Log      zerolog.Logger

	mu      sync.Mutex
	status  Status
	leaving bool

	// The fields below are used by the goroutine of Run only, apart from the
	// channels.
	wake chan struct{}
	in   Inputs
	// leases and pending hold the ends of leases by grant and by the operation that asks
	// for one, on the clock of LeaseNow.
	leases     map[uint64]time.Time
	pending    map[recorder.OperationID]time.Time
	fetching   *fetchJob
	fetched    chan error
	lastAction ActionKind
}

// fetchJob is a fetch in progress.
type fetchJob struct {
	version *registrar.Version
	stop    context.CancelFunc
}

// Status returns what the endpoint reports.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Leave begins a planned stop: the gate closes and grants are released.
func (r *Runner) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.status.State = Leaving
	r.mu.Unlock()
	r.Gate.Close("endpoint is leaving")
	r.Changed()
}

// Suspect closes the gate if it is open for the given boot of the engine, and
// makes Run read the engine's state. It is called when an exchange with the
// engine failed or its answer did not match the state that was read.
func (r *Runner) Suspect(bootID, reason string) {
	r.Gate.CloseBoot(bootID, reason)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Init prepares the runner; it is called before Run and Suspect.
func (r *Runner) Init() {
	r.wake = make(chan struct{}, 1)
	r.leases = make(map[uint64]time.Time)
	r.pending = make(map[recorder.OperationID]time.Time)
	r.fetched = make(chan error, 1)
	r.status.State = Empty
	if r.Now == nil {
		r.Now = time.Now
	}
	if r.LeaseNow == nil {
		r.LeaseNow = timekeeper.Now
	}
}

// Run repeatedly reads the engine's state, decides and acts until the context
// ends.
func (r *Runner) Run(ctx context.Context) error {
	started := r.Now()
	t := time.NewTicker(readInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		changed := r.Replica.Changed()
		r.readEngine(ctx)
		r.gatherInputs(started)
		d := Decide(&r.in)
		r.report(d)
		if r.perform(ctx, d.Action) {
			continue
		}
		select {
		case <-changed:
		case <-t.C:
		case <-r.wake:
		case err := <-r.fetched:
			r.fetchEnded(err)
		case <-ctx.Done():
		}
	}
	if r.fetching != nil {
		r.fetching.stop()
		r.fetchEnded(<-r.fetched)
	}
	return ctx.Err()
}

// readEngine reads the engine's state and closes the gate if it differs from
// what the gate was opened for.
func (r *Runner) readEngine(ctx context.Context) {
	c, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	e, err := r.Engine.State(c)
	if err != nil {
		r.in.EngineRead = false
		r.Gate.Close("engine does not answer")
		r.setMessage(err.Error())
		return
	}
	if r.in.EngineRead && r.in.Engine.BootID != e.BootID {
		r.Cold("engine restarted")
		r.in.NoOrderBefore = time.Time{}
		r.Log.Warn().Str("boot-id", e.BootID).Str("reason", "boot id changed").Msg("engine restarted")
	}
	if v, open := r.Gate.IsOpen(); open && (e.BootID != r.in.WarmBootID || e.Version != v || e.Loading) {
		r.Gate.Close("engine changed")
	}
	r.in.Engine, r.in.EngineRead = e, true
}

// gatherInputs collects the inputs of a decision. The process started at started.
func (r *Runner) gatherInputs(started time.Time) {
	s := r.Replica.Current()
	in := &r.in
	in.Now, in.Applied = r.Now(), s.Offset
	in.Model = s.Models[r.Model]
	in.Target = s.Target(r.Model, r.FailureDomain)
	in.Prefetch = s.Prefetch(r.Model)
	in.Known = func(n recorder.Name) *registrar.Version { return s.Versions[string(r.Model)+"/"+string(n)] }
	in.HasChunks = r.HasChunks
	in.InFlight = r.Gate.InFlight()
	in.Serving, in.Open = r.Gate.IsOpen()
	in.PredecessorOrderEnd = started.Add(in.orderTimeout())
	r.mu.Lock()
	in.Leaving = r.leaving
	r.mu.Unlock()
	r.updateGrant(s)
	if !r.Replica.CaughtUp() {
		in.Target, in.Prefetch = registrar.Target{}, nil
	}
	r.dropUnusedVersions()
}

// report updates the status and logs a change of the action.
func (r *Runner) report(d Decision) {
	r.mu.Lock()
	old := r.status
	if !r.leaving {
		r.status.State = d.State
	}
	r.status.Version = r.in.Engine.Version
	if !r.in.EngineRead {
		r.status.Version = ""
	}
	changed := r.status != old
	r.mu.Unlock()
	if d.Action.Kind != r.lastAction {
		r.lastAction = d.Action.Kind
		e := r.Log.Info().Str("state", string(d.State)).Str("action", string(d.Action.Kind)).
			Uint64("revision", r.Replica.Current().Offset).Str("reason", d.Action.Reason)
		if v := d.Action.Version; v != nil {
			e = e.Str("version", string(v.Name))
		}
		e.Msg("endpoint decision")
	}
	if changed {
		r.Changed()
	}
}

func (r *Runner) setMessage(m string) {
	r.mu.Lock()
	r.status.Message = m
	r.mu.Unlock()
}

// perform carries out an action and reports whether the next decision can
// follow at once.
func (r *Runner) perform(ctx context.Context, a Action) bool {
	switch a.Kind {
	case Fetch:
		r.startFetch(ctx, a.Version)
	case TakeGrant:
		r.takeGrant(ctx, a.Version)
	case Drain:
		r.drain(ctx, a)
		return true
	case Order:
		r.order(ctx, a)
		return true
	case Warm:
		return r.warm(ctx, a.Version)
	case Open:
		r.Gate.Open(a.Version.Name, r.in.Engine.BootID)
		r.setMessage("")
		return true
	case Release:
		return r.release(ctx, a)
	}
	return false
}

// drain closes the gate and waits until no request is in flight or the
// action's deadline has passed.
func (r *Runner) drain(ctx context.Context, a Action) {
	r.Gate.Close("endpoint is changing its version")
	r.Changed()
	c, stop := context.WithDeadline(ctx, a.Deadline)
	defer stop()
	select {
	case <-r.Gate.Idle():
	case <-c.Done():
	}
}

// order sends a load order to the engine. The engine's state counts as unknown
// until it is read again.
func (r *Runner) order(ctx context.Context, a Action) {
	v := a.Version
	c, stop := context.WithDeadline(ctx, a.Deadline)
	defer stop()
	begun := r.Now()
	_, err := r.Engine.Load(c, connector.LoadOrder{
		Model: v.Model, Version: v.Name, Digest: v.Digest, Size: v.Size, Adapters: v.Adapters, Role: v.Role,
		Fencing: a.Fencing, Deadline: a.Deadline, Source: r.Source(v),
	})
	r.Log.Info().Str("version", string(v.Name)).Uint64("fencing", a.Fencing).Dur("took-ms", r.Now().Sub(begun)).
		AnErr("reason", err).Msg("load order")
	r.in.EngineRead = false
	r.Cold("load order")
	if err == nil {
		return
	}
	r.setMessage(err.Error())
	r.in.NoOrderBefore = r.Now().Add(jitter(orderBackoff))
	if r.in.Grant != nil {
		r.in.Failure = err.Error()
	}
}

// warm sends the warm-up request and reports whether it succeeded.
func (r *Runner) warm(ctx context.Context, v *registrar.Version) bool {
	c, stop := context.WithTimeout(ctx, warmTimeout)
	defer stop()
	bootID := r.in.Engine.BootID
	if err := r.Warm(c, v); err != nil {
		r.setMessage(err.Error())
		r.Log.Warn().Str("version", string(v.Name)).Err(err).Msg("warm-up failed")
		return false
	}
	r.in.WarmBootID, r.in.WarmVersion = bootID, v.Name
	return true
}

// jitter returns a random duration from d/2 up to 3d/2, so that refused
// instances do not retry at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
