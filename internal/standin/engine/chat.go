package engine

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
)

const (
	// maxChat bounds the body of a chat request in bytes.
	maxChat = 4 << 20
	// maxID bounds X-Request-Id in bytes.
	maxID = 128
	// cachedShare is the share of the first-token time that a cached prefix leaves.
	cachedShare = 0.25
)

// refusal is an answer to a request that the engine does not work on.
type refusal struct {
	status int
	text   string
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChat))
	if err != nil {
		standin.ReplyError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !e.gate.Pass(w, r, outage) {
		return
	}
	j, no := e.admit(r)
	if no != nil {
		standin.ReplyError(w, no.status, no.text)
		return
	}
	a, from, no := e.plan(r, body, j)
	if no != nil {
		e.finish(j, errRefused)
		standin.ReplyError(w, no.status, no.text)
		return
	}
	err = e.work(w, j, a, from)
	e.finish(j, err)
	if err != nil {
		standin.Abort()
	}
}

// admit takes in a request or refuses it.
func (e *Engine) admit(r *http.Request) (*job, *refusal) {
	id := r.Header.Get("X-Request-Id")
	if len(id) > maxID {
		return nil, &refusal{http.StatusBadRequest, "header X-Request-Id is too long"}
	}
	if id == "" {
		id = e.NewID()
	}
	p, err := headerInt(r, "Eelgrass-Priority")
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, err.Error()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	switch {
	case e.state.Version == "":
		e.stats.Failed++
		return nil, &refusal{http.StatusServiceUnavailable, "no weights are loaded"}
	case now.Before(e.warmth.failing) || e.fail.Hit(&e.dice):
		e.stats.Failed++
		return nil, &refusal{http.StatusInternalServerError, "engine failed"}
	}
	j := &job{
		id: id, priority: p, turn: make(chan struct{}),
		version: string(e.state.Version), boot: e.state.BootID,
	}
	j.ctx, j.end = context.WithCancelCause(r.Context())
	e.enqueue(j)
	e.measure(now)
	e.note()
	return j, nil
}

// measure updates the figures of the load after an arrival. The caller holds
// the lock.
func (e *Engine) measure(now time.Time) {
	n, limit := len(e.jobs), e.Capacity.limit(e.warmth, now)
	e.stats.MaxInFlight = max(e.stats.MaxInFlight, n)
	if limit == math.MaxInt {
		return
	}
	e.stats.MaxLoad = max(e.stats.MaxLoad, float64(n)/float64(limit))
	if n > limit {
		e.stats.Overloaded++
		e.stats.MaxExcess = max(e.stats.MaxExcess, n-limit)
	}
	e.observe(now)
}

// observe takes in the number of requests. An engine that stays above its
// capacity begins to fail and ends all of them. The caller holds the lock.
func (e *Engine) observe(now time.Time) {
	calm := e.warmth.over.IsZero()
	if e.Capacity.observe(&e.warmth, now, len(e.jobs)) {
		e.Log.Warn().Int("in-flight", len(e.jobs)).Msg("failing")
		e.settleAll(errEnded)
		return
	}
	if calm && !e.warmth.over.IsZero() {
		time.AfterFunc(e.Capacity.failAfter(), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.observe(e.Now())
		})
	}
}

