package guarder

import (
	"sort"
	"time"
	"unique"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// entry is the table's state of one key.
type entry struct {
	// offset, operation, process and request are those of the winning intent.
	offset     uint64
	operation  recorder.OperationID
	processRef unique.Handle[processRef]
	request    recorder.Digest
	// last is the log's time of the last intent for the key.
	last time.Time
	// historyKnown is set if the log can't have dropped an older intent for the
	// key from the window before the first known one.
	historyKnown bool
}

// appliedRecord is the key, log time and offset of a record that was applied.
type appliedRecord struct {
	key    recorder.Digest
	at     time.Time
	offset uint64
}

// table is the state derived from the intent stream. It depends only on the
// records and their log times, so that all agents whose history covers the
// window agree on the winners.
type table struct {
	window time.Duration
	// knownSince is the log time from which the history is known, or zero if the
	// whole stream is known.
	knownSince time.Time
	// retentionCovers is set if the log is declared to keep every record for at
	// least a window.
	retentionCovers bool
	keys            map[recorder.Digest]*entry
	// applied holds the applied records of the window in log order.
	applied []appliedRecord
}

func newTable(window time.Duration, knownSince time.Time, retentionCovers bool) *table {
	return &table{window: window, knownSince: knownSince, retentionCovers: retentionCovers, keys: map[recorder.Digest]*entry{}}
}

// covers reports whether the known history covers the window before at.
func (t *table) covers(at time.Time) bool {
	return t.knownSince.IsZero() || at.Sub(t.knownSince) >= t.window
}

// apply applies one record and reports whether the call of its intent may run.
func (t *table) apply(offset uint64, at time.Time, i *intent) bool {
	t.prune(at)
	t.applied = append(t.applied, appliedRecord{i.Key, at, offset})
	e := t.keys[i.Key]
	if e == nil || at.Sub(e.last) > t.window {
		// A takeover of an unknown intent may be valid for a reader with a longer
		// history, so it becomes the winner here, but its call may not run here.
		e = &entry{last: at, request: i.Request, historyKnown: i.Replaces == 0 && t.covers(at)}
		e.setWinner(offset, i)
		t.keys[i.Key] = e
		return i.Replaces == 0 && (e.historyKnown || t.retentionCovers)
	}
	if at.After(e.last) {
		e.last = at
	}
	valid := i.Replaces == e.offset && i.Request == e.request
	if i.Replaces == 0 || (e.historyKnown && !valid) {
		return false
	}
	e.setWinner(offset, i)
	return valid && e.historyKnown
}

// setWinner makes an intent the winner of the key.
func (e *entry) setWinner(offset uint64, i *intent) {
	e.offset, e.operation, e.processRef = offset, i.Operation, unique.Make(i.processRef())
	e.request = i.Request
}

// prune drops keys whose last intent is older than the window at log time now.
func (t *table) prune(now time.Time) {
	n := 0
	for n < len(t.applied) && now.Sub(t.applied[n].at) > t.window {
		m := t.applied[n]
		if e := t.keys[m.key]; e != nil && !e.last.After(m.at) {
			delete(t.keys, m.key)
		}
		n++
	}
	t.applied = t.applied[n:]
}

// windowTruncated reports whether the log, whose oldest offset is first, no
// longer has a record that is younger than the window.
func (t *table) windowTruncated(first uint64, now time.Time) bool {
	n := sort.Search(len(t.applied), func(i int) bool { return now.Sub(t.applied[i].at) <= t.window })
	return n < len(t.applied) && t.applied[n].offset < first
}
