package admitter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/admitter"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// script runs the lines of a test file against one admitter on a fake clock.
type script struct {
	admitter admitter.Admitter
	accounts map[string]*recorder.ClientAccount
	tickets  sync.Map
	cancel   map[string]context.CancelFunc
	events   chan string
}

// TestScripts checks the order of admission and the refusals: an account above
// its share must not delay others, and no request may wait if it cannot be
// served in time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{
				accounts: map[string]*recorder.ClientAccount{}, cancel: map[string]context.CancelFunc{},
				events: make(chan string, 100),
			}
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				var out strings.Builder
				for line := range strings.Lines(d.Input) {
					s.run(t, strings.Fields(line))
					synctest.Wait()
					// Goroutines woken in the same instant report in any order.
					var events []string
					for len(s.events) > 0 {
						events = append(events, <-s.events)
					}
					slices.Sort(events)
					for _, e := range events {
						fmt.Fprintln(&out, e)
					}
				}
				return out.String()
			})
			for _, c := range s.cancel {
				c()
			}
		})
	})
}

// run executes one line: a command with key=value arguments.
func (s *script) run(t *testing.T, f []string) {
	arg := map[string]string{}
	for _, p := range f[1:] {
		k, v, _ := strings.Cut(p, "=")
		arg[k] = v
	}
	num := func(k string) (n float64) {
		_, _ = fmt.Sscan(arg[k], &n)
		return n
	}
	duration := func(k string) time.Duration {
		v, err := time.ParseDuration(arg[k])
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	switch f[0] {
	case "account":
		s.accounts[arg["name"]] = &recorder.ClientAccount{
			Name: recorder.Name(arg["name"]), RequestsPerSecond: num("rate"), Burst: int(num("burst")),
			Concurrency: int(num("concurrency")), Weight: int(num("weight")),
		}
	case "max-wait":
		s.admitter.MaxWait = duration("for")
	case "bound":
		s.admitter.MaxQueued = int(num("n"))
	case "capacity":
		s.admitter.SetCapacity(int(num("n")))
	case "share":
		s.admitter.SetShare(num("f"), nil)
	case "advance":
		time.Sleep(duration("by"))
	case "admit":
		r := admitter.Request{Account: s.accounts[arg["by"]]}
		if arg["within"] != "" {
			r.Deadline = time.Now().Add(duration("within"))
		}
		var ctx context.Context
		ctx, s.cancel[arg["as"]] = context.WithCancel(t.Context())
		go s.admit(ctx, arg["as"], r)
	case "cancel":
		s.cancel[arg["as"]]()
	case "done":
		k, _ := s.tickets.Load(arg["as"])
		k.(*admitter.Ticket).Done()
	case "status":
		s.events <- fmt.Sprintf("%+v", s.admitter.Status())
	default:
		t.Fatalf("unknown command %q", f[0])
	}
}

func (s *script) admit(ctx context.Context, id string, r admitter.Request) {
	k, err := s.admitter.Admit(ctx, r)
	if err != nil {
		var e *admitter.Error
		errors.As(err, &e)
		s.events <- fmt.Sprintf("%s refused: %s %s, retry after %v", id, e.Kind, e.Reason, e.RetryAfter.Round(time.Millisecond))
		return
	}
	s.tickets.Store(id, k)
	s.events <- id + " admitted"
}

// A queue that serves by arrival instead of by weight lets one account displace
// the others.
func TestQueueServesByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		a := admitter.Admitter{MaxQueued: 2000, MaxWait: time.Hour}
		weights := []int{1, 2, 5}
		served := make([]atomic.Int64, len(weights))
		a.SetCapacity(4)
		ctx, cancel := context.WithCancel(t.Context())
		var accounts []*recorder.ClientAccount
		for i, w := range weights {
			c := &recorder.ClientAccount{Name: recorder.Name(fmt.Sprint("a", i)), RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6, Weight: w}
			// The use of capacity that was free before must not count against the
			// account.
			for range 500 * i {
				k, err := a.Admit(ctx, admitter.Request{Account: c})
				if err != nil {
					t.Fatal(err)
				}
				k.Done()
			}
			accounts = append(accounts, c)
		}
		for i, c := range accounts {
			for range 400 {
				hold := time.Duration(50+rng.IntN(100)) * time.Millisecond
				go func() {
					k, err := a.Admit(ctx, admitter.Request{Account: c})
					if err != nil {
						return
					}
					time.Sleep(hold)
					served[i].Add(1)
					k.Done()
				}()
			}
		}
		time.Sleep(10 * time.Second)
		cancel()
		time.Sleep(time.Second)
		sum := served[0].Load() + served[1].Load() + served[2].Load()
		for i, w := range weights {
			want, got := float64(sum)*float64(w)/8, float64(served[i].Load())
			if got < want-4 || got > want+4 {
				t.Errorf("account %d with weight %d: %v of %d served, should be %.0f", i, w, got, sum, want)
			}
		}
	})
}

