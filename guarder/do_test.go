package guarder_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/logger"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// scenario runs one script of testdata/do in a synctest bubble.
type scenario struct {
	log   *fakeLog
	net   *network
	procs map[string]*process
	calls sync.WaitGroup
	mu    sync.Mutex
	out   []string
	runs  map[string]int
	ops   byte
}

func (b *scenario) printf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out = append(b.out, fmt.Sprintf(format, args...))
}

// run returns the function that a call runs; its answer holds the number of runs
// of the key.
func (b *scenario) run(key, how string) func(context.Context) (guarder.Answer, error) {
	return func(context.Context) (guarder.Answer, error) {
		if how == "refused" {
			return guarder.Answer{}, logError(classifier.Unavailable, 0)
		}
		b.mu.Lock()
		b.runs[key]++
		n := b.runs[key]
		b.mu.Unlock()
		if d, err := time.ParseDuration(how); err == nil {
			time.Sleep(d)
		}
		switch how {
		case "broken":
			return guarder.Answer{}, logError(classifier.OutcomeUnknown, 0)
		case "large":
			return guarder.Answer{Status: 200, Body: make([]byte, 1<<20)}, nil
		}
		return guarder.Answer{Status: 201, Body: []byte("run " + strconv.Itoa(n))}, nil
	}
}

func (b *scenario) call(agent string, args map[string]string) {
	timeout := 10 * time.Second
	if d, err := time.ParseDuration(args["deadline"]); err == nil {
		timeout = d
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p, began := b.procs[agent], time.Now()
	c := callOf(args["key"], args["body"])
	c.Account += recorder.Name(args["account"])
	r, err := p.Do(ctx, c, b.run(args["key"]+args["account"], args["run"]))
	if _, background := args["&"]; background {
		time.Sleep(time.Millisecond) // print after the log lines of the same instant
	}
	took := time.Since(began).Round(100 * time.Millisecond)
	var e *guarder.Error
	switch {
	case errors.As(err, &e):
		b.printf("%s %s after %v: %v, retry after %v: %v", agent, args["key"], took, e.Kind, e.RetryAfter, err)
	case err != nil:
		b.printf("%s %s after %v: error of the run, %v", agent, args["key"], took, classifier.Of(err))
	case r.Running:
		b.printf("%s %s after %v: running at %v", agent, args["key"], took, r.Winner.Port())
	default:
		b.printf("%s %s after %v: status %d %.10q first=%t winner %v", agent, args["key"], took, r.Answer.Status, r.Answer.Body, r.First, r.Winner.Port())
	}
}

func (b *scenario) step(line string) {
	words := strings.Fields(line)
	args := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		args[k] = v
	}
	_, background := args["&"]
	switch words[0] {
	case "start":
		lines, _ := logger.New(writerFunc(func(s string) {
			if i := strings.Index(s, `event="guard `); i >= 0 {
				event, _ := strconv.QuotedPrefix(s[i+len("event="):])
				b.printf("%s logs %s", words[1], event)
			}
		}), "info")
		b.procs[words[1]] = start(b.log, b.net, int(words[1][0]-'a'), args["boot"], func(g *guarder.Guard) {
			g.Logger = lines
			g.NewOperation = func() uuid.UUID {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.ops++
				return uuid.UUID{15: b.ops}
			}
			if d, err := time.ParseDuration(args["window"]); err == nil {
				g.Window = d
			}
			g.MaxKeys, _ = strconv.Atoi(args["max-keys"])
			g.MaxAnswers, _ = strconv.Atoi(args["max-answers"])
			g.MaxWaiting, _ = strconv.Atoi(args["max-waiting"])
			g.Retention, _ = time.ParseDuration(args["retention"])
		})
		time.Sleep(time.Millisecond)
		synctest.Wait()
	case "kill":
		b.procs[words[1]].kill(b.net)
	case "call":
		b.calls.Add(1)
		f := func() { defer b.calls.Done(); b.call(words[1], args) }
		if background {
			go f()
			synctest.Wait()
		} else {
			f()
		}
	case "wait":
		b.calls.Wait()
	case "sleep":
		d, _ := time.ParseDuration(words[1])
		time.Sleep(d)
		synctest.Wait()
	case "faults":
		names := []string{"ok", "lost-answer", "lost-request", "delayed", "down", "limited", "untrue"}
		for _, w := range words[1:] {
			b.log.faults = append(b.log.faults, fault(slices.Index(names, w)))
		}
	case "reads":
		b.log.mu.Lock()
		b.log.readsFail = words[1] == "fail"
		b.log.mu.Unlock()
	case "drop":
		n, _ := strconv.Atoi(words[1])
		b.log.drop(n)
	case "ready":
		b.printf("%s ready %t", words[1], b.procs[words[1]].Ready())
	case "put":
		b.log.mu.Lock()
		b.log.add([][]byte{[]byte(strings.Join(words[1:], " "))})
		b.log.mu.Unlock()
		synctest.Wait()
	default:
		b.printf("unknown step %q", line)
	}
}

type writerFunc func(string)

func (w writerFunc) Write(b []byte) (int, error) { w(string(b)); return len(b), nil }

var _ io.Writer = writerFunc(nil)

// Guards against wrong decisions, which run a call (such as a deposit) twice or
// report to a caller that it was not run although it was.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/do", func(t *testing.T, d *datadriven.TestData) string {
		b := &scenario{net: &network{}, procs: map[string]*process{}, runs: map[string]int{}}
		synctest.Test(t, func(*testing.T) {
			b.log = newFakeLog()
			for line := range strings.Lines(d.Input) {
				b.step(strings.TrimSpace(line))
			}
			b.calls.Wait()
			for _, p := range b.procs {
				p.kill(b.net)
			}
			time.Sleep(time.Minute)
		})
		for k, n := range b.runs {
			if n > 1 && d.Cmd != "window" {
				b.printf("FAULT: %s ran %d times", k, n)
			}
		}
		return strings.Join(b.out, "\n")
	})
}
