package forwarder

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// errSilent is the error of an attempt whose endpoint has been silent for so long that
// another endpoint is tried beside it.
var errSilent = &Error{Op: "read response", Kind: classifier.Timeout, Err: errors.New("the endpoint is silent")}

// errSuperseded ends an attempt because another one has gone on with the response.
var errSuperseded = &Error{Op: "read response", Kind: classifier.Timeout, Err: errors.New("another attempt has gone on with the response")}

// maxTimerDelay is the delay of a timer from which the process counts as paused.
const maxTimerDelay = 300 * time.Millisecond

// acquire waits for a lease until a silent attempt goes on.
func (c *call) acquire() (*dispatcher.Lease, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	q := c.dispatcherRequest()
	if !c.attempts.setStopAcquire(cancel) {
		return nil, errSuperseded
	}
	defer c.attempts.setStopAcquire(nil)
	return c.handler.Dispatcher.Acquire(ctx, q)
}

// startAttempt makes an attempt at another endpoint, beside the silent ones.
func (c *call) startAttempt() error {
	l, err := c.acquire()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	a := &attempt{call: c, lease: l, last: c.isLastAttempt(), ctx: ctx, cancel: cancel}
	// expect sets the time of the first call.
	a.silence = time.AfterFunc(time.Until(c.deadline), a.onSilence)
	if !c.addAttempt(a) {
		a.silence.Stop()
		cancel()
		l.Done(dispatcher.Canceled)
		return errSuperseded
	}
	c.lease = l
	a.retry, c.retry = c.retry, retrier.Decision{}
	c.queueTime += l.Waited
	c.reserved = c.reserved || l.Reserved
	c.halfOpen = c.halfOpen || l.HalfOpen
	c.reservedHere = c.reservedHere || l.Reserved && !l.ReservedElsewhere
	go a.serve()
	return nil
}

// addAttempt adds an attempt unless a silent one has gone on.
func (c *call) addAttempt(a *attempt) bool {
	s := &c.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims != s.seen {
		return false
	}
	a.begun, a.resumeFrom = c.started, c.lastEvent
	s.running = append(s.running, a)
	return true
}

// next waits until an attempt has ended, which it removes, or an endpoint has become silent.
func (c *call) next() (a *attempt, ended bool) {
	for {
		if a, ended = c.attempts.take(); a == nil {
			<-c.attempts.changed
			continue
		}
		if ended && !a.sent {
			// The next attempt uses the retry.
			c.refundRetry()
			c.retry = a.retry
		}
		return a, ended
	}
}

// refundRetry gives back the retry that was taken for the next attempt, if any, as none is made.
func (c *call) refundRetry() {
	c.handler.budget(c.service).Refund(c.retry)
	c.retry = retrier.Decision{}
}

// join ends the attempts under way and waits until they have ended.
func (c *call) join() {
	c.cancel()
	for n, _ := c.attempts.counts(); n > 0; n, _ = c.attempts.counts() {
		c.next()
	}
	c.refundRetry()
}

// serve makes the attempt and ends its lease.
func (a *attempt) serve() {
	defer a.cancel()
	v := attemptResult{leaseOutcome: dispatcher.Canceled}
	defer func() { a.end(v) }()
	defer func() {
		if p := recover(); p != nil {
			a.call.handler.Log.Error().Str("request", a.call.id).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("attempt-panicked")
			v = unknownOutcome("attempt", errors.Newf("panic: %v", p))
		}
	}()
	v = a.run(a.ctx, a.call.handler.Transport)
}

func (a *attempt) end(v attemptResult) {
	a.silence.Stop()
	s := &a.call.attempts
	s.mu.Lock()
	silent, overdue, held := a.state.silent, a.state.overdue, a.state.held
	a.state.endedAt = time.Now()
	s.mu.Unlock()
	if overdue && !v.isAnswer() {
		v.err = errOverdue
	}
	if held && !v.isAnswer() && !isBroken(v.err) {
		v.err = errHeld
	}
	if silent && v.leaseOutcome == dispatcher.Canceled {
		v.leaseOutcome = dispatcher.Abandoned
	}
	// The slot is free before the call asks for another one.
	a.lease.Done(v.leaseOutcome)
	s.mu.Lock()
	a.state.ended, a.state.result = true, v
	if s.writer == a {
		s.writer = nil
	}
	s.mu.Unlock()
	s.notify()
}

