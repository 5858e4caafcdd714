package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// holdTable is a gateway table of which some readers know only the beginning.
type holdTable struct {
	records map[string][]byte
	next    int
	down    bool
}

func (t *holdTable) put(key string, value []byte) error {
	if t.down {
		return errors.New("down")
	}
	if t.records == nil {
		t.records = make(map[string][]byte)
	}
	t.records[key] = value
	t.next++
	return nil
}

// keeper returns a keeper whose gateway has read the table up to next.
func (t *holdTable) keeper(next *int, i *isolator.Isolator) *holdKeeper {
	return &holdKeeper{
		Isolator: i, Log: zerolog.Nop(), Rank: func() int { return 0 },
		Put: func(_ context.Context, key string, value []byte) error { return t.put(key, value) },
		PutAt: func(_ context.Context, key string, value []byte) error {
			if *next != t.next {
				return errors.New("precondition failed")
			}
			return t.put(key, value)
		},
	}
}

var badPart = isolator.NewPart("bad")

// heldAt returns an isolator on the clock that holds a part, whose first trial is due after 30 s.
func heldAt(now *time.Time) *isolator.Isolator {
	i := &isolator.Isolator{Now: func() time.Time { return *now }}
	for n := range isolator.DefaultMaxEndings {
		*now = now.Add(time.Second)
		i.Add(isolator.Ending{Suspect: badPart, Process: fmt.Sprint("p", n)})
	}
	return i
}

// Guards against more than one trial of a held part: by a second gateway, by one that was paused or
// cut off and has an old table, and while the store is down.
func TestTrialIsClaimedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var table holdTable
	var fresh, old int
	first, second := table.keeper(&fresh, heldAt(&now)), table.keeper(&old, heldAt(&now))
	now = now.Add(40 * time.Second)
	table.down = true
	if first.claim(t.Context(), badPart.Digest) {
		t.Error("a trial was claimed while the store was down")
	}
	table.down = false
	if !first.claim(t.Context(), badPart.Digest) || second.claim(t.Context(), badPart.Digest) {
		t.Error("want the trial for the first gateway, and not for one with an old table")
	}
	if v := first.Isolator.Check(badPart); v.HeldFor == 0 {
		t.Error("the part isn't held beside its trial")
	}
	second.apply(badPart.Digest.String(), table.records[holdKey(badPart.Digest)])
	old = table.next
	if v := second.Isolator.Check(badPart); v.HeldFor == 0 || len(v.Trial) > 0 {
		t.Errorf("the second gateway has %v once it has read of the trial", v)
	}
}

// Guards against holds that end with the last gateway that saw the processes end, and against
// released parts that are held again by a gateway that starts.
func TestHoldsAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	var table holdTable
	var next int
	k := table.keeper(&next, heldAt(&now))
	now = now.Add(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 3*holdInterval)
	defer cancel()
	_ = k.run(ctx)
	key := holdKey(badPart.Digest)
	if table.records[key] == nil || table.next != 1 {
		t.Fatalf("%d writes, want one of the hold", table.next)
	}
	started := table.keeper(&next, &isolator.Isolator{Now: func() time.Time { return now }})
	started.apply(badPart.Digest.String(), table.records[key])
	if started.Isolator.Check(badPart).HeldFor == 0 {
		t.Error("a gateway that starts doesn't hold the part")
	}
	k.Isolator.Release(badPart.Digest)
	now = now.Add(time.Second)
	ctx, cancel = context.WithTimeout(t.Context(), 3*holdInterval)
	defer cancel()
	_ = k.run(ctx)
	started.apply(badPart.Digest.String(), table.records[key])
	if table.records[key] != nil || started.Isolator.Check(badPart).HeldFor > 0 {
		t.Error("a released part is still held")
	}
}

