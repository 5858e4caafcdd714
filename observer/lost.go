package observer

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// Lost returns the records that the store lost and that are to be written again, and when the
// first result of the epoch arrived. It lacks those that are kept only for a time.
func (t *Table) Lost() ([]connector.Item, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []connector.Item
	for k, until := range t.lost {
		if until.IsZero() || t.items[k].Value == nil {
			l = append(l, t.items[k])
		}
	}
	return l, t.began
}

// IsLost reports whether the store lost the record of the key.
func (t *Table) IsLost(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.lost[key]
	return ok
}

// mergeLost merges an item that a peer of the same epoch keeps, and reports whether it replaces
// that of the table. The caller must hold t.mu.
func (t *Table) mergeLost(i connector.Item, arrived time.Time) bool {
	if t.keepFor(i.Key) > 0 && !t.isKept(i.Key, arrived) {
		return false
	}
	held, ok := t.items[i.Key]
	wasDeleted := i.Value == nil && held.Value != nil && !held.Lost && held.Offset == i.Offset
	isNew := isCarried(held) && i.Value != nil && i.Earlier == held.Earlier && !deletes(held, i)
	if ok && !wasDeleted && !isNew && !t.isLater(i, held) {
		return false
	}
	return t.takeLost(i)
}

// takeLost sets an item that a peer keeps though the store lacks it, and reports whether that
// changes the table. The caller must hold t.mu.
func (t *Table) takeLost(i connector.Item) bool {
	held, ok := t.items[i.Key]
	t.items[i.Key] = connector.Item{Key: i.Key, Value: i.Value, Offset: i.Offset, Earlier: i.Earlier}
	// A lost deletion has the offset of the record that was deleted.
	if delete(t.deleted, i.Key); i.Value == nil {
		t.setDeletedOffset(i.Key, i.Offset)
	}
	t.markLost(i.Key)
	return ok && held.Value != nil || i.Value != nil
}

// isCarried reports whether an item is a deletion of an earlier epoch.
func isCarried(i connector.Item) bool { return i.Value == nil && i.Carried > 0 }

// carriedOf returns Item.Carried of a deletion when its epoch ends.
func carriedOf(i connector.Item) uint64 {
	if i.Carried > 0 {
		return i.Carried
	}
	return i.Offset
}

// deletes reports whether a deletion of an earlier epoch certainly is later than a record of an
// earlier epoch. Records of a higher epoch than the deletion, or behind it, may have been written
// after it.
func deletes(d, record connector.Item) bool {
	if d.Earlier == 0 || record.Earlier == 0 {
		return false
	}
	return record.Earlier < d.Earlier || record.Earlier == d.Earlier && record.Offset <= d.Carried
}

// keepFor returns KeepLost of a key.
func (t *Table) keepFor(key string) time.Duration {
	if t.KeepLost == nil {
		return 0
	}
	return t.KeepLost(key)
}

// isKept reports whether deletions of the key don't count yet after the return of the store. The
// caller must hold t.mu.
func (t *Table) isKept(key string, arrived time.Time) bool {
	return !t.rose.IsZero() && arrived.Before(t.rose.Add(t.keepFor(key)))
}

// setDeletedOffset records the offset of the record of a key that was deleted. The caller must hold
// t.mu.
func (t *Table) setDeletedOffset(key string, offset uint64) {
	if t.deleted == nil {
		t.deleted = make(map[string]uint64)
	}
	t.deleted[key] = offset
}

// setDeleted sets the item of a key that the store lacks, given the end of its log and where the
// record was deleted in an earlier epoch. The caller must hold t.mu.
func (t *Table) setDeleted(key string, next, carried, earlier uint64) {
	delete(t.lost, key)
	// The offset is of the epoch before; it means nothing at the next rise.
	delete(t.deleted, key)
	if next == 0 {
		delete(t.items, key)
		return
	}
	t.items[key] = connector.Item{Key: key, Offset: next - 1, Carried: carried, Earlier: earlier}
}

// markLost marks the item of a key as one that the store lost. A lost deletion has the offset of
// the record that was deleted. The caller must hold t.mu.
func (t *Table) markLost(key string) {
	i, ok := t.items[key]
	if !ok {
		return
	}
	i.Lost = true
	if at, known := t.deleted[key]; known && i.Value == nil {
		i.Offset = at
	}
	t.items[key] = i
	if t.lost == nil {
		t.lost = make(map[string]time.Time)
	}
	until := time.Time{}
	if d := t.keepFor(key); d > 0 {
		until = t.rose.Add(d)
	}
	t.lost[key] = until
}

// expire removes the lost items whose time is over, and returns their deletions. Their stamps
// stay; the same record may be written again. The caller must hold t.mu.
func (t *Table) expire(now time.Time) []connector.Item {
	var gone []connector.Item
	for k, until := range t.lost {
		if until.IsZero() || now.Before(until) {
			continue
		}
		if i := t.items[k]; i.Value != nil {
			gone = append(gone, connector.Item{Key: k, Offset: i.Offset})
			delete(t.items, k)
		}
		delete(t.lost, k)
	}
	return gone
}
