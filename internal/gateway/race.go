package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
	"github.com/eelgrassdrift/eelgrassdrift/streamer"
)

// errSuperseded is the cancellation cause of an attempt that another one of the same
// call has superseded.
var errSuperseded = errors.New("another attempt answered first")

// attempt is one attempt of a call. While its endpoint is silent another attempt may
// run beside it. The one that has the next event or the whole answer first goes on,
// and the other is cancelled.
type attempt struct {
	call    *call
	target  target
	number  int
	request outgoing
	// from is the sequence number of the first frame.
	from   uint64
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *watchdog
	// superseded is guarded by call.mu.
	superseded bool

	// result and panicked are set when the attempt has ended.
	result   attemptResult
	panicked any
}

// begin starts an attempt.
func (c *call) begin(ctx context.Context, p target) {
	c.tries++
	c.exclude(p)
	a := &attempt{call: c, target: p, number: c.tries}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	c.mu.Lock()
	a.from, a.request = c.position, c.request(p)
	c.running = append(c.running, a)
	c.mu.Unlock()
	a.watch = watchEndpoint(a)
	go func() {
		a.run()
		c.ended <- a
	}()
}

// run makes the attempt and records its result in the endpoint table.
func (a *attempt) run() {
	defer a.target.done()
	defer a.cancel(nil)
	defer a.watch.end()
	defer func() { a.panicked = recover() }()
	a.result = a.make()
	a.report()
}

// report records the result in the endpoint table, unless the caller disconnected. An
// superseded attempt failed if its endpoint is still silent.
func (a *attempt) report() {
	if a.target.reportResult == nil || a.call.q.Context().Err() != nil {
		return
	}
	if !a.isSuperseded() {
		a.target.reportResult(!a.result.finished && a.result.outcome != retrier.NotRun)
	} else if a.watch.isSilent() {
		a.target.reportResult(true)
	}
}

func (a *attempt) isSuperseded() bool {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	return a.superseded
}

// claim makes a the attempt that answers the caller and cancels the others. It reports
// false if a itself was superseded or the caller has its answer. The caller holds c.mu.
func (c *call) claim(a *attempt) bool {
	if a.superseded || c.answered {
		return false
	}
	c.cancelAllBut(a)
	return true
}

// cancelAllBut cancels the running attempts but a. The caller holds c.mu.
func (c *call) cancelAllBut(a *attempt) {
	for _, o := range c.running {
		if o != a && !o.superseded {
			o.superseded = true
			o.cancel(errSuperseded)
		}
	}
}

// writeFrame forwards a frame of a stream from the given version. It reports false if
// another attempt was faster, and ends the call if the caller is gone.
func (a *attempt) writeFrame(f streamer.Frame, version recorder.Name) bool {
	c := a.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claim(a) {
		return false
	}
	if c.out == nil {
		c.version = version
		c.w.Header().Set(header.Version, string(version))
		c.out = &streamer.Writer{Out: c.w, Form: streamer.Caller, Request: c.id}
		c.gateway.counters.firstByte(a.ctx, c.serves, time.Since(c.begun))
	}
	if err := c.out.Frame(f); err != nil {
		c.gateway.Log.Info().Str("request-id", c.id).Err(err).Msg("caller disconnected")
		panic(http.ErrAbortHandler)
	}
	// Nothing was read while the caller accepted the frame, so silence begins now. silentAttempt
	// waits for c.mu and sees the new time.
	a.watch.recordFrame()
	c.position, c.answered = f.Sequence+1, f.End
	return true
}

// writeWhole forwards a whole answer. It reports false if another attempt was faster.
func (a *attempt) writeWhole(r *http.Response, b []byte) bool {
	c := a.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out != nil || !c.claim(a) {
		return false
	}
	c.version, c.answered = recorder.Name(r.Header.Get(header.Version)), true
	c.gateway.counters.firstByte(a.ctx, c.serves, time.Since(c.begun))
	c.writeResponse(r, b)
	return true
}