var _ = Describe("Admitter", func() {
	// More requests in flight than the capacity overload the endpoints. Free
	// capacity while requests wait is lost, unless it is in the last fifth and
	// the requests are of accounts that use their shares. A request without an
	// answer blocks its caller.
	It("keeps its bounds and leaves no capacity unused while requests wait", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1_800_000_000, 0)
			a := admitter.Admitter{MaxQueued: 8, MaxWait: time.Minute, Now: func() time.Time { return now }}
			capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
			a.SetCapacity(capacity)
			var tickets []*admitter.Ticket
			asked, answered := 0, 0
			var held, waiting [3]int
			owner := map[*admitter.Ticket]int{}
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0, 1:
					i := rapid.IntRange(0, 2).Draw(t, "account")
					asked++
					waiting[i]++
					a.Submit(admitter.Request{
						Account:  &recorder.ClientAccount{Name: recorder.Name(fmt.Sprint("a", i)), RequestsPerSecond: 100, Burst: 100, Concurrency: 100, Weight: i + 1},
						Deadline: now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
					}, func(k *admitter.Ticket, err *admitter.Error) {
						answered++
						waiting[i]--
						if (k == nil) == (err == nil) {
							t.Fatal("neither admitted nor refused")
						}
						if k != nil {
							tickets = append(tickets, k)
							owner[k] = i
							held[i]++
						}
					})
				case 2:
					if len(tickets) > 0 {
						k := tickets[0]
						tickets = tickets[1:]
						held[owner[k]]--
						k.Done()
					}
				default:
					now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
					a.Sweep()
				}
				s := a.Status()
				if s.InFlight != len(tickets) || s.InFlight > capacity || s.Queued > 8 || asked != answered+s.Queued {
					t.Fatalf("%+v with %d tickets, %d of %d answered", s, len(tickets), answered, asked)
				}
				active := 0
				for i := range held {
					if held[i]+waiting[i] > 0 {
						active += i + 1
					}
				}
				for i := range held {
					share := (s.Capacity*(i+1) + active - 1) / max(active, 1)
					if waiting[i] > 0 && s.InFlight < s.Capacity && (5*s.InFlight < 4*s.Capacity || held[i] < share) {
						t.Fatalf("%+v: requests of account %d wait although there is capacity; held %v, waiting %v", s, i, held, waiting)
					}
				}
			}
			now = now.Add(time.Hour)
			a.Sweep()
			if answered != asked {
				t.Fatalf("%d of %d answered", answered, asked)
			}
		})
	})

	// A lost wake-up or a ticket counted twice shows up only under concurrency.
	It("answers every caller under concurrency", func() {
		var a admitter.Admitter
		a.SetCapacity(4)
		var wg sync.WaitGroup
		for i := range 16 {
			c := &recorder.ClientAccount{Name: recorder.Name(fmt.Sprint("a", i%3)), RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 3, Weight: 1}
			wg.Go(func() {
				for j := range 50 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+j%3)*time.Millisecond)
					if k, err := a.Admit(ctx, admitter.Request{Account: c, Deadline: time.Now().Add(time.Second)}); err == nil {
						a.SetCapacity(3 + j%3)
						k.Done()
					}
					cancel()
				}
			})
		}
		wg.Wait()
		Expect(a.Status().InFlight).To(BeZero())
		Expect(a.Status().Queued).To(BeZero())
	})
})

func BenchmarkAdmit(b *testing.B) {
	var a admitter.Admitter
	a.SetCapacity(1000)
	r := admitter.Request{Account: &recorder.ClientAccount{Name: "a", RequestsPerSecond: 1e9, Burst: 1e6, Concurrency: 1000, Weight: 1}}
	r.Deadline = time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		t, err := a.Admit(b.Context(), r)
		if err != nil {
			b.Fatal(err)
		}
		t.Done()
	}
}
