package engine

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
)

// The causes for which a request ends before its answer is complete.
const (
	errCancelled = cause("request is cancelled")
	errEnded     = cause("engine ended the request")
	errRefused   = cause("request is refused")
)

// cause is an error with a constant text.
type cause string

// Error implements error.
func (c cause) Error() string { return string(c) }

// job is one chat request in the engine.
type job struct {
	id       string
	priority int
	ctx      context.Context
	end      context.CancelCauseFunc
	// turn is closed when the job leaves the queue.
	turn chan struct{}
	// version and boot are those of the engine at the start of the job. A load
	// waits for all jobs, so they hold to its end.
	version, boot string
	// settled is set when the job has left the engine.
	settled bool
}

// enqueue lets the job run or puts it behind those of its priority. The caller
// holds the engine's lock.
func (e *Engine) enqueue(j *job) {
	e.jobs = append(e.jobs, j)
	if e.Batch <= 0 || e.running < e.Batch {
		e.running++
		close(j.turn)
		return
	}
	i, _ := slices.BinarySearchFunc(e.queue, j.priority, func(x *job, p int) int {
		if x.priority >= p {
			return -1
		}
		return cmp.Compare(p, x.priority)
	})
	e.queue = slices.Insert(e.queue, i, j)
}

// dequeue removes a job and lets the next one run. The caller holds the
// engine's lock.
func (e *Engine) dequeue(j *job) {
	e.jobs = slices.DeleteFunc(e.jobs, func(x *job) bool { return x == j })
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		return
	}
	if len(e.queue) == 0 {
		e.running--
		return
	}
	close(e.queue[0].turn)
	e.queue = slices.Delete(e.queue, 0, 1)
}

// settle takes a job out of the engine and counts its end; nil means that the
// answer is complete. Later calls do nothing. The caller holds the engine's lock.
func (e *Engine) settle(j *job, err error) {
	if j.settled {
		return
	}
	j.settled = true
	j.end(err)
	e.dequeue(j)
	switch {
	case err == nil:
		e.stats.Served++
		e.warmth.done++
	case errors.Is(err, errRefused):
	case errors.Is(err, errEnded):
		e.stats.Failed++
	default:
		e.stats.Cancelled++
	}
	e.observe(e.Now())
	e.note()
}

// settleAll settles all jobs. The caller holds the engine's lock.
func (e *Engine) settleAll(err error) {
	for _, j := range slices.Clone(e.jobs) {
		e.settle(j, err)
	}
}

// finish settles a job. It is called before the last bytes of an answer are
// written: a client that has the whole answer may then order a load at once.
func (e *Engine) finish(j *job, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle(j, err)
}
