package guarder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
)

// epochScenario runs one script of testdata/epochs in a synctest bubble.
type epochScenario struct {
	t     *testing.T
	log   *fakeLog
	net   *network
	procs map[string]*process

	mu   sync.Mutex
	runs map[string]int  // by key; guarded by mu
	out  strings.Builder // guarded by mu
}

// run counts a run of the call with the given key.
func (s *epochScenario) run(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

// printf adds to the output of the script. Calls of call-async add to it beside the script.
func (s *epochScenario) printf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.out, format, args...)
}

// start starts an agent. With cut, it can be cut off from the log; old makes it one of the previous
// version, which doesn't know the epoch stream; silent makes its reads of that stream fail.
func (s *epochScenario) start(name, how string) *atomic.Bool {
	var cut atomic.Bool
	cut.Store(how == "cut")
	s.procs[name] = start(s.log, s.net, int(name[0]-'a'), fmt.Sprintf("%s%d", name, len(s.procs)), func(g *guarder.Guard) {
		refused := func(stream string) bool {
			return cut.Load() || how != "" && how != "cut" && stream == connector.EpochStream
		}
		g.Log = &connector.Log{
			Append: func(ctx context.Context, stream string, bodies [][]byte) (uint64, error) {
				if refused(stream) {
					return 0, logError(classifier.Unavailable, 0)
				}
				return s.log.Append(ctx, stream, bodies)
			},
			Read: func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (connector.Batch, error) {
				if refused(stream) {
					return connector.Batch{}, logError(classifier.Unavailable, 0)
				}
				b, err := s.log.Read(ctx, stream, from, limit, wait)
				if cut.Load() {
					return connector.Batch{}, logError(classifier.Unavailable, 0)
				}
				return b, err
			},
		}
	})
	return &cut
}

func (s *epochScenario) call(name, key string) {
	r, err := s.procs[name].Do(s.t.Context(), callOf(key, "x"), func(context.Context) (guarder.Answer, error) {
		s.run(key)
		return guarder.Answer{Status: 200}, nil
	})
	s.mu.Lock()
	n := s.runs[key]
	s.mu.Unlock()
	var e *guarder.Error
	switch {
	case errors.As(err, &e) && e.Kind == classifier.Unavailable:
		s.printf("not run, retry after %v\n", e.RetryAfter.Round(time.Minute))
	case err != nil:
		s.printf("%v\n", classifier.Of(err))
	case r.First:
		s.printf("run %d\n", n)
	default:
		s.printf("answer of the first run\n")
	}
}

func (s *epochScenario) play(script string) {
	cuts := map[string]*atomic.Bool{}
	for line := range strings.Lines(script) {
		w := append(strings.Fields(line), "", "")
		switch w[0] {
		case "start":
			cuts[w[1]] = s.start(w[1], w[2])
		case "kill":
			s.procs[w[1]].kill(s.net)
			delete(s.procs, w[1])
		case "cut":
			cuts[w[1]].Store(true)
		case "connect":
			cuts[w[1]].Store(false)
		case "call":
			s.call(w[1], w[2])
		case "call-long":
			go func() {
				_, _ = s.procs[w[1]].Do(s.t.Context(), callOf(w[2], "x"), func(context.Context) (guarder.Answer, error) {
					s.run(w[2])
					time.Sleep(10 * time.Minute)
					return guarder.Answer{Status: 200}, nil
				})
			}()
			synctest.Wait()
		case "call-async":
			go s.call(w[1], w[2])
			synctest.Wait()
		case "reads":
			s.log.mu.Lock()
			s.log.readsFail = w[1] == "fail"
			s.log.mu.Unlock()
		case "restore":
			var n int
			_, _ = fmt.Sscan(w[1], &n)
			s.log.restore(n)
		case "epoch":
			s.log.mu.Lock()
			_, _ = fmt.Sscan(w[1], &s.log.epoch)
			s.log.mu.Unlock()
		case "forget":
			s.log.mu.Lock()
			s.log.epochsGone, s.log.epochs = s.log.epochsGone+len(s.log.epochs), nil
			s.log.mu.Unlock()
		case "wait", "wait-retained":
			d, err := time.ParseDuration(w[1])
			if err != nil {
				s.t.Fatal(err)
			}
			for d > 0 {
				n := min(d, 10*time.Minute)
				time.Sleep(n)
				d -= n
				synctest.Wait()
				if w[0] == "wait-retained" {
					s.log.dropEpochs(time.Hour)
				}
			}
		case "pause":
			p := s.procs[w[1]].Pause()
			s.printf("epoch %d, %v left, %d refused\n", p.Epoch, p.Left.Round(time.Minute), p.Refused)
		case "records":
			s.log.mu.Lock()
			s.printf("%d epoch records\n", s.log.epochsGone+len(s.log.epochs))
			s.log.mu.Unlock()
		default:
			s.t.Fatalf("unknown command %q", line)
		}
	}
}

// Guards against a second run of a call whose acknowledged intent was lost, at an agent that starts
// after the log returned from an older copy, and against starts that wait although the log's records
// show that it didn't return within a window.
func TestStartAfterRestore(t *testing.T) {
	datadriven.Walk(t, "testdata/epochs", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out string
			synctest.Test(t, func(t *testing.T) {
				f := newFakeLog()
				f.epoch = 1
				s := &epochScenario{t: t, log: f, net: &network{}, procs: map[string]*process{}, runs: map[string]int{}}
				s.play(d.Input)
				for _, p := range s.procs {
					p.kill(s.net)
				}
				s.mu.Lock()
				out = s.out.String()
				s.mu.Unlock()
			})
			return out
		})
	})
}

// FuzzEpochRecords guards against records of the epoch stream that stop an agent or end its pause
// although they don't name the epoch of the log.
func FuzzEpochRecords(f *testing.F) {
	f.Add([]byte(`{"format":1,"epoch":1,"since":"2000-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"format":2,"epoch":2}`))
	f.Add([]byte(`{"format":1,"epoch":2,"since":"9999-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var v struct{ Epoch uint64 }
		if json.Unmarshal(b, &v) == nil && v.Epoch == 7 {
			t.Skip("names the epoch")
		}
		synctest.Test(t, func(t *testing.T) {
			l, net := newFakeLog(), &network{}
			l.epoch = 7
			_, _ = l.Append(t.Context(), connector.EpochStream, [][]byte{b})
			p := start(l, net, 0, "a1", nil)
			defer p.kill(net)
			time.Sleep(30 * time.Minute)
			if p.Ready() {
				t.Errorf("ready half a window after the start with the record %q", b)
			}
		})
	})
}
