package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// The cost of a choice among many engines must not grow with the number of ranks: each of them
// takes an exponential, and the choice runs under the lock.
func BenchmarkAcquireRanked(b *testing.B) {
	for _, n := range []int{1, 3, 20} {
		b.Run(fmt.Sprintf("ranks-%d", n), func(b *testing.B) {
			ranks := make([]int, n)
			for i := range ranks {
				ranks[i] = i
			}
			w, routes := newRankedHarness(12, ranks...)
			w.run("gateways 600")
			for i := range 3000 {
				w.run(fmt.Sprintf("endpoint e%d %c 1", i+1, 'a'+rune(i%3)))
			}
			w.d.Update()
			acquire := func(route *resolver.Route) {
				r := dispatcher.Request{Service: "s", Deadline: w.now.Add(10 * time.Second), Prompt: 100, Match: resolver.Match{Route: route}}
				if l, _, _ := w.d.Begin(r); l != nil {
					l.Done(dispatcher.Served)
				}
			}
			for _, r := range routes {
				acquire(r)
			}
			last := routes[len(routes)-1]
			for b.Loop() {
				acquire(last)
				w.now = w.now.Add(time.Microsecond)
			}
		})
	}
}
