package observer

import (
	"bytes"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

var (
	// errLowerEpoch marks the error of a result that is older than the last return of the store.
	errLowerEpoch = errors.New("the response is of a lower epoch")
	// errNotWhole marks the error of a result of a higher epoch that isn't the whole table.
	errNotWhole = errors.New("the response is of a higher epoch and not the whole table")
)

// Rise describes the first result of a higher epoch, after which the table was compared with the
// store.
type Rise struct {
	Previous, Epoch uint64
	// Lost holds the keys of the records that were lost and stay in force, those of a
	// key with Table.KeepLost for that time.
	Lost []string
	// Deleted is the number of records that were deleted before the store's copy was made.
	Deleted int
}

// Epoch returns the epoch of the table; 0 if it isn't known.
func (t *Table) Epoch() uint64 {
	p, _ := t.EpochBegin()
	return p.Epoch
}

// Compared returns when the table was first compared with the whole table of a peer in this epoch, or
// no peer was known, on the clock of package timekeeper; false if that hasn't happened yet.
func (t *Table) Compared() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.comparedAt, t.compared == t.epoch
}

func (t *Table) setCompared(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.compared != t.epoch {
		t.compared, t.comparedAt = t.epoch, now
	}
}

// isOther reports whether an offset of the epoch is none of the table. The caller must hold t.mu.
func (t *Table) isOther(epoch uint64) bool { return epoch != 0 && t.epoch != 0 && epoch != t.epoch }

// covers reports whether the table has nothing after an offset of the epoch.
func (t *Table) covers(from, epoch uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next <= from && !t.isOther(epoch)
}

// EpochBegin returns the end of the table, for a conditional write, and when the first result of
// its epoch arrived, on the clock of package timekeeper.
func (t *Table) EpochBegin() (connector.Position, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return connector.Position{Epoch: t.epoch, Next: t.next}, t.began
}

// check returns an error if a result can't be merged into the table because of its epoch.
func (t *Table) check(c connector.Changes) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkEpoch(c)
}

// checkEpoch does the same. The caller must hold t.mu.
func (t *Table) checkEpoch(c connector.Changes) error {
	isPeer := c.Age != 0 || c.Written != 0
	switch {
	case c.Epoch == 0 && isPeer && t.epoch != 0:
		// A peer of a version without epochs may be of an earlier one, also if this process has
		// started after the return.
		return errors.Wrapf(errLowerEpoch, "no epoch from a peer, have %d", t.epoch)
	case c.Epoch != 0 && c.Epoch < t.epoch:
		return errors.Wrapf(errLowerEpoch, "epoch %d, have %d", c.Epoch, t.epoch)
	case t.rises(c) && !c.Full:
		return errors.Wrapf(errNotWhole, "epoch %d, have %d", c.Epoch, t.epoch)
	}
	return nil
}

// rises reports whether the store returned from a copy between the table and a result. If the
// epoch of the table isn't known, it did if its log ends before the table. The caller must hold
// t.mu.
func (t *Table) rises(c connector.Changes) bool {
	isEmpty := t.next == 0 && len(t.items) == 0
	return c.Epoch > t.epoch && !isEmpty && (t.epoch > 0 || c.Next < t.next)
}

// rise compares the table with the whole table of a higher epoch, and returns the items that
// changed. The caller must hold t.mu.
func (t *Table) rise(c connector.Changes, arrived time.Time) ([]connector.Item, *Rise) {
	r := &Rise{Previous: t.epoch, Epoch: c.Epoch}
	copied := t.copiedUntil(c.Items)
	for k, i := range t.items {
		if !i.Lost && i.Carried == 0 {
			i.Earlier = t.epoch
			t.items[k] = i
		}
	}
	t.epoch, t.rose = c.Epoch, arrived
	t.next, t.deletionsFrom = c.Next, c.Next
	var fresh []connector.Item
	present := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		present[i.Key] = true
		if t.compare(i, arrived) {
			fresh = append(fresh, i)
		}
	}
	for k, held := range t.items {
		switch {
		case present[k]:
		case held.Value == nil:
			t.setDeleted(k, c.Next, carriedOf(held), held.Earlier)
		case t.keepFor(k) == 0 && !held.Lost && held.Offset < copied:
			fresh = append(fresh, connector.Item{Key: k, Offset: max(c.Next, 1) - 1})
			t.setDeleted(k, c.Next, held.Offset, held.Earlier)
			t.renewStamp(k, arrived)
			r.Deleted++
		default:
			t.markLost(k)
		}
	}
	for k := range t.lost {
		r.Lost = append(r.Lost, k)
	}
	return fresh, r
}

