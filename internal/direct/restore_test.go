package direct

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// lostTable returns a gateway table whose store returned at the time and lost a hold, digests and
// the record of a gateway.
func lostTable(returned time.Time) *observer.Table {
	t := &observer.Table{KeepLost: func(key string) time.Duration {
		if observer.IsGatewayKey(key) {
			return keepLostGateway
		}
		return 0
	}}
	t.Apply(connector.Changes{Epoch: 1, Next: 9, Items: []connector.Item{
		{Key: "g0", Value: []byte("{}"), Offset: 1},
		{Key: "g1", Value: []byte("{}"), Offset: 6},
		{Key: "hold/a", Value: []byte("{}"), Offset: 7},
		{Key: "digests/m/1", Value: []byte("{}"), Offset: 8},
	}}, returned.Add(-time.Second))
	t.Apply(connector.Changes{Epoch: 2, Next: 2, Full: true, Items: []connector.Item{{Key: "g0", Value: []byte("{}"), Offset: 1}}}, returned)
	return t
}

// Guards against records that all gateways write at the same time, that nobody writes because the
// first gateway ended, or that one writes again and again.
func TestLostRecordsAreWrittenOnce(t *testing.T) {
	returned := timekeeper.Now()
	const begin = compareDelay + restoreInterval
	both := []string{"digests/m/1", "hold/a"}
	for _, c := range []struct {
		name  string
		rank  int
		after time.Duration
		// failed is when the store last failed to respond, after its return.
		failed   time.Duration
		compared bool
		// comparedAt is when a peer responded, after the return.
		comparedAt time.Duration
		fails      bool
		want       []string
	}{
		{"at once", 0, 0, 0, true, 0, false, nil},
		{"first", 0, begin, 0, true, 0, false, both},
		{"second, too early", 1, begin + holdRankDelay/2, 0, true, 0, false, nil},
		{"second", 1, begin + holdRankDelay, 0, true, 0, false, both},
		{"one whose record is missing, too early", -1, begin + 640*holdRankDelay, 0, true, 0, false, nil},
		{"one whose record is missing", -1, begin + (641+maxHoldRank)*holdRankDelay, 0, true, 0, false, both},
		{"last, too early", 600, begin + maxHoldRank*holdRankDelay, 0, true, 0, false, nil},
		{"last", 600, begin + 600*holdRankDelay, 0, true, 0, false, both},
		{"second after another failure of the store, too early", 1, time.Minute + holdRankDelay, time.Minute, true, 0, false, nil},
		{"second after another failure of the store", 1, time.Minute + restoreInterval + holdRankDelay, time.Minute, true, 0, false, both},
		{"second after a late peer, too early", 1, 2*time.Second + holdRankDelay, 0, true, 2 * time.Second, false, nil},
		{"second after a late peer", 1, 2*time.Second + restoreInterval + holdRankDelay, 0, true, 2 * time.Second, false, both},
		{"no peer has responded", 0, observer.CompareTimeout, 0, false, 0, false, nil},
		{"no peer responds", 0, observer.CompareTimeout + restoreInterval, 0, false, 0, false, both},
		{"store is away", 0, begin, 0, true, 0, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var keys []string
			tries := 0
			r := &restorer{
				Table: lostTable(returned), Returns: &storeReturns{}, Log: zerolog.Nop(), Rank: func() (int, int) { return c.rank, 640 },
				Compared: func() (time.Time, bool) { return returned.Add(c.comparedAt), c.compared }, Failed: func() time.Time { return returned.Add(c.failed) },
				PutAt: func(_ context.Context, key string, _ []byte, _ connector.Position) error {
					tries++
					if c.fails {
						return errors.New("away")
					}
					keys = append(keys, key)
					return nil
				},
			}
			for range 3 {
				r.restore(t.Context(), returned.Add(c.after))
			}
			if c.fails && tries != 1 {
				t.Errorf("%d writes at once while the store is away", tries)
			}
			slices.Sort(keys)
			if !slices.Equal(keys, c.want) || int(r.Returns.rewritten.Load()) != len(c.want) {
				t.Errorf("wrote %q, counted %d, want %q", keys, r.Returns.rewritten.Load(), c.want)
			}
		})
	}
}

// Guards against records that a second gateway writes because what the first one wrote takes longer to arrive
// than its wait, and against records that nobody writes because others always write in between.
func TestLostRecordsBesideOtherWriters(t *testing.T) {
	returned := timekeeper.Now()
	due := returned.Add(compareDelay + restoreInterval + holdRankDelay)
	for _, c := range []struct {
		name string
		// ends holds the end of the store's table at each try, and read the end of this gateway's table
		// before it.
		ends, read []uint64
		tries      int
		want       []string
	}{
		{"nobody has written", []uint64{2, 2}, []uint64{2, 2}, 2, []string{"at 2", "at 3"}},
		{"the first gateway has written, not read yet", []uint64{4, 4, 4}, []uint64{2, 2, 2}, 1, nil},
		{"another record was written, then read", []uint64{3, 3}, []uint64{2, 3}, 3, []string{"at 3", "at 4"}},
		{
			"others write before each try",
			[]uint64{3, 4, 5, 6, 7, 8, 9, 10, 11, 12},
			[]uint64{2, 3, 4, 5, 6, 7, 8, 9, 10, 11},
			2*maxConflicts + 2,
			[]string{"any", "any"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			tries := 0
			table := lostTable(returned)
			r := &restorer{
				Table: table, Returns: &storeReturns{}, Log: zerolog.Nop(), Rank: func() (int, int) { return 1, 640 },
				Compared: func() (time.Time, bool) { return returned, true }, Failed: func() time.Time { return time.Time{} },
			}
			for i, end := range c.ends {
				table.Apply(connector.Changes{Epoch: 2, Next: c.read[i]}, due)
				r.Put = func(context.Context, string, []byte) error {
					tries++
					got = append(got, "any")
					return nil
				}
				r.PutAt = func(_ context.Context, _ string, _ []byte, p connector.Position) error {
					tries++
					if p != (connector.Position{Epoch: 2, Next: end}) {
						return &connector.Error{Op: "append", Kind: classifier.Conflict}
					}
					end++
					got = append(got, fmt.Sprintf("at %d", p.Next))
					return nil
				}
				r.restore(t.Context(), due)
			}
			if !slices.Equal(got, c.want) || tries != c.tries {
				t.Errorf("wrote %q in %d tries, want %q in %d", got, tries, c.want, c.tries)
			}
		})
	}
}

