package instances

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxGone bounds the remembered removals. A poll with an older version gets the
// whole list.
const maxGone = 1000

// change is one registration or removal that is not visible yet.
type change struct {
	at  time.Time
	row connector.Instance
}

// row is a visible instance with the version of its last change.
type row struct {
	connector.Instance
	version uint64
}

// table is the list. The zero value is empty.
type table struct {
	// version is the version of the last visible change.
	version uint64
	rows    map[recorder.Name]row
	pending []change
	// forgotten is the highest version of a removal that is not remembered.
	forgotten uint64
}

func (t *table) put(now time.Time, i connector.Instance) {
	t.pending = append(t.pending, change{now, i})
}

// advance makes the pending changes visible that are at least lag old, in the
// order in which they were made. It returns the time until the next is due, or
// -1 where none is pending.
func (t *table) advance(now time.Time, lag time.Duration) time.Duration {
	if t.rows == nil {
		t.rows = map[recorder.Name]row{}
	}
	for len(t.pending) > 0 {
		c := t.pending[0]
		if d := c.at.Add(lag).Sub(now); d > 0 {
			return d
		}
		t.pending = t.pending[1:]
		if c.row.State == connector.InstanceGone {
			old, ok := t.rows[c.row.Name]
			if !ok {
				continue
			}
			c.row = old.Instance
			c.row.State = connector.InstanceGone
		}
		t.version++
		t.rows[c.row.Name] = row{c.row, t.version}
	}
	t.forget()
	return -1
}

// forget drops the oldest removals above maxGone.
func (t *table) forget() {
	var gone []row
	for _, r := range t.rows {
		if r.State == connector.InstanceGone {
			gone = append(gone, r)
		}
	}
	slices.SortFunc(gone, byVersion)
	for _, r := range gone[:max(0, len(gone)-maxGone)] {
		t.forgotten = r.version
		delete(t.rows, r.Name)
	}
}

// since returns the changes after the version, or the whole list.
func (t *table) since(version uint64) connector.InstanceList {
	l := connector.InstanceList{
		Version: t.version, Instances: []connector.Instance{},
		Full: version == 0 || version > t.version || version < t.forgotten,
	}
	var rows []row
	for _, r := range t.rows {
		if l.Full && r.State != connector.InstanceGone || !l.Full && r.version > version {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, byVersion)
	for _, r := range rows {
		l.Instances = append(l.Instances, r.Instance)
	}
	return l
}

func byVersion(a, b row) int { return cmp.Compare(a.version, b.version) }
