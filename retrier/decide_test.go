package retrier_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// Retrying a call that ran can spend money twice. Each input line is "outcome
// remaining tries [idempotent] [started]"; saved is the number of retries in
// the budget.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		var saved int
		d.ScanArgs(t, "saved", &saved)
		b := &retrier.Budget{Share: 1, Idle: -1}
		for range saved {
			b.Offer()
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			var a retrier.Attempt
			a.Outcome, _ = retrier.ParseOutcome(f[0])
			a.Remaining, _ = time.ParseDuration(f[1])
			_, _ = fmt.Sscan(f[2], &a.Tries)
			a.Idempotent, a.Started = slices.Contains(f, "idempotent"), slices.Contains(f, "started")
			r := retrier.Decide(b, a)
			fmt.Fprintln(&out, r.Retry, r.Reason)
		}
		return out.String()
	})
}

var _ = Describe("Budget", func() {
	// Retries above the share multiply the load of a failing endpoint.
	It("never exceeds the share of the offered requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.Float64Range(0.01, 1).Draw(t, "share")
			b := retrier.Budget{Share: share, Idle: -1}
			offered, spent := 0, 0
			for _, offer := range rapid.SliceOf(rapid.Bool()).Draw(t, "offers") {
				if offer {
					offered++
					b.Offer()
				} else if b.Spend() {
					spent++
				}
			}
			if float64(spent) > share*float64(offered) {
				t.Fatalf("%d retries of %d requests", spent, offered)
			}
		})
	})

	// A gateway with a few requests per minute must be able to retry one of
	// them, and an outage under load must not use the same allowance.
	It("allows idle retries only while there are few requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1_000_000, 0)
			b := retrier.Budget{Now: func() time.Time { return now }}
			windows := rapid.IntRange(1, 5).Draw(t, "windows")
			rate := rapid.IntRange(0, 200).Draw(t, "requests in a window")
			offered, spent := 0, 0
			for range windows {
				for range rate {
					offered++
					b.Offer()
					for b.Spend() {
						spent++
					}
				}
				for b.Spend() {
					spent++
				}
				now = now.Add(10 * time.Second)
			}
			most := retrier.DefaultIdle
			if float64(rate)*retrier.DefaultShare < retrier.DefaultIdle {
				most *= windows
			}
			if float64(spent) > retrier.DefaultShare*float64(offered)+float64(most) {
				t.Fatalf("%d retries of %d requests", spent, offered)
			}
			if spent == 0 {
				t.Fatal("an idle gateway has no retry")
			}
		})
	})

	// A retry that is given back must be there again, but not as a second one, nor in a window
	// after the one that allowed it.
	It("has as many retries after a refund as before the decision", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1_000_000, 0)
			offered := rapid.IntRange(0, 60).Draw(t, "offered")
			refunds := rapid.IntRange(0, 9).Draw(t, "refunds")
			later := rapid.Bool().Draw(t, "the refunds come in the next window")
			count := func(refunds int) (n int) {
				at := now
				b := retrier.Budget{Burst: 4, Now: func() time.Time { return at }}
				for range offered {
					b.Offer()
				}
				var all []retrier.Decision
				for range refunds {
					all = append(all, retrier.Decide(&b, retrier.Attempt{Outcome: retrier.NotRun, Remaining: time.Second, Tries: 1}))
				}
				if later {
					at = at.Add(10 * time.Second)
				}
				for _, d := range all {
					b.Refund(d)
				}
				for b.Spend() {
					n++
				}
				return n
			}
			if got, want := count(refunds), count(0); got != want {
				t.Fatalf("%d retries after %d refunds, want %d", got, refunds, want)
			}
		})
	})

	// A budget that accumulates without a bound would allow a retry storm.
	It("saves no more than the burst", func() {
		b := retrier.Budget{Burst: 3}
		for range 1000 {
			b.Offer()
		}
		Expect(b.Saved()).To(BeNumerically("==", 3))
	})
})

func BenchmarkDecide(b *testing.B) {
	var g retrier.Budget
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			g.Offer()
			retrier.Decide(&g, retrier.Attempt{Outcome: retrier.NotRun, Remaining: time.Second, Tries: 1})
		}
	})
}
