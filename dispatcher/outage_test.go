package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// outageFleet plays callers that come back once after a refusal, before gateways whose engines
// lose their weights for a while.
type outageFleet struct {
	*fleet
	started time.Time
	// outage and recovered are the times at which the engines lose the weights and the first
	// one has them again; the others follow at the interval step.
	outage, recovered, step time.Duration

	mu sync.Mutex
	// asked and refused count the callers, and those that were refused for good, by the second
	// of their first attempt.
	asked, refused map[int]int
	// load counts the requests at each engine.
	load map[int]int
}

// report returns the report of an engine.
func (f *outageFleet) report(i int) dispatcher.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := dispatcher.Report{Address: f.engines[i].address, Versions: map[string]int64{"m": 1}, Load: f.load[i]}
	if t := time.Since(f.started); t > f.outage && t < f.recovered+time.Duration(i)*f.step {
		r.Versions = map[string]int64{}
	}
	return r
}

// call plays one caller of a stream, which has less time left in its second attempt.
func (f *outageFleet) call(ctx context.Context, g int, prompt int) {
	const patience, deadline = 2 * time.Second, 6 * time.Second
	second := int(time.Since(f.started).Seconds())
	left := deadline
	for range 2 {
		now := time.Now()
		r := dispatcher.Request{
			Service: "s", Deadline: now.Add(left), FirstBy: now.Add(patience), Prompt: prompt,
			Match: resolver.Match{Route: &resolver.Route{}},
		}
		l, err := f.gateways[g].Acquire(ctx, r)
		if err == nil {
			f.serve(l, prompt)
			f.count(f.asked, second)
			return
		}
		var e *dispatcher.Error
		if !errors.As(err, &e) || ctx.Err() != nil {
			return
		}
		left -= time.Since(now)
		wait := min(e.RetryAfter, left/3)
		time.Sleep(wait)
		left -= wait
		g = (g + 1) % len(f.gateways)
	}
	f.count(f.asked, second)
	f.count(f.refused, second)
}

func (f *outageFleet) count(m map[int]int, second int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[second]++
}

// serve takes the prompt's time and a second at the engine of the lease.
func (f *outageFleet) serve(l *dispatcher.Lease, prompt int) {
	i := f.engineAt(l)
	f.count(f.load, i)
	time.Sleep(time.Duration(float64(prompt) / 20_400 * float64(time.Second)))
	l.PrefillDone()
	time.Sleep(time.Second)
	l.Done(dispatcher.Served)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load[i]--
}

func (f *outageFleet) engineAt(l *dispatcher.Lease) int {
	for i, e := range f.engines {
		if e.address == l.Endpoint.Address {
			return i
		}
	}
	return -1
}

// If all engines lose their weights for 2.7 s, in any two seconds at most one caller in five
// may be refused for good. Requests that were refused at once came back while there was
// no engine yet, or all together.
func TestOutageLoad(t *testing.T) {
	const (
		gateways, engines, slots = 4, 16, 16
		perSecond                = 0.85 * engines * slots / 1.05
		span                     = 9 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		f := &outageFleet{
			fleet: newFleet(gateways, engines, slots), started: time.Now(),
			outage: 2 * time.Second, recovered: 4700 * time.Millisecond, step: 60 * time.Millisecond,
			asked: make(map[int]int), refused: make(map[int]int), load: make(map[int]int),
		}
		for _, d := range f.gateways {
			d.Now, d.State.Now = nil, time.Now
		}
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() {
			for ctx.Err() == nil {
				for i := range f.engines {
					for _, d := range f.gateways {
						d.Report(f.report(i))
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
		r := rand.New(rand.NewPCG(3, 4))
		for time.Since(f.started) < span {
			g, prompt := r.IntN(gateways), 200+int(r.ExpFloat64()*750)
			all.Go(func() { f.call(ctx, g, prompt) })
			time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		}
		time.Sleep(8 * time.Second)
		cancel()
		all.Wait()
		for s := range int(span.Seconds()) {
			asked, refused := f.asked[s]+f.asked[s+1], f.refused[s]+f.refused[s+1]
			t.Logf("seconds %d and %d: %d asked, %d refused for good", s, s+1, asked, refused)
			if 5*refused > asked {
				t.Errorf("from second %d on %d of %d callers were refused for good", s, refused, asked)
			}
		}
	})
}
