package guarder_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
)

// action is one random step. Its kind is 0 for a call, 1 for a crash with a
// restart, 2 for a pause of a process, 3 for a wait, 4 for a fault of the log and
// 5 for delayed reads.
type action struct {
	kind, agent, key, body int
	runResult              string
	d, deadline            time.Duration
	fault                  fault
}

func drawActions(t *rapid.T, agents int) []action {
	ms := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		a := action{kind: rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4, 4, 5}).Draw(t, "kind")}
		a.agent = rapid.IntRange(0, agents-1).Draw(t, "agent")
		switch a.kind {
		case 0:
			a.key = rapid.IntRange(0, 1).Draw(t, "key")
			a.body = rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(t, "body")
			a.runResult = rapid.SampledFrom([]string{"", "", "", "", "broken", "refused"}).Draw(t, "how")
			a.d, a.deadline = ms(0, 2000, "run"), ms(1, 4000, "deadline")
		case 4:
			a.fault = fault(rapid.IntRange(int(ok), int(falseRefusal)).Draw(t, "fault"))
		default:
			a.d = ms(0, 3000, "time")
		}
		return a
	}), 1, 30).Draw(t, "actions")
}

// attempt is one invocation of Do and its outcome.
type attempt struct {
	id, key, body int
	began, ended  time.Time
	// outcome is one of answer, running, not-run, conflict, unknown.
	outcome string
	// answer is the id of the attempt whose run gave the answer.
	answer int
	first  bool
}

// cluster runs several agents on one log and records the effects of calls.
type cluster struct {
	mu        sync.Mutex
	log       *fakeLog
	net       *network
	instances []*instance
	calls     sync.WaitGroup
	attempts  []*attempt
	// effects holds the attempts that took effect, by key.
	effects   map[int][]*attempt
	crashed   bool
	runFailed bool
}

// instance is one agent instance and its current process.
type instance struct {
	*process
	index, boots int
	ctx          context.Context
	cancel       context.CancelFunc
	// pausedUntil is the end of a pause of the whole process, and laggingUntil that
	// of a pause of its reads; both are in nanoseconds since the Unix epoch.
	pausedUntil, laggingUntil atomic.Int64
}

// sleepUntil waits until each of the given times, in nanoseconds since the Unix
// epoch, has passed.
func sleepUntil(ends ...*atomic.Int64) {
	for _, e := range ends {
		time.Sleep(time.Until(time.Unix(0, e.Load())))
	}
}