// compare compares an item of a higher epoch with that of the table, and reports whether it
// replaces it. The caller must hold t.mu.
func (t *Table) compare(i connector.Item, arrived time.Time) bool {
	held, ok := t.items[i.Key]
	switch {
	case i.Lost:
		if ok && !t.isLater(i, held) && (held.Lost || i.Offset <= held.Offset) {
			t.markLost(i.Key)
			return false
		}
		return t.takeLost(i)
	case !ok:
		return t.replace(i, arrived)
	case isCarried(i) && held.Value != nil && !deletes(i, held):
		t.markLost(i.Key)
		return false
	case i.Value != nil && bytes.Equal(held.Value, i.Value):
		t.set(i)
		return false
	case t.outlasts(held, i, arrived):
		t.markLost(i.Key)
		return false
	}
	if !t.replace(i, arrived) {
		t.markLost(i.Key)
		return false
	}
	return true
}

// replace sets an item unless its stamp shows that it is outdated, and reports whether it did.
// The caller must hold t.mu.
func (t *Table) replace(i connector.Item, arrived time.Time) bool {
	if i.Value != nil && !t.isStampFresh(i, arrived) {
		return false
	}
	if i.Value == nil {
		if i.Stamp != nil {
			t.learnStamp(i.Key, *i.Stamp, arrived)
		}
		t.renewStamp(i.Key, arrived)
	}
	t.set(i)
	return true
}

// outlasts reports whether a held record of an earlier epoch stays in force although the store
// has another one: if it is later by its content, if it is the deletion of just that record, or
// for the time after the return in which a deletion doesn't count. The caller must hold t.mu.
func (t *Table) outlasts(held, found connector.Item, arrived time.Time) bool {
	if held.Value == nil {
		at, ok := t.deleted[held.Key]
		return found.Value != nil && ok && at == found.Offset
	}
	if found.Value == nil {
		return t.isKept(held.Key, arrived) || held.Lost && isCarried(found) && !deletes(found, held)
	}
	return t.isLater(held, found)
}

// isLater reports whether a record is later by its content than another one of its key.
func (t *Table) isLater(i, than connector.Item) bool {
	return t.Later != nil && i.Value != nil && than.Value != nil && t.Later(i, than)
}

// copiedUntil returns the offset up to which the log of a higher epoch certainly is a copy of the
// one that the table knows: that after the last record that is still at its offset, before the
// first offset that has another record. The caller must hold t.mu.
func (t *Table) copiedUntil(items []connector.Item) uint64 {
	held := make(map[uint64]connector.Item, len(t.items))
	for _, i := range t.items {
		if i.Value != nil && !i.Lost {
			held[i.Offset] = i
		}
	}
	other := uint64(math.MaxUint64)
	var same []uint64
	for _, i := range items {
		h, ok := held[i.Offset]
		switch {
		case !ok || i.Lost || i.Value == nil:
		case h.Key == i.Key && bytes.Equal(h.Value, i.Value):
			same = append(same, i.Offset)
		default:
			other = min(other, i.Offset)
		}
	}
	until := uint64(0)
	for _, o := range same {
		if o < other {
			until = max(until, o+1)
		}
	}
	return until
}

// set sets the item of a key to one that the store has. The caller must hold t.mu.
func (t *Table) set(i connector.Item) {
	switch held := t.items[i.Key]; {
	case i.Value != nil:
		delete(t.deleted, i.Key)
	case held.Value != nil && !held.Lost:
		t.setDeletedOffset(i.Key, held.Offset)
	}
	t.items[i.Key] = connector.Item{Key: i.Key, Value: i.Value, Offset: i.Offset}
	if isCarried(i) {
		t.items[i.Key] = connector.Item{Key: i.Key, Offset: i.Offset, Carried: i.Carried, Earlier: i.Earlier}
	}
	delete(t.lost, i.Key)
}
