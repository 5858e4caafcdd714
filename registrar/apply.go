package registrar

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Apply returns the State after the record at offset and the outcome of the
// record. A record whose operation is already known changes nothing but the
// offset, and its first outcome is returned. An offset that is not above
// s.Offset returns s unchanged.
func (s *State) Apply(offset uint64, r recorder.Record) (*State, Outcome) {
	first, known := s.Operation(r.Operation)
	if offset <= s.Offset {
		return s, first
	}
	if known {
		n := *s
		n.Offset = offset
		return &n, first
	}
	o := Outcome{Operation: r.Operation, Offset: offset, Accepted: true, Author: r.Author}
	d := &draft{next: *s, author: r.Author, offset: offset}
	for i := range r.Changes {
		err := s.checkBootstrap(r.Author)
		if err == nil {
			err = d.apply(&r.Changes[i])
		}
		if err == nil {
			continue
		}
		d = &draft{next: *s}
		o.Accepted, o.Kind, o.Reason = false, classifier.Of(err), rejectionReason(&r.Changes[i], err)
		break
	}
	n := d.next
	if d.reindex {
		n.index = newIndex(&n)
	}
	n.Offset = offset
	n.Operations = s.Operations.add(o)
	return &n, o
}

// checkBootstrap rejects a record that was written with the bootstrap key after
// operators were declared. A gateway that lags behind the log may still accept
// that key.
func (s *State) checkBootstrap(author recorder.Name) error {
	if author == recorder.Bootstrap && len(s.Operators) > 0 {
		return reject(classifier.Refused, "operators are declared, so the bootstrap key is not valid any more")
	}
	return nil
}

// Skip returns the State with the offset advanced past a record that no reader
// can decode.
func (s *State) Skip(offset uint64) *State {
	if offset <= s.Offset {
		return s
	}
	n := *s
	n.Offset = offset
	return &n
}

func rejectionReason(c *recorder.Change, err error) string {
	var e *Error
	if errors.As(err, &e) {
		err = e.Err
	}
	return string(c.Kind) + " " + c.Key() + ": " + err.Error()
}

// draft is a State under construction.
type draft struct {
	next   State
	author recorder.Name
	offset uint64
	// copied holds the names of the maps that next no longer shares with the
	// previous State.
	copied map[string]bool
	// reindex is set when the key index of next has to be rebuilt.
	reindex bool
}

// writable returns the map m, which is a field of d.next. It clones the map on
// its first use in the draft, because the previous State shares it.
func writable[K comparable, V any](d *draft, name string, m *map[K]V) map[K]V {
	if d.copied == nil {
		d.copied = make(map[string]bool)
	}
	if !d.copied[name] {
		d.copied[name] = true
		if *m = maps.Clone(*m); *m == nil {
			*m = make(map[K]V)
		}
	}
	return *m
}

// sortedEntries iterates over a map in the order of its keys. The reason for a
// rejection is part of the State, so it must not depend on Go's map order.
func sortedEntries[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

// checkRevision rejects a change whose expected revision is not have, the
// revision of the object or 0 where it does not exist.
func checkRevision(c *recorder.Change, have uint64) error {
	if c.Expect == nil || *c.Expect == have {
		return nil
	}
	if have == 0 {
		return reject(classifier.Conflict, "expected revision %d, but the object does not exist", *c.Expect)
	}
	return reject(classifier.Conflict, "expected revision %d, but the object has revision %d", *c.Expect, have)
}

func (d *draft) apply(c *recorder.Change) error {
	switch c.Kind {
	case recorder.PutModel:
		return d.putModel(c)
	case recorder.PutVersion:
		return d.putVersion(c)
	case recorder.PutFailureDomain:
		return d.putFailureDomain(c)
	case recorder.PutService:
		return d.putService(c)
	case recorder.PutClientAccount:
		return d.putClientAccount(c)
	case recorder.PutOperator:
		return d.putOperator(c)
	case recorder.TakeDomainOut, recorder.BringDomainIn:
		return d.setDomainOut(c)
	case recorder.DrainEndpoint, recorder.ReturnEndpoint:
		return d.setDrain(c)
	case recorder.TakeGrant:
		return d.takeGrant(c)
	case recorder.ReleaseGrant, recorder.RevokeGrant:
		return d.releaseGrant(c)
	case recorder.RemoveObject:
		return d.remove(c)
	case recorder.StartRollout:
		return d.startRollout(c)
	default:
		return d.transitionRollout(c)
	}
}
