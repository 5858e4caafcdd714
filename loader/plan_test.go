package loader

import (
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// fleetU is the plan at a time after version 2 was named, with version 3 named 3 s later, an
// outage of the origin from 2.5 to 8.5 s, and nothing of version 3 sent.
func fleetU(after time.Duration, missing int64) plan {
	const piece, pieces = 24576, 96
	named := time.Unix(1000, 0)
	return plan{
		now: named.Add(after), olderUntil: named.Add(8500 * time.Millisecond), supersededUntil: named.Add(11500 * time.Millisecond),
		missing: missing * piece, newerMissing: pieces * piece, origin: 7.3e6 / 8, link: 7.3e6 / 8, warm: 300 * time.Millisecond,
	}
}

// Guards against a superseded version of which few pieces are missing and that no engine ever
// serves, so that callers weren't served for 4 s, and against one that delays the newer version
// for longer than it is of use.
func TestPlanOfTwoVersions(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration
		missing int64
		want    bool
	}{
		{"few pieces, origin back", 8600 * time.Millisecond, 4, true},
		{"one piece, origin back", 8600 * time.Millisecond, 1, true},
		{"nothing missing", 8600 * time.Millisecond, 0, false},
		{"a quarter", 8600 * time.Millisecond, 24, true},
		{"half", 8600 * time.Millisecond, 48, false},
		{"all", 8600 * time.Millisecond, 96, false},
		{"soon due", 10400 * time.Millisecond, 1, false},
		{"just due", 11500 * time.Millisecond, 1, false},
		{"newer one in time", 4 * time.Second, 4, false},
	} {
		if got := fleetU(c.after, c.missing).completes(); got != c.want {
			t.Errorf("%s: completes %t, want %t", c.name, got, c.want)
		}
	}
}

// Guards against reads of the superseded version while most of the newer one is there already.
func TestPlanWhileNewerArrives(t *testing.T) {
	p := fleetU(8600*time.Millisecond, 4)
	p.newerMissing /= 8
	if p.completes() {
		t.Errorf("completes for %s of use with %s of delay", p.gain(), p.delay())
	}
}

// Guards against a decision on unknown rates.
func TestPlanWithoutRates(t *testing.T) {
	for _, f := range []func(*plan){func(p *plan) { p.origin = 0 }, func(p *plan) { p.link = 0 }} {
		p := fleetU(8600*time.Millisecond, 4)
		if f(&p); p.completes() {
			t.Error("completes though a rate isn't known")
		}
	}
}

// Guards against agents that decide differently as they learned of the origin's return at
// different times.
func TestPlanIsSteady(t *testing.T) {
	for late := range 20 {
		after := 8500*time.Millisecond + time.Duration(late)*50*time.Millisecond
		if !fleetU(after, 4).completes() {
			t.Errorf("%s after the naming: doesn't complete", after)
		}
	}
}

// The use of a version ends with the naming of the next one, not of the newest.
func TestUsedUntil(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(1000+s, 0) }
	named := []observer.NamedVersion{{Version: 2, Since: at(0)}, {Version: 3, Since: at(3)}, {Version: 4}}
	for version, want := range map[int64]time.Time{0: at(8), 1: at(8), 2: at(11), 3: {}} {
		if got, limited := usedUntil(named, version, 8*time.Second); !limited || !got.Equal(want) {
			t.Errorf("version %d: until %s, limited %t", version, got, limited)
		}
	}
	if _, limited := usedUntil(named, 4, 8*time.Second); limited {
		t.Error("the use of the target version is limited")
	}
}
