package dispatcher

import (
	"math"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// newReserve returns the reserve of a gateway that shares 11 engines with four others, with a steady
// demand of ranks 0 to 2 for three seconds, and the time after it.
func newReserve(perSecond ...float64) (*reserve, time.Time) {
	now := time.Unix(1000, 0)
	v := &reserve{share: 0.1, ranks: []int{0, 1, 2}, slots: 132, engines: 11, sharers: 5}
	for rank, n := range perSecond {
		for i := range int(3 * n) {
			v.arrive(rank, 1200*time.Millisecond, 40*time.Millisecond, now.Add(time.Duration(float64(i)/n*float64(time.Second))))
		}
	}
	return v, now.Add(3 * time.Second)
}

// Where all requests have one rank, nothing may change for them.
func TestReserveOfOneRank(t *testing.T) {
	v, now := newReserve(9, 5, 7)
	for _, ranks := range [][]int{nil, {1}} {
		v.setRanks(ranks)
		if v.isActive() || v.kept(1, now) != 0 || v.extra(1) != 0 || v.prefillShare(1, now) != 1 || v.isOwed(1, now) || !v.mayTake(1, 0, now) {
			t.Errorf("ranks %v: the reserve has an effect", ranks)
		}
	}
}

// Slots that urgent requests need and don't have are kept from less urgent ones, and are lent once
// the urgent ones no longer come: within three times the duration of a response.
func TestReserveIsLent(t *testing.T) {
	v, now := newReserve(20, 0, 7)
	if k := v.kept(2, now); k < 12 || k > 30 {
		t.Errorf("%.1f slots kept, want most of the 24 that rank 0 needs", k)
	}
	v.take(2, now) // so that rank 2 is owed none
	if v.mayTake(2, 5, now) {
		t.Error("rank 2 may take one of 5 slots")
	}
	if !v.mayTake(0, 0, now) {
		t.Error("slots are kept from rank 0")
	}
	if k := v.kept(2, now.Add(3600*time.Millisecond)); k >= 1 {
		t.Errorf("%.1f slots kept after 3.6 s without rank 0", k)
	}
}

// A gateway that has just started must not take its first urgent request for a high rate, nor keep
// slots before it.
func TestReserveWithoutData(t *testing.T) {
	v := &reserve{share: 0.1, ranks: []int{0, 2}, slots: 132, engines: 11, sharers: 5}
	now := time.Unix(1000, 0)
	if k := v.kept(2, now); k != 0 {
		t.Errorf("%.1f slots kept without data", k)
	}
	v.arrive(0, time.Second, 40*time.Millisecond, now)
	if k := v.kept(2, now); k > 3 {
		t.Errorf("%.1f slots kept for one request", k)
	}
}

// While urgent requests need all slots, less urgent ones get their share and no more.
func TestLowestShare(t *testing.T) {
	for _, c := range []struct{ slots, sharers int }{{480, 4}, {132, 5}, {36, 5}, {12, 5}} {
		v, now := newReserve(400, 50, 100)
		v.slots, v.sharers = c.slots, c.sharers
		const span = 120 * time.Second
		n := 0
		for at := time.Duration(0); at < span; at += 10 * time.Millisecond {
			if v.isOwed(2, now.Add(at)) {
				v.take(2, now.Add(at))
				v.release(2)
				n++
			}
		}
		want := 0.1 * float64(c.slots) / float64(c.sharers)
		if got := float64(n) * 1.2 / span.Seconds(); got < 0.9*want || got > 1.1*want {
			t.Errorf("%d slots of %d gateways: %.2f slots for rank 2, want %.2f", c.slots, c.sharers, got, want)
		}
	}
}

// No order of requests and pauses may lead to a count below zero or to a number that compares
// with nothing, and more free slots never exclude a request that fewer admit.
func FuzzReserve(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 255, 254}, uint8(12), uint8(5))
	f.Add([]byte{9, 9, 9, 200, 1, 30}, uint8(0), uint8(0))
	f.Fuzz(func(t *testing.T, steps []byte, slots, sharers uint8) {
		v := &reserve{share: 0.1, ranks: []int{0, 3, 7}, slots: int(slots), engines: int(slots) / 12, sharers: int(sharers)}
		now := time.Unix(1000, 0)
		for _, b := range steps {
			rank := v.ranks[int(b)%3]
			switch b / 64 {
			case 0:
				v.arrive(rank, time.Duration(b)*10*time.Millisecond, time.Millisecond, now)
			case 1:
				v.take(rank, now)
			case 2:
				if v.load(rank).inFlight > 0 {
					v.release(rank)
				}
			default:
				now = now.Add(time.Duration(int(b)-200) * 50 * time.Millisecond)
			}
			for _, k := range []int{-1, 0, 3, 5, 7, 9} {
				kept, part := v.kept(k, now), v.prefillShare(k, now)
				if kept < 0 || math.IsNaN(kept) || math.IsInf(kept, 0) || part < 0.1 || part > 1 || v.extra(k) < 0 {
					t.Fatalf("rank %d: %f kept, part %f of the prompts, %d beyond the slots", k, kept, part, v.extra(k))
				}
				if v.mayTake(k, 3, now) && !v.mayTake(k, 4, now) {
					t.Fatalf("rank %d may take one of 3 slots but not of 4", k)
				}
			}
		}
	})
}

// The counts of a rank must tell what is reserved for it apart from what is lent, and be missing
// where ranks don't differ.
func TestRankStatus(t *testing.T) {
	v, now := newReserve(20, 5, 7)
	l := v.status(now)
	if len(l) != 3 || l[0].Reserved < 12 || l[0].Used != 0 || l[2].Reserved != 0 || l[2].Lent < 4 {
		t.Errorf("status %+v", l)
	}
	v.setRanks([]int{1})
	if l := v.status(now); l != nil {
		t.Errorf("one rank: status %+v", l)
	}
}

// A rank that the configuration no longer has must not determine the places in the queues of
// engines, and its record must not remain.
func TestReserveForgetsRank(t *testing.T) {
	v, now := newReserve(9, 5, 7)
	before := v.extra(0)
	v.arrive(2, 12*time.Second, 0, now)
	v.take(2, now)
	v.setRanks([]int{0, 1})
	if got := v.extra(0); got != before {
		t.Errorf("%d requests of rank 0 beyond the slots, want %d without rank 2", got, before)
	}
	v.release(2)
	if _, ok := v.loads[2]; ok {
		t.Error("rank 2 is still recorded after its last request")
	}
}

// A refusal while slots are free that are kept is no overload: the other ranks would lose part of
// the engines that the gateway doesn't prefer.
func TestReservedIsNoOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	for reason, want := range map[string]bool{Reserved: false, "full": true} {
		p := &pool{}
		r := Request{Match: resolver.Match{Route: &resolver.Route{}}, Deadline: now.Add(time.Second)}
		if err := p.refuseFull(r, 0, now, reason); err == nil || p.isOverloaded(now) != want {
			t.Errorf("%s: overloaded %t after %v, want %t", reason, !want, err, want)
		}
	}
}
