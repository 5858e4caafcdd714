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
	// Later reports whether a record is later by its content than another one of its key. It
	// orders records of different epochs; nil means that no record tells.
	Later func(i, than connector.Item) bool
	// KeepLost returns how long after the return of the store a record stays that the store
	// lost, and deletions of the key don't count. 0 means until the store has a record of the
	// key that is not older; that holds for all keys if it is nil.
	KeepLost func(key string) time.Duration

	mu sync.Mutex
	// epoch is that of the offsets; 0 if it isn't known. rose is when the first result of it
	// arrived; the zero time if the table has always had it.
	epoch uint64
	rose  time.Time
	// began is when the first result of the epoch arrived, also if it is the first one known.
	began time.Time
	// compared is the epoch in which the table was last compared with that of a peer, and comparedAt
	// when it first was in that epoch.
	compared   uint64
	comparedAt time.Time
	// lost holds the keys of items with Lost, and until when they stay; the zero time if
	// without a limit.
	lost map[string]time.Time
	// deleted holds the offset of the record that was deleted, for keys whose deletion was seen.
	deleted map[string]uint64
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
	fresh, _ := t.apply(c, arrived, time.Time{})
	return fresh
}

// apply does the same for items that were not written before the given time; the zero
// time means that it isn't known. It also returns what a higher epoch changed, if c is of one.
func (t *Table) apply(c connector.Changes, arrived, after time.Time) (fresh []connector.Item, r *Rise) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.items == nil {
		t.items = make(map[string]connector.Item)
	}
	if t.checkEpoch(c) != nil {
		return nil, nil
	}
	if c.Epoch > t.epoch {
		t.began = arrived
	}
	if t.rises(c) {
		fresh, r = t.rise(c, arrived)
	} else {
		t.epoch = max(t.epoch, c.Epoch)
		fresh = t.merge(c, arrived)
	}
	fresh = append(fresh, t.expire(arrived)...)
	t.setDates(fresh, after)
	if at := arrived.Add(-c.Age); at.After(t.confirmed) {
		t.confirmed = at
	}
	// Readers that wait have to learn of a higher epoch, too.
	if (len(fresh) > 0 || r != nil) && t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	return fresh, r
}

// merge merges a result of the epoch of the table and returns the items that were newer. The
// caller must hold t.mu.
func (t *Table) merge(c connector.Changes, arrived time.Time) []connector.Item {
	var fresh []connector.Item
	present := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		present[i.Key] = true
		if i.Lost {
			if t.mergeLost(i, arrived) {
				fresh = append(fresh, i)
			}
		} else if t.isFresh(i, arrived) {
			t.set(i)
			fresh = append(fresh, i)
		}
	}
	if t.next == 0 || c.Full && c.Next > t.next {
		t.deletionsFrom = c.Next
	}
	if c.Full && c.Next > 0 {
		for k, old := range t.items {
			if old.Value == nil || present[k] || old.Lost || old.Offset >= c.Next {
				continue
			}
			if t.isKept(k, arrived) {
				t.markLost(k)
				continue
			}
			d := connector.Item{Key: k, Offset: c.Next - 1}
			t.set(d)
			t.renewStamp(k, arrived)
			fresh = append(fresh, d)
		}
	}
	t.next = max(t.next, c.Next)
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
func (t *Table) Since(from uint64) connector.Changes { return t.since(from, 0) }

// since does the same for an offset of an epoch, and returns the whole table if the offset is of
// another epoch than the table. Epoch 0 means that it isn't known. Only a whole table has the
// lost items, as some are large and all readers would get them with each response.
func (t *Table) since(from, epoch uint64) connector.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timekeeper.Now()
	isOther := t.isOther(epoch)
	full := isOther || from < t.deletionsFrom
	c := connector.Changes{Next: t.next, Epoch: t.epoch, Age: now.Sub(t.confirmed), Full: full}
	oldest := now
	for _, i := range t.items {
		if !c.Full && (i.Lost || i.Offset < from) {
			continue
		}
		if s, ok := t.stamps[i.Key]; ok && i.Value == nil {
			i.Stamp = &s.Stamp
		}
		c.Items = append(c.Items, i)
		if d := t.dates[i.Key]; (isOther || i.Offset >= from) && d.Before(oldest) {
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
