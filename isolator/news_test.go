package isolator_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

// News looks only at suspects that have changed, and counts what explains their endings for all at once. It must
// decide as if it compared all pairs of suspects at each call: a sound part would be held for longer otherwise, or a faulty
// one released. The load: two gateways with eight parts in requests that end processes, are served, held, stored,
// released and reported, with pauses of up to a minute and hours.
func TestNewsMissesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var all [2]*isolator.Isolator
		for n := range all {
			all[n] = &isolator.Isolator{Now: func() time.Time { return now }}
		}
		name := rapid.Custom(func(t *rapid.T) isolator.Suspect {
			return suspect(fmt.Sprint("/", rapid.IntRange(0, 7).Draw(t, "suspect")))
		})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n := rapid.IntRange(0, 1).Draw(t, "gateway")
			i, other := all[n], all[1-n]
			s := name.Draw(t, "s")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2, 3:
				process := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "process"))
				ago := time.Duration(rapid.IntRange(0, 300).Draw(t, "ago")) * time.Millisecond
				for _, s := range append(rapid.SliceOfN(name, 0, 4).Draw(t, "beside"), s) {
					i.Add(isolator.Ending{Suspect: s, Process: process, Began: ago + time.Millisecond, Ended: ago})
				}
			case 4:
				i.Served(now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "began"))*time.Millisecond), s)
			case 5:
				if h, ok := i.NextTrial(s.Digest); ok {
					i.LearnHold(h, true)
					other.LearnHold(h, rapid.Bool().Draw(t, "stored"))
				}
			case 6:
				for _, h := range i.Unstored(0) {
					i.Stored(h)
				}
			case 7:
				if rapid.Bool().Draw(t, "forget") {
					i.Forget(s.Digest)
				} else {
					i.Release(s.Digest)
				}
			default:
				now = now.Add(rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, 31 * time.Second, 25 * time.Hour}).Draw(t, "sleep"))
			}
			if l := i.Unexplained(); len(l) > 0 {
				t.Fatalf("the explanations of %v differ from those of all pairs", l)
			}
			if rapid.Bool().Draw(t, "news") {
				for _, m := range i.News() {
					for _, e := range m.Endings {
						other.Learn(e)
					}
					for _, h := range m.Holds {
						other.LearnHold(h, false)
					}
				}
				if l := i.Missed(); len(l) > 0 {
					t.Fatalf("News missed %v", l)
				}
			}
		}
	})
}

// heldBesideSound returns an isolator that holds two parts with the same five endings. Both were sound a moment ago, the
// second one ten seconds later.
func heldBesideSound(t *testing.T, now *time.Time) *isolator.Isolator {
	t.Helper()
	i := &isolator.Isolator{Now: func() time.Time { return *now }}
	i.Served(*now, suspect("/first"))
	*now = now.Add(10 * time.Second)
	i.Served(*now, suspect("/second"))
	for p := range isolator.DefaultMaxEndings + 2 {
		*now = now.Add(50 * time.Millisecond)
		for _, s := range suspects([]string{"/first", "/second"}) {
			i.Add(isolator.Ending{Suspect: s, Process: fmt.Sprint(p), Began: 10 * time.Millisecond})
		}
	}
	if n := len(i.Holds()); n != 2 {
		t.Fatalf("%d parts are held, want 2", n)
	}
	return i
}

// A part that was sound 30 s ago no longer counts as sound, and then explains the endings of one that still does. Nothing but
// time passes, so that a News that waits for endings alone would hold the sound part until its trial.
func TestNewsAfterSoundPart(t *testing.T) {
	now := time.Unix(1000, 0)
	i := heldBesideSound(t, &now)
	for ; now.Before(time.Unix(1030, 0)); now = now.Add(50 * time.Millisecond) {
		i.News()
		if n := len(i.Holds()); n != 2 {
			t.Fatalf("%s: %d parts are held, want 2", now.Sub(time.Unix(1000, 0)), n)
		}
	}
	i.News()
	if i.HeldFor(digest("/first")) == 0 || i.HeldFor(digest("/second")) > 0 {
		t.Errorf("after 30 s %+v are held, want the first part alone", i.Holds())
	}
}

// When more parts are known to be sound than are kept, any are forgotten. The load: 4,800 further parts are served within a
// second.
func TestNewsAfterForgottenSoundPart(t *testing.T) {
	for round := range 20 {
		now := time.Unix(1000, 0)
		i := heldBesideSound(t, &now)
		for n := range 96 {
			for m := range 50 {
				i.Served(now, suspect(fmt.Sprintf("/%d-%d-%d", round, n, m)))
			}
			now = now.Add(10 * time.Millisecond)
			i.News()
			if l := i.Missed(); len(l) > 0 {
				t.Fatalf("round %d, step %d: News missed %v", round, n, l)
			}
		}
	}
}