// plan computes the answer and the sequence at which it starts.
func (e *Engine) plan(r *http.Request, body []byte, j *job) (Answer, int, *refusal) {
	a, err := NewAnswer(body, j.version)
	if err != nil {
		return a, 0, &refusal{http.StatusBadRequest, err.Error()}
	}
	from, err := headerInt(r, "Eelgrass-Resume-From")
	if e.gate.Get().IgnoreResume {
		from, err = 0, nil
	}
	if err != nil || from > len(a.Tokens) {
		return a, 0, &refusal{http.StatusBadRequest, "header Eelgrass-Resume-From is not a sequence of this answer"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if model := string(e.state.Model); model != "" && model != a.Model {
		return a, 0, &refusal{http.StatusNotFound, "model " + a.Model + " is not loaded"}
	}
	if from > 0 {
		e.stats.Resumed++
	}
	return a, from, nil
}

// work waits for its turn and sends the answer.
func (e *Engine) work(w http.ResponseWriter, j *job, a Answer, from int) error {
	select {
	case <-j.turn:
	case <-j.ctx.Done():
		return context.Cause(j.ctx)
	}
	first := float64(e.FirstToken)
	if e.hitCache(a.Prefix) {
		first *= cachedShare
	}
	if err := e.pace(j, time.Duration(first)); err != nil {
		return err
	}
	h := w.Header()
	h.Set("Eelgrass-Version", j.version)
	h.Set("Eelgrass-Boot-Id", j.boot)
	h.Set("X-Request-Id", j.id)
	if a.Stream {
		return e.stream(w, j, a, from)
	}
	return e.whole(w, j, a)
}

func (e *Engine) stream(w http.ResponseWriter, j *job, a Answer, from int) error {
	w.Header().Set("Content-Type", "text/event-stream")
	if from > 0 {
		// The engine confirms that it resumes and does not start again.
		w.Header().Set("Eelgrass-Resume-From", strconv.Itoa(from))
	}
	w.Header().Set("Cache-Control", "no-cache")
	c := http.NewResponseController(w)
	events, end := script(a, j.id, from, e.pick())
	for i, b := range events {
		if i > 0 {
			if err := e.pace(j, e.TokenInterval); err != nil {
				return err
			}
		}
		if i == len(events)-1 && end == "" {
			e.finish(j, nil)
		}
		if _, err := w.Write(b); err != nil {
			return errors.Mark(err, errCancelled)
		}
		if err := c.Flush(); err != nil {
			return errors.Mark(err, errCancelled)
		}
	}
	return conclude(j, end)
}

func (e *Engine) whole(w http.ResponseWriter, j *job, a Answer) error {
	for range a.Tokens[1:] {
		if err := e.pace(j, e.TokenInterval); err != nil {
			return err
		}
	}
	b := a.Whole(j.id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if f := e.pick(); f != nil && (f.Kind == Cut || f.Kind == Stall) {
		if _, err := w.Write(b[:len(b)/2]); err != nil {
			return errors.Mark(err, errCancelled)
		}
		_ = http.NewResponseController(w).Flush()
		return conclude(j, f.Kind)
	}
	e.finish(j, nil)
	if _, err := w.Write(b); err != nil {
		return errors.Mark(err, errCancelled)
	}
	return nil
}

// conclude ends an answer after its last event.
func conclude(j *job, end StreamKind) error {
	switch end {
	case Cut:
		return errEnded
	case Stall:
		<-j.ctx.Done()
		return context.Cause(j.ctx)
	}
	return nil
}

// pace waits for a token, longer under overload.
func (e *Engine) pace(j *job, d time.Duration) error {
	f := e.gate.Get().Slow
	if f == 0 {
		f = 1
	}
	e.mu.Lock()
	now := e.Now()
	f *= e.Capacity.slowness(e.warmth, now, len(e.jobs))
	e.mu.Unlock()
	if !standin.Sleep(j.ctx, time.Duration(float64(d)*f)) {
		return context.Cause(j.ctx)
	}
	return nil
}

// pick returns the fault of the next answer, or nil.
func (e *Engine) pick() *StreamFault {
	f := e.gate.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, p := range e.streams {
		if i < len(f.Streams) && p.Hit(&e.dice) {
			return &f.Streams[i]
		}
	}
	return nil
}

func (e *Engine) hitCache(prefix string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.CacheSize <= 0 || !e.cache.use(prefix, e.CacheSize) {
		return false
	}
	e.stats.PrefixHits++
	return true
}

// headerInt reads a header with a number of at least 0; a missing one is 0.
func headerInt(r *http.Request, name string) (int, error) {
	v := r.Header.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		return 0, errors.Newf("header %s: %q is not a number", name, v)
	}
	return n, nil
}
