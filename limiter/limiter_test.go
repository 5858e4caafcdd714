package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/limiter"
)

// TestScripts guards against a limit that grows too fast, which overloads a
// cold endpoint, and one that falls on every small change, which loses
// capacity. "run" keeps the endpoint full (or at the given load) for some
// requests, each of which ends with the given first-token time; "failing"
// percent of them fail. "tokens" gives each of the open streams some tokens at
// the given gap; "stuck" of the streams get none. "wait" lets time pass without
// a token and tries to acquire a request, and "end" ends the open streams.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var out strings.Builder
		var open []*limiter.Stream
		streams := 0
		now := time.Unix(1_800_000_000, 0)
		l := &limiter.Limiter{Cold: 2, Max: 64, Now: func() time.Time { return now }, Changed: func(n int, reason string) { fmt.Fprintln(&out, reason, n) }}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out.Reset()
			switch d.Cmd {
			case "run":
				count, load, failing := 0, 1000, 0
				d.ScanArgs(t, "count", &count)
				d.MaybeScanArgs(t, "load", &load)
				d.MaybeScanArgs(t, "failing", &failing)
				first, mixed := durationArg(t, d, "first"), durationArg(t, d, "mixed")
				for i := range count {
					for l.InFlight() < load && l.Acquire() {
						continue
					}
					v := first
					if mixed > 0 && i%2 == 0 {
						v = mixed
					}
					l.Release(limiter.Sample{FirstToken: v, Total: 10 * v, Failed: (i+1)*failing/100 > i*failing/100})
				}
				for l.InFlight() > 0 {
					l.Release(limiter.Sample{})
				}
			case "tokens":
				count, stuck := 0, 0
				d.ScanArgs(t, "count", &count)
				d.MaybeScanArgs(t, "streams", &streams)
				d.MaybeScanArgs(t, "stuck", &stuck)
				for len(open) < streams && l.Acquire() {
					open = append(open, &limiter.Stream{})
					l.Token(open[len(open)-1])
					l.Await(open[len(open)-1])
				}
				for range count {
					now = now.Add(durationArg(t, d, "gap"))
					for _, s := range open[stuck:] {
						l.Token(s)
						l.Await(s)
					}
				}
			case "wait":
				now = now.Add(durationArg(t, d, "for"))
				ok := l.Acquire()
				if ok {
					l.Release(limiter.Sample{})
				}
				fmt.Fprintln(&out, "acquired", ok)
			case "end":
				for _, s := range open {
					l.Release(limiter.Sample{Stream: s})
				}
				open = nil
			case "idle":
				now = now.Add(durationArg(t, d, "for"))
				l.Acquire()
				l.Release(limiter.Sample{})
			case "reset":
				l.Reset("boot-id")
			}
			fmt.Fprintln(&out, "limit", l.Limit())
			return out.String()
		})
	})
}

func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var s string
	if !d.MaybeScanArgs(t, key, &s) {
		return 0
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

var _ = Describe("Limiter", func() {
	// More requests at once than the limit overload a cold endpoint.
	It("never lets more in flight than its limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := &limiter.Limiter{Cold: rapid.IntRange(1, 4).Draw(t, "cold"), Max: rapid.IntRange(4, 40).Draw(t, "max")}
			n := 0
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0, 1:
					before := l.Limit()
					if ok := l.Acquire(); ok != (n < before) {
						t.Fatalf("acquired %v with %d of %d in flight", ok, n, before)
					} else if ok {
						n++
					}
				case 2, 3:
					if n > 0 {
						n--
						l.Release(limiter.Sample{
							FirstToken: time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond,
							Failed:     rapid.IntRange(0, 9).Draw(t, "fails") == 0,
						})
					}
				default:
					l.Reset("boot-id")
				}
				if got := l.Limit(); got < l.Cold || got > l.Max || l.InFlight() != n {
					t.Fatalf("limit %d, in flight %d; want %d to %d and %d", got, l.InFlight(), l.Cold, l.Max, n)
				}
			}
		})
	})
})

// The times of plain services vary widely without any load. Mistaking this
// variation for load would keep the limit low.
func TestLatencyNoiseKeepsLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l := &limiter.Limiter{Cold: 2, Max: 100}
	sum, low := 0, 100
	for i := range 50_000 {
		for l.Acquire() {
			continue
		}
		l.Release(limiter.Sample{Total: time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond))})
		if i >= 10_000 {
			sum += l.Limit()
			low = min(low, l.Limit())
		}
	}
	t.Logf("mean limit %d, lowest %d", sum/40_000, low)
	if sum/40_000 < 50 {
		t.Errorf("mean limit %d of 100, lowest %d", sum/40_000, low)
	}
}

func BenchmarkLimiter(b *testing.B) {
	var l limiter.Limiter
	b.ReportAllocs()
	for b.Loop() {
		if l.Acquire() {
			l.Release(limiter.Sample{FirstToken: time.Millisecond})
		}
	}
}
