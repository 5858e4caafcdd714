package isolator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

// newsInterval is the interval at which a gateway calls News.
const newsInterval = 50 * time.Millisecond

// heldIsolator returns an isolator that holds a number of suspects with four endings each, all of
// the same processes or each of its own, a second after the last ending.
func heldIsolator(b *testing.B, held int, shared, stored bool, now *time.Time) *isolator.Isolator {
	b.Helper()
	i := &isolator.Isolator{Now: func() time.Time { return *now }, Hold: 24 * time.Hour}
	for p := range 4 {
		*now = now.Add(newsInterval)
		for s := range held {
			process := fmt.Sprint(p)
			if !shared {
				process = fmt.Sprint(s, "-", p)
			}
			i.Add(isolator.Ending{Suspect: suspect(fmt.Sprint("/", s)), Process: process, Began: 10 * time.Millisecond})
		}
	}
	*now = now.Add(time.Second)
	i.News()
	if stored {
		for _, h := range i.Holds() {
			i.Stored(h)
		}
	}
	if n := len(i.Holds()); n != held {
		b.Fatalf("%d suspects are held, want %d", n, held)
	}
	return i
}

// BenchmarkNews measures a call of News, which a gateway makes every 50 ms, with a number of held suspects that are in
// the store, that aren't yet, and where another gateway tells of one more ending before each call.
func BenchmarkNews(b *testing.B) {
	for _, held := range []int{1, 30, 200} {
		for _, processes := range []string{"shared", "own"} {
			for _, news := range []string{"none", "unstored", "ending"} {
				b.Run(fmt.Sprintf("held-%d/processes-%s/news-%s", held, processes, news), func(b *testing.B) {
					now := time.Unix(1000, 0)
					var i *isolator.Isolator
					for n := 0; b.Loop(); n++ {
						// The holds must not end.
						if n%1_000_000 == 0 {
							b.StopTimer()
							i = heldIsolator(b, held, processes == "shared", news == "none", &now)
							b.StartTimer()
						}
						now = now.Add(newsInterval)
						if news == "ending" {
							b.StopTimer()
							for s := range held {
								// A process of which only one of several suspects has the ending would release the others.
								if s == 0 || processes == "shared" {
									i.Learn(isolator.Ending{Suspect: suspect(fmt.Sprint("/", s)), Process: fmt.Sprint("more", n), Began: 10 * time.Millisecond})
								}
							}
							b.StartTimer()
						}
						i.News()
					}
					if n := len(i.Holds()); n != held {
						b.Errorf("%d suspects are held at the end, want %d", n, held)
					}
				})
			}
		}
	}
}
