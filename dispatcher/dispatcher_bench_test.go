package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// maxAllocs is the allowed number of allocations per decision: the lease.
const maxAllocs = 1

// decision returns a function that assigns a request to one of n endpoints and ends
// the lease.
func decision(t testing.TB, n int) func() {
	w := newHarness()
	for i := range n {
		w.run(fmt.Sprintf("endpoint e%d %c 1", i+1, 'a'+rune(i%3)))
	}
	r := dispatcher.Request{
		Service: "s", Deadline: w.now.Add(time.Second), Prompt: 100,
		Match: resolver.Match{Route: &resolver.Route{Aim: 400 * time.Millisecond}},
	}
	return func() {
		l, err := w.d.Acquire(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		l.Done(dispatcher.Served)
	}
}

// If a decision allocates for each endpoint, the garbage collector takes CPU time from
// requests.
func TestAllocations(t *testing.T) {
	for _, n := range []int{3, 300} {
		if got := testing.AllocsPerRun(1000, decision(t, n)); got > maxAllocs {
			t.Errorf("%g allocations for a decision among %d endpoints", got, n)
		}
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{24, 300, 3000} {
		b.Run(fmt.Sprintf("endpoints-%d", n), func(b *testing.B) {
			f := decision(b, n)
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
}