// await waits until the call is answered or no attempt is left, and reports whether to
// make another one.
func (c *call) await(ctx context.Context) bool {
	for {
		select {
		case <-c.silent:
			c.beginSuccessor(ctx)
		case a := <-c.ended:
			superseded := c.remove(a)
			switch {
			case a.panicked != nil:
				panic(a.panicked)
			case a.result.finished:
				return false
			case superseded:
				continue
			case c.isAnyRunning():
				c.ran = c.ran || a.result.outcome != retrier.NotRun
				continue
			}
			return c.decideNext(ctx, a)
		}
	}
}

// decideNext reports whether to make another attempt after the last one failed. If
// not, it has answered the caller.
func (c *call) decideNext(ctx context.Context, a *attempt) bool {
	c.last = a.result
	if c.last.response != nil && !c.ran {
		c.writeResponse(c.last.response, c.last.body)
		return false
	}
	if c.waitAfterLimitRefusal(ctx, c.last) {
		c.include(a.target)
		return true
	}
	c.ran = c.ran || c.last.outcome != retrier.NotRun
	d := c.decideRetry(c.last)
	c.logDecision(a, c.last, d)
	if !d.Retry {
		c.giveUp(c.last, nil)
	}
	c.retry = d
	return d.Retry
}

// beginSuccessor starts another attempt beside those that run if all of their endpoints
// are silent. If none can be made, those that run go on.
func (c *call) beginSuccessor(ctx context.Context) {
	a := c.silentAttempt()
	if a == nil {
		return
	}
	p, err := c.pickOnce()
	d := retrier.Decide(&c.gateway.budget, retrier.Attempt{
		Outcome: retrier.Unknown, Idempotent: c.idempotent, Remaining: time.Until(c.deadline), Tries: c.tries, Unavailable: err != nil,
	})
	if d.Reason != c.waitReason {
		c.waitReason = d.Reason
		c.logDecision(a, attemptResult{outcome: retrier.Unknown, reason: "silent"}, d)
	}
	if d.Retry {
		c.begin(ctx, p)
	} else if err == nil {
		p.done()
	}
}

// silentAttempt returns the last attempt if the endpoints of all that run are silent and the
// caller doesn't have its answer, otherwise nil. It waits for a write to the caller to end.
func (c *call) silentAttempt() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered {
		return nil
	}
	var last *attempt
	for _, a := range c.running {
		if a.superseded {
			continue
		}
		if !a.watch.isSilent() {
			return nil
		}
		last = a
	}
	return last
}

func (c *call) isAnyRunning() bool {
	return slices.ContainsFunc(c.running, func(a *attempt) bool { return !a.isSuperseded() })
}

// remove forgets an attempt that has ended and reports whether it was superseded.
func (c *call) remove(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = slices.DeleteFunc(c.running, func(o *attempt) bool { return o == a })
	return a.superseded
}

// end cancels the attempts that still run and waits for them, as they use the request.
func (c *call) end() {
	c.mu.Lock()
	c.cancelAllBut(nil)
	c.mu.Unlock()
	for len(c.running) > 0 {
		c.remove(<-c.ended)
	}
}

// exclude keeps p from being picked again, include allows it.
func (c *call) exclude(p target) {
	if p.remote {
		c.triedDomains = append(c.triedDomains, p.name)
	} else {
		c.tried = append(c.tried, p.name)
	}
}

func (c *call) include(p target) {
	is := func(n recorder.Name) bool { return n == p.name }
	if p.remote {
		c.triedDomains = slices.DeleteFunc(c.triedDomains, is)
	} else {
		c.tried = slices.DeleteFunc(c.tried, is)
	}
}

func (c *call) logDecision(a *attempt, r attemptResult, d retrier.Decision) {
	c.gateway.Log.Info().Str("request-id", c.id).Int("try", a.number).Str("endpoint", string(a.target.name)).
		Stringer("outcome", r.outcome).Str("cause", r.reason).Bool("retry", d.Retry).Str("reason", d.Reason).
		Msg("retry decision")
}