// expect records that the next part of the response is due at a time. If it doesn't arrive,
// another attempt is made beside this one. The last attempt may take until the deadline.
func (a *attempt) expect(due time.Time) {
	if a.last {
		return
	}
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	if due.Before(a.state.askAfter) {
		due = a.state.askAfter
	}
	a.state.due = due
	a.silence.Reset(time.Until(due))
}

// hear records that the endpoint isn't silent, and returns the present time.
func (a *attempt) hear() time.Time {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state.heard = time.Now()
	return a.state.heard
}

// hearResponse records that the headers of the response have arrived.
func (a *attempt) hearResponse() {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state.heard, a.state.responded = time.Now(), true
}

// endOverdue ends the attempt unless its response has begun.
func (a *attempt) endOverdue() {
	s := &a.call.attempts
	s.mu.Lock()
	overdue := !a.state.responded && !a.state.ended
	a.state.overdue = overdue
	s.mu.Unlock()
	if overdue {
		a.cancel()
	}
}

// heardAt returns the time of the last call of hear; the zero value if there was none.
func (a *attempt) heardAt() time.Time {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.state.heard
}

// onSilence is called when the next part of the response may be overdue.
func (a *attempt) onSilence() {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &a.state
	if st.ended || st.silent || st.due.IsZero() || time.Now().Before(st.due) {
		return
	}
	if time.Since(st.due) > maxTimerDelay {
		// The process was paused. What has arrived meanwhile is read first.
		st.due = time.Now().Add(maxTimerDelay)
		st.askAfter = st.due
		a.silence.Reset(maxTimerDelay)
		return
	}
	st.silent, st.reported = true, false
	if s.writer == a {
		s.writer = nil
	}
	s.notify()
}

// claim gives the attempt the right to write to the caller and ends the other ones, unless
// another one has claimed before. The attempt keeps the right until it ends or its endpoint
// is silent, which it isn't before the next call of expect.
func (a *attempt) claim() bool {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer == nil && !a.state.superseded {
		s.supersede(a)
	}
	return a.writes()
}

// claimAlone does the same if the attempt is the only one and its endpoint isn't silent.
func (a *attempt) claimAlone() bool {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer == nil && !a.state.superseded && !a.state.silent && len(s.running) == 1 {
		s.supersede(a)
	}
	return a.writes()
}

// isWriter reports whether the attempt may write to the caller, as claim does, but doesn't
// claim.
func (a *attempt) isWriter() bool {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.writes()
}

// writes reports whether the attempt is the writer, whose endpoint then isn't silent. It is
// called with the lock held.
func (a *attempt) writes() bool {
	if a.call.attempts.writer != a {
		return false
	}
	a.state.due, a.state.silent = time.Time{}, false
	return true
}

// setBegun records that the first event with data has arrived. Only the writer calls it.
func (a *attempt) setBegun() {
	s := &a.call.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
	if a.beganAt.IsZero() {
		a.beganAt = time.Now()
	}
}

// setProgress records what the caller has received. Only the writer calls it.
func (a *attempt) setProgress(lastEvent string) {
	c := a.call
	c.attempts.mu.Lock()
	defer c.attempts.mu.Unlock()
	a.begun, c.started, c.lastEventAt = true, true, time.Now()
	if lastEvent != "" {
		c.lastEvent = lastEvent
	}
}

// isStarted reports whether a part of a stream was sent to the caller.
func (c *call) isStarted() bool {
	c.attempts.mu.Lock()
	defer c.attempts.mu.Unlock()
	return c.started
}
