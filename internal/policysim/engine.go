package policysim

import (
	"math"
	"slices"
	"time"
)

// Model of an engine. It shares its speed equally among its requests and serves
// up to knee of them at full speed. A cold engine is slow, and crashes when it
// has more than coldMax requests.
const (
	knee     = 32
	coldKnee = 4
	coldMax  = 8
	coldRate = 0.25
	// warmAfter is the number of requests that warm an engine.
	warmAfter = 12
	// restart is the time for which a crashed engine is down.
	restart = 5 * time.Second
	// hit and miss are the seconds of work before the first token with and
	// without the prefix in the cache.
	hit, miss = 0.05, 0.4
	// decode is the mean of the seconds of work after the first token.
	decode = 1.5
)

type engine struct {
	clock *clock
	// speed is the part of the full speed; failing engines fail every request.
	speed                 float64
	failing, cold, down   bool
	served, peak, crashes int
	// sturdy engines do not crash; excess counts what started on a cold engine
	// above coldMax.
	sturdy                   bool
	excess                   int
	crashed                  func()
	cacheSize, hits, lookups int
	// cache holds prefixes, the newest last.
	cache []uint64
	jobs  []*job
	// done is the work in seconds that a job running from the start would have got.
	done float64
	last time.Duration
	// beat is the value of done at which all running jobs get their next token.
	beat float64
	// pause is the time until which a prompt keeps the engine from other work.
	pause time.Duration
	// blocking is the part of the work for a prompt that does so.
	blocking float64
	plan     int
}

// job is one request at an engine; first and end are values of engine.done.
type job struct {
	first, end float64
	started    bool
	onFirst    func()
	onToken    func()
	onEnd      func(failed bool)
}

func (e *engine) rate() float64 {
	n := float64(len(e.jobs))
	if e.cold {
		return e.speed * coldRate * min(1, coldKnee/n)
	}
	return e.speed * min(1, knee/n)
}

// advance brings the work done up to the present.
func (e *engine) advance() {
	if len(e.jobs) > 0 {
		e.done += max(e.clock.now-max(e.last, e.pause), 0).Seconds() * e.rate()
	}
	e.last = e.clock.now
}

// start begins a job with the given work after its first token. The work for the
// prompt is that of a usual one times the length.
func (e *engine) start(prefix uint64, length, work float64, onFirst, onToken func(), onEnd func(bool)) *job {
	j := &job{onFirst: onFirst, onToken: onToken, onEnd: onEnd}
	if e.down || e.failing {
		e.clock.after(10*time.Millisecond, func() { onEnd(true) })
		return j
	}
	e.advance()
	prompt := e.prefill(prefix) * length
	if e.blocking > 0 {
		e.pause = max(e.pause, e.clock.now) + time.Duration(e.blocking*prompt*1e9)
	}
	j.first = e.done + prompt*(1-e.blocking)
	j.end = j.first + work
	e.jobs = append(e.jobs, j)
	e.peak = max(e.peak, len(e.jobs))
	if e.cold && len(e.jobs) > coldMax {
		e.excess++
		if !e.sturdy {
			e.crash()
			return j
		}
	}
	e.schedule()
	return j
}

func (e *engine) prefill(prefix uint64) float64 {
	e.lookups++
	cost := miss
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		e.hits++
		cost = hit
	} else if len(e.cache) == e.cacheSize {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	e.cache = append(e.cache, prefix)
	return cost
}

// chill makes the engine cold without a restart.
func (e *engine) chill() {
	e.advance()
	e.cold, e.served, e.cache = true, 0, nil
	e.schedule()
}

func (e *engine) crash() {
	e.crashes++
	e.down, e.plan = true, e.plan+1
	for _, j := range e.jobs {
		e.clock.after(0, func() { j.onEnd(true) })
	}
	e.jobs, e.cold, e.served, e.cache = nil, true, 0, nil
	e.crashed()
}

// cancel ends a job without a result.
func (e *engine) cancel(j *job) {
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.advance()
		e.jobs = slices.Delete(e.jobs, i, i+1)
		e.schedule()
	}
}

// schedule plans the next first token or end.
func (e *engine) schedule() {
	e.plan++
	if len(e.jobs) == 0 {
		return
	}
	next := math.Inf(1)
	for _, j := range e.jobs {
		if j.started {
			next = min(next, j.end, e.beat)
		} else {
			next = min(next, j.first)
		}
	}
	plan, wait := e.plan, max(e.pause-e.clock.now, 0)+time.Duration((next-e.done)/e.rate()*1e9)+1
	e.clock.after(wait, func() {
		if plan == e.plan {
			e.step()
		}
	})
}

// step reports the first tokens and ends that are due.
func (e *engine) step() {
	e.advance()
	beat := e.beat <= e.done
	if beat {
		e.beat = max(e.beat, e.done) + tokenTime
	}
	var ended []*job
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool {
		if !j.started && j.first <= e.done {
			j.started = true
			j.onFirst()
			j.onToken()
		} else if j.started && beat {
			j.onToken()
		}
		if j.started && j.end <= e.done {
			ended = append(ended, j)
			return true
		}
		return false
	})
	e.served += len(ended)
	e.cold = e.cold && e.served < warmAfter
	e.schedule()
	for _, j := range ended {
		j.onEnd(false)
	}
}