func (w *cluster) boot(n *instance) {
	n.boots++
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.process = start(w.log, w.net, n.index, "boot"+strconv.Itoa(n.boots), func(g *guarder.Guard) {
		g.Log = &connector.Log{
			Append: func(ctx context.Context, s string, b [][]byte) (uint64, error) {
				sleepUntil(&n.pausedUntil)
				defer sleepUntil(&n.pausedUntil)
				return w.log.Append(ctx, s, b)
			},
			Read: func(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (connector.Batch, error) {
				sleepUntil(&n.pausedUntil, &n.laggingUntil)
				defer sleepUntil(&n.pausedUntil, &n.laggingUntil)
				return w.log.Read(ctx, s, from, limit, wait)
			},
		}
	})
	h := n.Handler()
	w.net.set(n.Address, http.HandlerFunc(func(r http.ResponseWriter, q *http.Request) {
		sleepUntil(&n.pausedUntil)
		h.ServeHTTP(r, q)
	}))
}

func (w *cluster) call(n *instance, a action) {
	p, alive := n.process, n.ctx
	ctx, cancel := context.WithTimeout(alive, a.deadline)
	defer cancel()
	w.mu.Lock()
	t := &attempt{id: len(w.attempts), key: a.key, body: a.body, began: time.Now()}
	w.attempts = append(w.attempts, t)
	w.mu.Unlock()
	r, err := p.Do(ctx, callOf("key"+strconv.Itoa(a.key), "body"+strconv.Itoa(a.body)), func(ctx context.Context) (guarder.Answer, error) {
		if a.runResult == "refused" || alive.Err() != nil {
			return guarder.Answer{}, logError(classifier.Unavailable, 0)
		}
		w.mu.Lock()
		w.effects[a.key] = append(w.effects[a.key], t)
		w.mu.Unlock()
		select {
		case <-time.After(a.d):
		case <-ctx.Done():
			w.setRunFailed()
			return guarder.Answer{}, logError(classifier.OutcomeUnknown, 0)
		}
		if a.runResult == "broken" {
			w.setRunFailed()
			return guarder.Answer{}, logError(classifier.OutcomeUnknown, 0)
		}
		return guarder.Answer{Status: 200, Body: []byte(strconv.Itoa(t.id))}, nil
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	t.ended = time.Now()
	switch kind := classifier.Of(err); {
	case alive.Err() != nil:
		t.outcome = "unknown" // the caller sees a broken connection
	case err == nil && r.Running:
		t.outcome = "running"
	case err == nil:
		t.outcome, t.first = "answer", r.First
		t.answer, _ = strconv.Atoi(string(r.Answer.Body))
	case kind == classifier.Unavailable:
		t.outcome = "not-run"
	case kind == classifier.Conflict:
		t.outcome = "conflict"
	default:
		t.outcome = "unknown"
	}
}

func (w *cluster) setRunFailed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runFailed = true
}

func (w *cluster) perform(a action) {
	n := w.instances[a.agent]
	switch a.kind {
	case 0:
		w.calls.Go(func() { w.call(n, a) })
		time.Sleep(time.Millisecond)
	case 1:
		w.crashed = true
		n.cancel()
		n.kill(w.net)
		time.Sleep(a.d / 10)
		w.boot(n)
	case 2:
		n.pausedUntil.Store(time.Now().Add(a.d).UnixNano())
	case 5:
		n.laggingUntil.Store(time.Now().Add(a.d).UnixNano())
	case 3:
		time.Sleep(a.d)
	case 4:
		w.log.mu.Lock()
		w.log.faults = append(w.log.faults, a.fault)
		w.log.mu.Unlock()
	}
}

// run performs the actions, clears the faults, and repeats every key at every
// agent.
func (w *cluster) run(agents int, actions []action) {
	w.log, w.net, w.effects = newFakeLog(), &network{}, map[int][]*attempt{}
	for i := range agents {
		w.instances = append(w.instances, &instance{index: i})
		w.boot(w.instances[i])
	}
	time.Sleep(time.Second)
	for _, a := range actions {
		w.perform(a)
	}
	w.calls.Wait()
	time.Sleep(10 * time.Second)
	w.log.mu.Lock()
	w.log.faults = nil
	w.log.mu.Unlock()
	for i := range agents {
		for key := range 2 {
			w.call(w.instances[i], action{key: key, deadline: time.Minute})
		}
	}
	for _, n := range w.instances {
		n.cancel()
		n.kill(w.net)
	}
	time.Sleep(time.Minute)
}

// check describes the first violated property, or returns "".
func (w *cluster) check(agents int) string {
	for key, e := range w.effects {
		if len(e) > 1 {
			return fmt.Sprintf("key %d took effect %d times: attempts %d and %d", key, len(e), e[0].id, e[1].id)
		}
	}
	for _, t := range w.attempts {
		e := w.effects[t.key]
		mine := len(e) == 1 && e[0] == t
		switch {
		case t.outcome == "not-run" && mine:
			return fmt.Sprintf("attempt %d was answered as not run and took effect", t.id)
		case t.outcome == "answer" && (len(e) != 1 || t.answer != e[0].id || t.first != mine):
			return fmt.Sprintf("attempt %d has the answer of %d, first %t", t.id, t.answer, t.first)
		case t.outcome == "answer" && t.body != e[0].body:
			return fmt.Sprintf("attempt %d has the answer to another request", t.id)
		}
	}
	for _, t := range w.attempts[len(w.attempts)-2*agents:] {
		if !w.crashed && !w.runFailed && t.outcome != "answer" && t.outcome != "conflict" {
			return fmt.Sprintf("attempt %d after the faults: %s", t.id, t.outcome)
		}
	}
	if !porcupine.CheckOperations(callModel(), w.history()) {
		return "the history of calls is not linearizable"
	}
	return ""
}

func (w *cluster) history() []porcupine.Operation {
	var ops []porcupine.Operation
	for _, t := range w.attempts {
		ops = append(ops, porcupine.Operation{ClientId: t.id, Input: t.key, Output: *t, Call: t.began.UnixNano(), Return: t.ended.UnixNano()})
	}
	return ops
}

// callModel is the sequential specification of one key: its state is the
// attempt that took effect, or -1. An attempt with an unknown outcome may or
// may not be that attempt.
func callModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, 2)
			for _, o := range ops {
				parts[o.Input.(int)] = append(parts[o.Input.(int)], o)
			}
			return parts
		},
		Init: func() []any { return []any{-1} },
		Step: func(state, _, output any) []any {
			s, t := state.(int), output.(attempt)
			switch {
			case t.outcome == "answer" && t.first && s == -1:
				return []any{t.id}
			case t.outcome == "answer" && t.first, t.outcome == "answer" && s != t.answer:
				return nil
			case t.outcome == "unknown" && s == -1:
				return []any{s, t.id}
			}
			return []any{s}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// Guards against a call that runs twice, or runs although its caller was told
// that it was not run, under any mix of crashes, pauses, repeated calls and log
// faults.
func TestAtMostOnce(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "1000")); err != nil {
			t.Fatal(err)
		}
	}
	seen := map[string]int{}
	rapid.Check(t, func(r *rapid.T) {
		agents := rapid.IntRange(2, 3).Draw(r, "agents")
		actions := drawActions(r, agents)
		var w cluster
		synctest.Test(t, func(*testing.T) { w.run(agents, actions) })
		for _, a := range w.attempts {
			seen[a.outcome]++
		}
		if why := w.check(agents); why != "" {
			r.Fatal(why)
		}
	})
	t.Logf("outcomes: %v", seen)
	for _, o := range []string{"answer", "running", "not-run", "conflict", "unknown"} {
		if seen[o] == 0 && !t.Failed() {
			t.Errorf("no attempt had the outcome %s, so the actions don't cover it", o)
		}
	}
}
