package guarder_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
)

var epochSeeds = flag.Int("epochs.seeds", 10, "number of seeds of TestRestoredIntentsSoak")

// soakAgent is an agent that can be cut off from the log.
type soakAgent struct {
	*process
	cut atomic.Bool
}

func startSoakAgent(f *fakeLog, net *network, index int, boot string) *soakAgent {
	a := new(soakAgent)
	refused := func() error {
		if a.cut.Load() {
			return logError(classifier.Unavailable, 0)
		}
		return nil
	}
	a.process = start(f, net, index, boot, func(g *guarder.Guard) {
		g.Log = &connector.Log{
			Append: func(ctx context.Context, stream string, bodies [][]byte) (uint64, error) {
				if err := refused(); err != nil {
					return 0, err
				}
				return f.Append(ctx, stream, bodies)
			},
			Read: func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (connector.Batch, error) {
				if err := refused(); err != nil {
					return connector.Batch{}, err
				}
				b, err := f.Read(ctx, stream, from, limit, wait)
				if err := refused(); err != nil {
					return connector.Batch{}, err
				}
				return b, err
			},
		}
	})
	return a
}

// Guards against a call that runs twice because its intent was lost: callers repeat calls for most
// of the key window at random agents, while agents start anew and are cut off from the log, and the
// log returns without the intents of the last seconds.
func TestRestoredIntentsSoak(t *testing.T) {
	for seed := range uint64(*epochSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 2))
				f, net := newFakeLog(), &network{}
				f.epoch = 1
				f.latency = time.Millisecond
				boots := 0
				boot := func(i int) *soakAgent {
					boots++
					return startSoakAgent(f, net, i, fmt.Sprintf("boot-%d", boots))
				}
				agents := []*soakAgent{boot(0), boot(1), boot(2)}
				var mu sync.Mutex
				runs, refused, returns := map[string]int{}, 0, 0
				var calls sync.WaitGroup
				call := func(a *soakAgent, key string, d time.Duration) {
					calls.Go(func() {
						_, err := a.Do(t.Context(), callOf(key, "x"), func(context.Context) (guarder.Answer, error) {
							mu.Lock()
							runs[key]++
							mu.Unlock()
							time.Sleep(d)
							return guarder.Answer{Status: 200}, nil
						})
						mu.Lock()
						defer mu.Unlock()
						if classifier.Of(err) == classifier.Unavailable && err != nil {
							refused++
						}
					})
				}
				type sent struct {
					key string
					at  time.Time
				}
				var keys []sent
				time.Sleep(3 * time.Second)
				for range 400 {
					switch n := r.IntN(20); {
					case n < 8:
						k := sent{fmt.Sprintf("k%d", len(keys)), time.Now()}
						keys = append(keys, k)
						call(agents[r.IntN(3)], k.key, time.Duration(r.IntN(3000))*time.Millisecond)
					case n < 14 && len(keys) > 0:
						k := keys[len(keys)-1-r.IntN(min(len(keys), 8))]
						if time.Since(k.at) < 55*time.Minute {
							call(agents[r.IntN(3)], k.key, time.Second)
						}
					case n < 16:
						i := r.IntN(3)
						agents[i].kill(net)
						agents[i] = boot(i)
					case n < 17:
						i := r.IntN(3)
						agents[i].cut.Store(!agents[i].cut.Load())
					case n < 18 && r.IntN(3) == 0:
						for range 1 + r.IntN(2) {
							returns++
							f.mu.Lock()
							copied, lost := time.Now().Add(-time.Duration(r.IntN(5000))*time.Millisecond), 0
							for lost < len(f.entries) && f.entries[len(f.entries)-1-lost].At.After(copied) {
								lost++
							}
							f.mu.Unlock()
							f.restore(lost)
							time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
						}
					case n < 19:
						time.Sleep(time.Duration(r.IntN(30)) * time.Minute)
					}
					time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
				}
				calls.Wait()
				for _, a := range agents {
					a.kill(net)
				}
				ran := 0
				for k, n := range runs {
					ran++
					if n > 1 {
						t.Errorf("call %s ran %d times", k, n)
					}
				}
				t.Logf("%d calls, %d ran, %d refused, %d returns, %d processes", len(keys), ran, refused, returns, boots)
				if ran == 0 {
					t.Error("no call ran")
				}
			})
		})
	}
}
