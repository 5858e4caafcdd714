package guarder

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxRounds bounds the steps of one invocation of Do: appends of an intent, and
// queries to the processes of winning intents.
const maxRounds = 12

// Do runs the call if the key is new, and otherwise returns the answer of the
// first run. Errors are of type *Error, except that an error of run is returned
// unchanged. Kind Unavailable means that this call was not run and will not be;
// if run returns it, a repeated call may run. After any other error of run,
// repeated calls get an unknown outcome.
func (g *Guard) Do(ctx context.Context, c Call, run func(ctx context.Context) (Answer, error)) (Result, error) {
	if err := c.Check(); err != nil {
		return Result{}, reject(classifier.Invalid, "%v", err)
	}
	key := c.Digest()
	r, o, err := g.do(ctx, c, key, run)
	decision := "answered"
	switch {
	case classifier.Of(err) == classifier.Unavailable && err != nil:
		decision = "not-run"
	case err != nil:
		decision = classifier.Of(err).String()
	case r.First:
		decision = "run"
	case r.Running:
		decision = "running"
	}
	l := g.Logger.Info().Str("service", string(g.Service)).Stringer("key", key).Str("decision", decision)
	if o != nil {
		l = l.Stringer("operation", o.id)
	}
	if r.Winner.IsValid() {
		l = l.Stringer("winner", r.Winner)
	}
	l.AnErr("reason", err).Msg("guarded call")
	return r, err
}

// do implements Do. It also returns the last operation that it opened, or nil,
// for the log.
func (g *Guard) do(ctx context.Context, c Call, key recorder.Digest, run func(ctx context.Context) (Answer, error)) (Result, *operation, error) {
	var o *operation
	var replaces uint64
	for range maxRounds {
		p, err := g.nextStep(ctx, c, key, replaces, o != nil)
		if err != nil {
			return Result{}, o, err
		}
		replaces = 0
		switch {
		case p.winner != nil:
			r, replaceable, err := g.resolveWinner(ctx, key, p.winner)
			if err != nil || !replaceable {
				return r, o, err
			}
			replaces = p.winner.offset
		case p.pending != nil:
			select {
			case <-p.pending.decided:
			case <-ctx.Done():
				return Result{}, o, unknown("an earlier call with the key is not decided: %v", ctx.Err())
			}
		default:
			o = p.queued
			runs, err := g.wait(ctx, o)
			if err != nil {
				return Result{}, o, err
			}
			if runs {
				r, err := g.runCall(ctx, o, run)
				return r, o, err
			}
		}
	}
	return Result{}, o, unknown("no decision after %d rounds", maxRounds)
}

// nextStep is the next step of a call; exactly one field is set.
type nextStep struct {
	// winner is a copy of the table's entry for the key.
	winner *entry
	// pending is an undecided operation of this process for the key.
	pending *operation
	// queued is a new operation, whose intent is queued.
	queued *operation
}

// nextStep returns the next step of a call. replaces is the offset of a winning
// intent whose process refused the call, or 0. rejected is set if the table
// already rejected an intent of this call; then the table is right even if the
// key has expired by the local clock.
func (g *Guard) nextStep(ctx context.Context, c Call, key recorder.Digest, replaces uint64, rejected bool) (nextStep, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ready() {
		if g.lostIntentsFor() > 0 {
			g.pausedCalls++
		}
		return nextStep{}, notRun(max(DefaultRetryAfter, g.lostIntentsFor()), "the guard is not ready")
	}
	now := g.now()
	if at, ok := c.keyTime(); ok && now.Sub(at) > g.Window {
		return nextStep{}, unknown("the key is older than the window of %v", g.Window)
	}
	if o := g.undecided[key]; o != nil {
		if o.request != c.Request {
			return nextStep{}, conflict()
		}
		return nextStep{pending: o}, nil
	}
	e := g.table.keys[key]
	known := e != nil && (rejected || replaces != 0 || now.Sub(e.last) <= g.Window)
	switch {
	case known && e.request != c.Request:
		return nextStep{}, conflict()
	case known && e.offset != replaces:
		w := *e
		return nextStep{winner: &w}, nil
	case known && !e.historyKnown:
		return nextStep{}, unknown("the log dropped older records that may hold the key")
	case !known && replaces != 0:
		return nextStep{}, unknown("the winner's intent left the window")
	case ctx.Err() != nil:
		return nextStep{}, notRun(DefaultRetryAfter, "before the intent was sent: %v", ctx.Err())
	case len(g.undecided) >= g.MaxWaiting:
		return nextStep{}, notRun(DefaultRetryAfter, "%d calls wait for their intent", len(g.undecided))
	case e == nil && len(g.table.keys) >= g.MaxKeys:
		return nextStep{}, notRun(g.Window, "the table holds %d keys", len(g.table.keys))
	}
	return nextStep{queued: g.openOperation(key, c.Request, replaces)}, nil
}