// Guards against a second gateway that writes without condition although the first one is writing the records, one
// after the other.
func TestLostRecordsOfSlowWriter(t *testing.T) {
	returned := timekeeper.Now()
	due := returned.Add(compareDelay + restoreInterval + holdRankDelay)
	table := &observer.Table{}
	const lost = 3 * maxConflicts
	before := connector.Changes{Epoch: 1, Next: lost}
	for i := range lost {
		before.Items = append(before.Items, connector.Item{Key: fmt.Sprintf("hold/%02d", i), Value: []byte("{}"), Offset: uint64(i)})
	}
	table.Apply(before, returned.Add(-time.Second))
	table.Apply(connector.Changes{Epoch: 2, Full: true}, returned)
	r := &restorer{
		Table: table, Returns: &storeReturns{}, Log: zerolog.Nop(), Rank: func() (int, int) { return 1, 640 },
		Compared: func() (time.Time, bool) { return returned, true }, Failed: func() time.Time { return time.Time{} },
		PutAt: func(context.Context, string, []byte, connector.Position) error {
			return &connector.Error{Op: "append", Kind: classifier.Conflict}
		},
		Put: func(_ context.Context, key string, _ []byte) error {
			t.Errorf("%s was written without condition", key)
			return nil
		},
	}
	for i := range lost - 1 {
		r.restore(t.Context(), due)
		n := uint64(i)
		table.Apply(connector.Changes{Epoch: 2, Next: n + 1, Items: []connector.Item{{Key: fmt.Sprintf("hold/%02d", i), Value: []byte("{}"), Offset: n}}}, due)
	}
	if l, _ := table.Lost(); len(l) != 1 {
		t.Errorf("%d records are lost, want 1", len(l))
	}
}

// Guards against a trial that two gateways make: the claim of the epoch before may be lost and not
// written again yet.
func TestNoClaimAtBeginningOfEpoch(t *testing.T) {
	var at []connector.Position
	f := &follower{tables: Tables{Gateways: &connector.Table{
		PutAt: func(_ context.Context, _ string, _ []byte, p connector.Position) error {
			at = append(at, p)
			return nil
		},
	}}}
	now := timekeeper.Now()
	f.gateways.Apply(connector.Changes{Epoch: 1, Next: 5, Items: []connector.Item{{Key: "g0", Value: []byte("{}"), Offset: 4}}}, now.Add(-time.Minute))
	if err := f.claimAt(t.Context(), "hold/a", nil); err != nil {
		t.Error(err)
	}
	f.gateways.Apply(connector.Changes{Epoch: 2, Next: 3, Full: true}, now)
	if err := f.claimAt(t.Context(), "hold/a", nil); err == nil || !strings.Contains(err.Error(), "epoch 2") {
		t.Errorf("a claim in the first time of an epoch: %v", err)
	}
	if !slices.Equal(at, []connector.Position{{Epoch: 1, Next: 5}}) {
		t.Errorf("claimed at %+v", at)
	}
}

// Guards against a table that is compared late because its read waits for a change: another table
// has shown already that the store returned.
func TestReturnEndsWaiting(t *testing.T) {
	var s storeReturns
	var waits []time.Duration
	begun := make(chan struct{})
	read := s.interruptible(func(ctx context.Context, _ uint64, wait time.Duration) (connector.Changes, error) {
		waits = append(waits, wait)
		if wait > 0 {
			close(begun)
			<-ctx.Done()
			return connector.Changes{}, ctx.Err()
		}
		return connector.Changes{Next: 7}, nil
	})
	go func() {
		<-begun
		s.note(&observer.Rise{})
	}()
	c, err := read(t.Context(), 5, time.Minute)
	if err != nil || c.Next != 7 || !slices.Equal(waits, []time.Duration{time.Minute, 0}) {
		t.Errorf("%+v, %v, waits %v", c, err, waits)
	}
}

// Guards against shares of limits that grow because the record of a running gateway is dropped
// before it has been written again and read back.
func TestLostGatewayStaysUntilReadBack(t *testing.T) {
	returned := timekeeper.Now()
	b := lostTable(returned)
	const noticed, written, hop = time.Second, 2 * time.Second, 500 * time.Millisecond
	b.Apply(connector.Changes{Epoch: 2, Next: 2}, returned.Add(noticed+written+gatewayInterval+hop))
	if !b.IsLost("g1") {
		t.Error("the record was dropped")
	}
	b.Apply(connector.Changes{Epoch: 2, Next: 2}, returned.Add(keepLostGateway))
	if b.IsLost("g1") {
		t.Error("the record of a gateway that ended stays")
	}
}
