package guarder_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/guarder"
)

// BenchmarkGroupCommit compares batches of intents with one append per intent,
// on a log that takes 300 appends a second with a latency of 1 ms. Three agents
// serve the callers; each caller sends its next call after the previous answer.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{3, 30, 300, 3000} {
		for _, batch := range []int{1, guarder.DefaultMaxBatch} {
			b.Run(fmt.Sprintf("callers=%d/batch=%d", callers, batch), func(b *testing.B) {
				benchCalls(b, callers, batch)
			})
		}
	}
}

func benchCalls(b *testing.B, callers, batch int) {
	f, net := newFakeLog(), &network{}
	f.latency, f.limit = time.Millisecond, rate.NewLimiter(300, 10)
	var agents []*process
	for i := range 3 {
		p := start(f, net, i, "boot"+strconv.Itoa(i), func(g *guarder.Guard) { g.MaxBatch = batch })
		defer p.kill(net)
		agents = append(agents, p)
	}
	for slices.ContainsFunc(agents, func(p *process) bool { return !p.Ready() }) {
		time.Sleep(time.Millisecond)
	}
	var next, failed atomic.Int64
	var mu sync.Mutex
	var took []time.Duration
	run := func(context.Context) (guarder.Answer, error) { return guarder.Answer{Status: 200}, nil }
	b.ResetTimer()
	began := time.Now()
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			for {
				n := next.Add(1)
				if n > int64(b.N) {
					return
				}
				t := time.Now()
				_, err := agents[n%3].Do(context.Background(), callOf("key"+strconv.FormatInt(n, 10), "x"), run)
				if err != nil {
					failed.Add(1)
					continue
				}
				mu.Lock()
				took = append(took, time.Since(t))
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	all := time.Since(began)
	if len(took) == 0 {
		b.Fatal("no call succeeded")
	}
	slices.Sort(took)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(took))/all.Seconds(), "calls/s")
	b.ReportMetric(float64(f.appends)/all.Seconds(), "appends/s")
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(failed.Load()), "failed")
}
