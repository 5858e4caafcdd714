package observer

import (
	"bytes"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// newestStamp is the newest stamp of a key.
type newestStamp struct {
	connector.Stamp
	// arrived is when the last record or deletion in this order arrived, on the clock of package
	// timekeeper.
	arrived time.Time
}

// isFresh reports whether an item replaces that of the table, and records its stamp. The caller
// must hold t.mu.
func (t *Table) isFresh(i connector.Item, arrived time.Time) bool {
	if i.Value == nil && i.Stamp != nil {
		t.learnStamp(i.Key, *i.Stamp, arrived)
	}
	old, ok := t.items[i.Key]
	switch {
	case ok && !old.Lost && i.Offset <= old.Offset:
		return false
	case ok && old.Lost && i.Value != nil && bytes.Equal(old.Value, i.Value):
		t.set(i)
		return false
	case ok && (old.Lost || i.Value == nil && old.Value != nil) && t.outlasts(old, i, arrived):
		t.markLost(i.Key)
		return false
	}
	if i.Value == nil {
		t.renewStamp(i.Key, arrived)
		return true
	}
	return t.isStampFresh(i, arrived)
}

// isStampFresh reports whether an item isn't outdated by its stamp, and records the stamp. The
// caller must hold t.mu.
func (t *Table) isStampFresh(i connector.Item, arrived time.Time) bool {
	if t.Stamp == nil {
		return true
	}
	old, ok := t.items[i.Key]
	s, stamped := t.Stamp(i.Key, i.Value)
	if !stamped {
		return true
	}
	if t.isOutdated(s, i.Key, ok && old.Value == nil, arrived) {
		if t.Outdated != nil {
			t.Outdated(i)
		}
		return false
	}
	t.setStamp(i.Key, newestStamp{s, arrived})
	return true
}

// isOutdated reports whether a record with the stamp was written before the newest one of its
// key, or, if the key is deleted, no later than that. The caller must hold t.mu.
func (t *Table) isOutdated(s connector.Stamp, key string, deleted bool, arrived time.Time) bool {
	newest, ok := t.stamps[key]
	if !ok || arrived.Sub(newest.arrived) > maxWriteDelay {
		return false
	}
	order := s.Compare(newest.Stamp)
	return order < 0 || order == 0 && deleted
}

// learnStamp records a stamp that another process knows. The caller must hold t.mu.
func (t *Table) learnStamp(key string, s connector.Stamp, arrived time.Time) {
	if newest, ok := t.stamps[key]; !ok || s.Compare(newest.Stamp) > 0 {
		t.setStamp(key, newestStamp{s, arrived})
	}
}

// renewStamp records that the key was deleted. The caller must hold t.mu.
func (t *Table) renewStamp(key string, arrived time.Time) {
	if newest, ok := t.stamps[key]; ok {
		t.setStamp(key, newestStamp{newest.Stamp, arrived})
	}
}

func (t *Table) setStamp(key string, s newestStamp) {
	if t.stamps == nil {
		t.stamps = make(map[string]newestStamp)
	}
	t.stamps[key] = s
}