// Guards against a record of another writer that holds or releases something.
func TestOddHoldRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	var next int
	k := new(holdTable).keeper(&next, heldAt(&now))
	other := isolator.NewPart("other")
	for _, value := range []string{
		`{}`, `x`, `{"digest":"` + badPart.Digest.String() + `","changed":"2026-12-06T09:00:00Z","until":"2026-12-06T09:00:30Z"}`,
		`{"digest":"` + other.Digest.String() + `","changed":"2026-12-06T09:00:00Z","until":"2027-12-06T09:00:30Z"}`,
		`{"digest":"` + other.Digest.String() + `","changed":"2026-12-06T09:00:00Z","until":"2026-12-06T09:00:30Z","trials":4}`,
		`{"digest":"` + other.Digest.String() + `","changed":"2026-12-06T09:00:00Z","until":"2026-12-06T09:00:30Z","processes":[""]}`,
		`{"digest":"` + other.Digest.String() + `","changed":"2026-12-06T09:00:00Z","released":true,"until":"2026-12-06T09:00:30Z"}`,
	} {
		k.apply(other.Digest.String(), []byte(value))
		k.apply("x", []byte(value))
	}
	k.apply("x", nil)
	if l := k.Isolator.Holds(); len(l) != 1 || l[0].Digest != badPart.Digest {
		t.Errorf("%d holds, want the one from before", len(l))
	}
}

// Guards against messages that grow with the gateways: endings go to a few of them, a hold to each
// once.
func TestEndingReceivers(t *testing.T) {
	var all []*observer.Gateway
	for n := range 640 {
		all = append(all, &observer.Gateway{Name: fmt.Sprintf("g%d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)})
	}
	sent := make(map[netip.AddrPort]int)
	var largest int
	s := &endingSender{Gateways: func() []*observer.Gateway { return all }, Self: all[0].Address, Write: func(b []byte, to netip.AddrPort) error {
		sent[to]++
		largest = max(largest, len(b))
		return nil
	}}
	now := time.Unix(1000, 0)
	i := heldAt(&now)
	var endings, holds []isolator.Message
	for _, m := range i.News() {
		if len(m.Holds) > 0 {
			holds = append(holds, m)
		} else {
			endings = append(endings, m)
		}
	}
	for _, m := range endings {
		_ = s.send(m)
	}
	if len(sent) > maxCounters {
		t.Errorf("an ending is sent to %d gateways, want %d at most", len(sent), maxCounters)
	}
	clear(sent)
	for range 3 {
		_ = s.send(holds[0])
	}
	total := 0
	for _, n := range sent {
		total += n
	}
	if len(sent) != len(all)-1 || total > len(all)-1+2*maxReminded {
		t.Errorf("a hold was sent to %d gateways in %d datagrams", len(sent), total)
	}
	if largest > maxDatagramBytes {
		t.Errorf("a datagram has %d bytes, want %d at most", largest, maxDatagramBytes)
	}
}

// Guards against datagrams that are too long, and too many of them in an interval, when many loaded
// endpoints end.
func TestEndingNewsIsBounded(t *testing.T) {
	const mostMessages = 4
	i := &isolator.Isolator{}
	for p := range 8 {
		for r := range 64 {
			s := isolator.NewPart(fmt.Sprintf("%064d", r))
			i.Add(isolator.Ending{Suspect: s, Process: fmt.Sprintf("%080d", p), Ended: time.Duration(8-p) * time.Second, Began: 9 * time.Second})
		}
	}
	l := i.News()
	if len(l) > mostMessages {
		t.Errorf("%d messages in an interval, want %d at most", len(l), mostMessages)
	}
	for _, m := range l {
		b, err := json.Marshal(m)
		if err != nil || len(b) > maxDatagramBytes {
			t.Errorf("a message of %d bytes (%v), want %d at most", len(b), err, maxDatagramBytes)
		}
		var back isolator.Message
		if err := json.Unmarshal(b, &back); err != nil {
			t.Error(err)
		}
	}
}

// Guards against holds that operators can neither see nor release.
func TestHoldHandler(t *testing.T) {
	now := time.Unix(1000, 0)
	var next int
	k := new(holdTable).keeper(&next, heldAt(&now))
	ask := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		k.handler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	var l []isolator.Hold
	if err := json.Unmarshal(ask(http.MethodGet, "/v1/holds").Body.Bytes(), &l); err != nil || len(l) != 1 || l[0].Part != "bad" {
		t.Errorf("holds %v, %v", l, err)
	}
	for path, status := range map[string]int{"x": http.StatusBadRequest, isolator.NewPart("other").Digest.String(): http.StatusNotFound} {
		if w := ask(http.MethodDelete, "/v1/holds/"+path); w.Code != status {
			t.Errorf("release %s: status %d, want %d", path, w.Code, status)
		}
	}
	if w := ask(http.MethodDelete, "/v1/holds/"+badPart.Digest.String()); w.Code != http.StatusOK || len(k.Isolator.Holds()) > 0 {
		t.Errorf("status %d, and the part is still held", w.Code)
	}
}
