package guarder

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxNotRunOperations bounds the number of kept operations that never run.
const maxNotRunOperations = 1 << 14

// state is what this process knows about one of its operations.
type state uint8

const (
	// waiting: the intent is in the queue or may be in the log, undecided.
	waiting state = iota
	// won: the intent is the winner for its key; the call is about to run.
	won
	// lost: another intent won. The operation never runs.
	lost
	// refused: Do returned, or will return, without a run. The operation never runs.
	refused
	// started: the call is running.
	started
	// finished: the call ran and its answer is kept, or was too large to keep.
	finished
	// failed: the call ran without an answer.
	failed
)

// operation is one intent of this process. The guard's mutex protects it.
type operation struct {
	id           recorder.OperationID
	key, request recorder.Digest
	// replaces is the offset of the intent that this one replaces, or 0.
	replaces uint64
	created  time.Time
	state    state
	// mayBeInLog is set when an append of the intent is sent, and unset when the
	// log refuses the intent and no earlier response was lost.
	mayBeInLog bool
	// appendUnanswered is set if the response to an append of the intent was lost.
	// A later refusal then doesn't prove that the intent is not in the log.
	appendUnanswered bool
	// intentTime is the log's time of the winning intent.
	intentTime time.Time
	// err is the error that Do returns for a refused operation.
	err error
	// decided is closed when the state is no longer waiting.
	decided chan struct{}
	answer  *Answer
}

// decide ends the waiting state. It is called once for each operation.
func (g *Guard) decide(o *operation, s state, err error) {
	o.state, o.err = s, err
	delete(g.undecided, o.key)
	close(o.decided)
	if s == won {
		g.wonOperations = append(g.wonOperations, o)
		return
	}
	// During an outage of the log every call ends here, so the number is bounded.
	// Agents that ask about a dropped operation learn that its outcome is unknown.
	g.notRunOperations = append(g.notRunOperations, o)
	if len(g.notRunOperations) > maxNotRunOperations {
		delete(g.operations, g.notRunOperations[0].id)
		g.notRunOperations = g.notRunOperations[1:]
	}
}

// refuse permanently refuses an operation if it is undecided. Its call was not
// run, but Do may report that only if the intent cannot be in the log. Otherwise
// the outcome is unknown.
func (g *Guard) refuse(o *operation, cause error, after time.Duration) {
	if o.state != waiting {
		return
	}
	if after <= 0 {
		after = DefaultRetryAfter
	}
	e := &Error{Op: doOp, Kind: classifier.Unavailable, RetryAfter: after, Err: cause}
	if o.mayBeInLog {
		e.Kind = classifier.OutcomeUnknown
	}
	g.decide(o, refused, e)
}

// dropExpired drops operations that won, have ended and are older than twice the
// window.
func (g *Guard) dropExpired() {
	for len(g.wonOperations) > 0 {
		o := g.wonOperations[0]
		// The second window covers the difference between the clocks, and an append
		// that took effect late.
		if g.now().Sub(o.created) < 2*g.Window || o.state == won || o.state == started {
			return
		}
		g.answerCache.remove(o)
		delete(g.operations, o.id)
		g.wonOperations = g.wonOperations[1:]
	}
}
