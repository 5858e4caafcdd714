package observer

import (
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
)

// maxWriteDelay exceeds the time after which the platform executes a write that it didn't
// answer. Beyond it a record with an older stamp is that of a process whose clock was set back.
const maxWriteDelay = 30 * time.Second

// Table is the replica of one keyed table. The zero value is empty and ready to use. Its
// exported fields are set before the first call. All methods may be called concurrently.
//
// The records of a key are ordered by their offsets, and where they have stamps by these: a
// record that was written before the newest one of its key, or before the key was deleted, is
// outdated whatever its offset is.
type Table struct {
	// Stamp returns the stamp of a record; false if it has none. Nil means that no record has.
	Stamp func(key string, value []byte) (connector.Stamp, bool)
	// Outdated is called with each record that is left out as outdated; it may be nil. The
	// table is locked meanwhile.
	Outdated func(connector.Item)

	mu sync.Mutex
	// items also holds deleted keys, as items without a value, so that an older record
	// can't restore them.
	items map[string]connector.Item
	// stamps holds the newest stamp of each key that has one, also of deleted keys.
	stamps map[string]newestStamp
	// deletionsFrom is the offset from which each deleted key has an item. Keys that were
	// deleted before a read of the whole table are unknown to it.
	deletionsFrom uint64
	// dates holds for each key a time before which its item was not written; it lacks the
	// keys of items whose date isn't known.
	dates map[string]time.Time
	// next is the offset after the newest record that the replica covers.
	next uint64
	// confirmed is when the platform last responded to a read of the table, by this
	// process or by the peers from which it was read, on the clock of package timekeeper.
	confirmed time.Time
	// changed is closed and cleared at the next change; nil until a call of Wait needs it.
	changed chan struct{}
}

// Apply merges the changes that arrived at the given time, on the clock of package
// timekeeper, and returns the items that were newer than those of the replica. A full
// table also deletes the keys that it lacks, unless their records are newer.
func (t *Table) Apply(c connector.Changes, arrived time.Time) []connector.Item {
	return t.apply(c, arrived, time.Time{})
}

// apply does the same for items that were not written before the given time; the zero
// time means that it isn't known.
func (t *Table) apply(c connector.Changes, arrived, after time.Time) []connector.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.items == nil {
		t.items = make(map[string]connector.Item)
	}
	var fresh []connector.Item
	present := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		present[i.Key] = true
		if t.isFresh(i, arrived) {
			t.items[i.Key] = connector.Item{Key: i.Key, Value: i.Value, Offset: i.Offset}
			fresh = append(fresh, i)
		}
	}
	if t.next == 0 || c.Full && c.Next > t.next {
		t.deletionsFrom = c.Next
	}
	if c.Full && c.Next > 0 {
		for k, old := range t.items {
			if old.Value != nil && !present[k] && old.Offset < c.Next {
				d := connector.Item{Key: k, Offset: c.Next - 1}
				t.items[k] = d
				t.renewStamp(k, arrived)
				fresh = append(fresh, d)
			}
		}
	}
	t.setDates(fresh, after)
	t.next = max(t.next, c.Next)
	if at := arrived.Add(-c.Age); at.After(t.confirmed) {
		t.confirmed = at
	}
	if len(fresh) > 0 && t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	return fresh
}

func (t *Table) setDates(fresh []connector.Item, after time.Time) {
	if t.dates == nil {
		t.dates = make(map[string]time.Time)
	}
	for _, i := range fresh {
		if after.IsZero() {
			delete(t.dates, i.Key)
		} else {
			t.dates[i.Key] = after
		}
	}
}

// Next returns the offset from which the next read has to start.
func (t *Table) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Confirmed returns when the platform last responded to a read of the table, by this
// process or by the peers from which it was read, on the clock of package timekeeper;
// the zero time before the first read.
func (t *Table) Confirmed() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

// Since returns the items whose offset is from or higher. It returns the whole table if from is
// 0, or if keys that aren't known may have been deleted since from.
func (t *Table) Since(from uint64) connector.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timekeeper.Now()
	c := connector.Changes{Next: t.next, Age: now.Sub(t.confirmed), Full: from < t.deletionsFrom}
	oldest := now
	for _, i := range t.items {
		if i.Offset < from && !c.Full {
			continue
		}
		if s, ok := t.stamps[i.Key]; ok && i.Value == nil {
			i.Stamp = &s.Stamp
		}
		c.Items = append(c.Items, i)
		if d := t.dates[i.Key]; i.Offset >= from && d.Before(oldest) {
			oldest = d
		}
	}
	if !oldest.IsZero() {
		c.Written = now.Sub(oldest)
	}
	return c
}

// Wait returns when the table changes, d has passed or done is closed.
func (t *Table) Wait(done <-chan struct{}, d time.Duration) {
	t.mu.Lock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	ch := t.changed
	t.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ch:
	case <-timer.C:
	case <-done:
	}
}
