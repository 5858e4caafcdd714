package direct

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// holdFleet is many gateways on one clock, with a table that all have read.
type holdFleet struct {
	now     time.Time
	table   holdTable
	next    int
	list    []*observer.Gateway
	senders []*endingSender
	keepers []*holdKeeper
	// datagrams counts what was sent, and bytes its length.
	datagrams, bytes int
}

func newHoldFleet(gateways int) *holdFleet {
	f := &holdFleet{now: time.Unix(1000, 0)}
	at := make(map[netip.AddrPort]*isolator.Isolator)
	for n := range gateways {
		i := &isolator.Isolator{Now: func() time.Time { return f.now }}
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)
		at[a] = i
		f.list = append(f.list, &observer.Gateway{Name: fmt.Sprintf("g%d", n), Address: a})
		f.keepers = append(f.keepers, f.table.keeper(&f.next, i))
		f.senders = append(f.senders, &endingSender{Self: a, Gateways: func() []*observer.Gateway { return f.list }, Write: func(b []byte, to netip.AddrPort) error {
			f.datagrams++
			f.bytes += len(b)
			var m isolator.Message
			if err := json.Unmarshal(b, &m); err != nil {
				return err
			}
			for _, e := range m.Endings {
				at[to].Learn(e)
			}
			for _, h := range m.Holds {
				at[to].LearnHold(h, false)
			}
			return nil
		}})
	}
	return f
}

// exchange sends the news of all gateways once.
func (f *holdFleet) exchange(t *testing.T) {
	t.Helper()
	for n, s := range f.senders {
		for _, m := range f.keepers[n].Isolator.News() {
			if err := s.send(m); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against a part that ends more processes the more gateways there are, and against a trial
// by each of them, with 4, 60 and 640 gateways.
func TestManyGatewaysCountTogether(t *testing.T) {
	for _, n := range []int{4, 60, 640} {
		f := newHoldFleet(n)
		for p := range isolator.DefaultMaxEndings {
			// Each process ends at another gateway.
			f.keepers[(p*7)%n].Isolator.Add(isolator.Ending{Suspect: badPart, Process: fmt.Sprint("p", p), Began: 10 * time.Millisecond})
			f.exchange(t)
			f.exchange(t)
			f.now = f.now.Add(100 * time.Millisecond)
		}
		f.exchange(t)
		for g, k := range f.keepers {
			if k.Isolator.Check(badPart).HeldFor == 0 {
				t.Errorf("%d gateways: g%d doesn't hold the part", n, g)
			}
		}
		// Each gateway that counts sends the hold to all, and repeats it to a few.
		if most := (maxCounters+isolator.DefaultMaxEndings)*(n+10*maxReminded) + 400; f.datagrams > most {
			t.Errorf("%d gateways: %d datagrams, want %d at most", n, f.datagrams, most)
		}
		t.Logf("%d gateways: %d datagrams, %d bytes", n, f.datagrams, f.bytes)
		f.now = f.now.Add(time.Minute)
		claimed := 0
		for _, k := range f.keepers {
			if v := k.Isolator.Check(badPart); len(v.Trial) == 1 && k.claim(t.Context(), badPart.Digest) {
				claimed++
			}
		}
		if claimed != 1 {
			t.Errorf("%d gateways: %d of them claimed the trial, want 1", n, claimed)
		}
	}
}