// openOperation adds an undecided operation and queues its intent. The caller
// holds the mutex.
func (g *Guard) openOperation(key, request recorder.Digest, replaces uint64) *operation {
	o := &operation{
		id: g.NewOperation(), key: key, request: request, replaces: replaces, created: g.now(),
		decided: make(chan struct{}),
	}
	g.operations[o.id], g.undecided[key] = o, o
	select {
	case g.newUndecided <- struct{}{}:
	default:
	}
	g.queueIntent(o)
	return o
}

// wait waits for the decision on an operation of this call and reports whether
// the call runs now. Without an error, false means that another intent won.
func (g *Guard) wait(ctx context.Context, o *operation) (bool, error) {
	select {
	case <-o.decided:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse(o, errors.Wrap(ctx.Err(), "before the intent was decided"), 0)
	switch o.state {
	case lost:
		return false, nil
	case won:
	default:
		return false, o.err
	}
	// A process that was paused must not run a call whose key other agents may
	// have dropped in the meantime. The remaining half of the window covers the
	// difference between the clocks.
	if age := g.now().Sub(o.intentTime); age > g.Window/2 || ctx.Err() != nil {
		o.state = refused
		return false, notRun(DefaultRetryAfter, "%v after the intent: the call is too late", age)
	}
	o.state = started
	return true, nil
}

// runCall runs the call of an operation that won, and keeps its answer.
func (g *Guard) runCall(ctx context.Context, o *operation, run func(ctx context.Context) (Answer, error)) (Result, error) {
	end := failed
	var a Answer
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		o.state = end
		if end == finished {
			g.answerCache.add(o, a)
		}
	}()
	var err error
	if a, err = run(ctx); err != nil {
		if classifier.Of(err) == classifier.Unavailable {
			end = refused
		}
		return Result{Winner: g.Address}, err
	}
	end = finished
	return Result{Answer: a, First: true, Winner: g.Address}, nil
}

// resolveWinner finds out what the process of the winning intent did.
// replaceable is set if that process permanently refused the call, so that a
// takeover intent may replace the winner.
func (g *Guard) resolveWinner(ctx context.Context, key recorder.Digest, e *entry) (r Result, replaceable bool, err error) {
	h := e.processRef.Value()
	r.Winner = h.Address
	var v intentStatus
	switch {
	case h.BootID == g.BootID && h.Instance == g.Instance:
		v = g.intentStatus(e.operation)
	case h.Instance == g.Instance:
		return r, false, unknown("an earlier process of this instance had the call")
	default:
		if v, err = g.queryWinner(ctx, key, e.operation, h); err != nil {
			return r, false, unknown("the agent %s had the call: %v", h.Instance, err)
		}
	}
	switch v.State {
	case stateRunning:
		r.Running = true
		return r, false, nil
	case stateDone:
		r.Answer = *v.Answer
		return r, false, nil
	case stateNotRun:
		return r, true, nil
	}
	return r, false, unknown("the agent %s has no answer of the first run", h.Instance)
}

// conflict returns the error of a key that was used for another request.
func conflict() error {
	return reject(classifier.Conflict, "the idempotency key was used for another request")
}
