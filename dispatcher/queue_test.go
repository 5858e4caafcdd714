package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// newFullDispatcher returns a dispatcher with 88 full endpoints and n queued requests.
func newFullDispatcher(t testing.TB, n int) *dispatcher.Dispatcher {
	w := newHarness()
	for i := range 88 {
		w.run(fmt.Sprintf("endpoint e%d %c 1", i+1, 'a'+rune(i%3)))
	}
	r := dispatcher.Request{Service: "s", Match: resolver.Match{Route: &resolver.Route{Aim: 400 * time.Millisecond}}}
	for r.Deadline = w.now; ; {
		if _, err := w.d.Acquire(context.Background(), r); err != nil {
			break
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r.Deadline = w.now.Add(time.Minute)
	for i := range n {
		q := r
		q.Prompt = i
		go func() { _, _ = w.d.Acquire(ctx, q) }()
	}
	for w.d.Status()[0].Queued < n {
		time.Sleep(time.Millisecond)
	}
	return w.d
}

// The cost of an update must not grow in proportion to the queue when all endpoints
// are full: 88 endpoints report 440 times a second, and at 5 ms each a gateway did
// nothing else.
func TestQueueTakesProcessor(t *testing.T) {
	const updates, most = 200, 5
	few, many := newFullDispatcher(t, 20), newFullDispatcher(t, 500)
	var ofFew, ofMany []time.Duration
	for range updates {
		// In turn, so that other load on the machine takes as much of both.
		ofFew, ofMany = append(ofFew, updateTime(few)), append(ofMany, updateTime(many))
	}
	slices.Sort(ofFew)
	slices.Sort(ofMany)
	if a, b := ofFew[updates/2], ofMany[updates/2]; b > most*a {
		t.Errorf("an update takes %s with 500 requests waiting and %s with 20", b, a)
	}
}

func updateTime(d *dispatcher.Dispatcher) time.Duration {
	began := time.Now()
	d.Update()
	return time.Since(began)
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{0, 50, 200, 500} {
		b.Run(fmt.Sprintf("waiting-%d", n), func(b *testing.B) {
			d := newFullDispatcher(b, n)
			for b.Loop() {
				d.Update()
			}
		})
	}
}
