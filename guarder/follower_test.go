package guarder_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
)

// Guards against a separate read of the log for each append of other agents,
// which takes more CPU than the control plane may use, and against calls that
// are delayed by the pause between reads.
func TestReadsGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, net := newFakeLog(), &network{}
		var reads atomic.Int64
		writer := start(f, net, 0, "w1", nil)
		defer writer.kill(net)
		reader := start(f, net, 1, "r1", func(g *guarder.Guard) {
			g.Log = &connector.Log{Append: f.Append, Read: func(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (connector.Batch, error) {
				reads.Add(1)
				return f.Read(ctx, s, from, limit, wait)
			}}
		})
		defer reader.kill(net)
		run := func(context.Context) (guarder.Answer, error) { return guarder.Answer{Status: 200}, nil }
		call := func(p *process, key string) time.Duration {
			began := time.Now()
			if _, err := p.Do(t.Context(), callOf(key, "x"), run); err != nil {
				t.Fatal(err)
			}
			return time.Since(began)
		}
		time.Sleep(time.Second)
		before := reads.Load()
		for n := range 200 {
			call(writer, "key"+strconv.Itoa(n))
			time.Sleep(10 * time.Millisecond)
		}
		if n := reads.Load() - before; n > 45 {
			t.Errorf("%d reads for 200 appends of another agent in 2 s, more than one per 50 ms", n)
		}
		for n := range 20 {
			call(writer, "other"+strconv.Itoa(n))
			time.Sleep(7 * time.Millisecond)
			if d := call(reader, "own"+strconv.Itoa(n)); d > 0 {
				t.Errorf("call %d took %v with a log without latency", n, d)
			}
		}
	})
}
