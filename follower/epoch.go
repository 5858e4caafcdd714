package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

const (
	// firstEpoch is the epoch of a log that never returned from an older copy.
	firstEpoch = 1
	// revisionStride is the distance of the revisions of two epochs. It exceeds the number of
	// records that a process may have read and the writer of a beginning has not.
	revisionStride = 1 << 20
	// beginningsPerEpoch is the number of beginnings of one epoch that the log may have lost. An
	// epoch has one for each gateway that holds more records than the writers before it, which are
	// a few at most.
	beginningsPerEpoch = 16
	// revisionsOfFirstEpoch is below all revisions of later epochs. A log of changes by operators has
	// fewer records in its first epoch: at one in 2 s it would reach this number after a year.
	revisionsOfFirstEpoch = beginningsPerEpoch * revisionStride
	// recentRecords is the number of newest records among which those of an epoch that has no
	// beginning yet are found. A State remembers the operations of at least 3,840 records, so it
	// knows those that precede the epoch even if a copy that is seconds old lacks 2,800.
	recentRecords = 1024
	// beginDelay precedes the first beginning that is written in an epoch, so that records that
	// only some gateways have read reach the others first. beginSpread spreads gateways so
	// that the others mostly read the first one before they write.
	beginDelay  = 1500 * time.Millisecond
	beginSpread = 4 * time.Second
	// startDelay is beginDelay for a process that has just started: it knows only what the log
	// has, so that processes that know more come first.
	startDelay = 8 * time.Second
	// behindDelay is the time for which a process that is behind a peer writes no beginning.
	behindDelay = 8 * time.Second
	// beginRetry is the time to the next attempt to write a beginning.
	beginRetry = time.Second
)

// position relates the revisions to the offsets of the log in one epoch. The zero value is that of
// the first epoch, in which they are equal.
type position struct {
	// epoch and basis are those of the beginning, and revision is the first revision behind it.
	epoch, basis, revision uint64
	// shift is the revision of a record less its offset.
	shift uint64
}

// begin begins an epoch in which the log may lack records that were applied. What they changed
// stays in effect while the log is read again.
func (f *Follower) begin(epoch uint64) {
	s := f.Replica.Current()
	if f.epoch != 0 {
		f.Replica.Log.Error().Uint64("epoch", epoch).Uint64("previous", f.epoch).Uint64("revision", s.Offset).
			Msg("log returned from an older copy, its configuration is read again")
	}
	now := f.now()
	delay := beginDelay
	if s.Offset == 0 {
		delay = startDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = epoch
	f.fold = &fold{state: new(registrar.State), held: s, next: 1, begun: now, due: now.Add(delay + rand.N(beginSpread))}
}

// pollFold reads and applies the next records in an epoch above the first.
func (f *Follower) pollFold(ctx context.Context) error {
	o := f.fold
	wait := pollWait
	switch {
	case !o.caughtUp:
		wait = 0
	case !o.hasBeginning:
		wait = min(wait, max(o.due.Sub(f.now()), minBackoff))
	}
	b, err := f.read(ctx, o.next, wait, f.restoreFold)
	if b == nil || err != nil {
		return err
	}
	for _, v := range b.Entries {
		if err := f.applyToFold(v); err != nil {
			return err
		}
	}
	o.caughtUp = o.caughtUp || len(b.Entries) == 0
	if o.hasBeginning {
		if b.Next > 0 && len(b.Entries) < readLimit {
			f.Replica.ObserveLogEnd(b.Next - 1 + o.pos.shift)
		}
		return nil
	}
	if o.caughtUp && len(b.Entries) == 0 {
		return f.writeBeginning(ctx)
	}
	return nil
}

// applyToFold applies a record to the fold, and to the Replica if the epoch has its beginning.
func (f *Follower) applyToFold(v connector.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.fold
	if v.Offset != o.next {
		return &Error{Op: "apply record", Kind: classifier.Refused, Err: errors.Wrapf(ErrGap, "want %d, got %d", o.next, v.Offset)}
	}
	revision := v.Offset + o.pos.shift
	b, err := o.apply(v.Offset, v.Body)
	if err != nil {
		return err
	}
	o.next = v.Offset + 1
	switch {
	case b != nil && b.epoch == f.epoch:
		f.adopt()
	case o.hasBeginning:
		return f.Replica.Apply(revision, v.Body)
	}
	return nil
}

// adopt puts the State of the fold in effect, which has the beginning of the epoch. It doesn't if
// this process holds records that the writer of the beginning had not read; it then writes another
// one with a higher basis.
func (f *Follower) adopt() {
	o := f.fold
	o.hold(f.Replica.Current())
	held := o.held.Offset
	l := f.Replica.Log.Info().Uint64("epoch", f.epoch).Uint64("offset", o.next-1).Uint64("basis", o.pos.basis).
		Uint64("revision", o.state.Offset).Uint64("held", held)
	o.hasBeginning = o.hasBeginning || held <= o.pos.basis || held >= o.pos.revision
	if !o.hasBeginning {
		o.objects, o.due = true, f.now()
		l.Msg("beginning of the epoch lacks records that are in effect here")
		return
	}
	f.Replica.Install(o.state)
	o.recent = nil
	l.Msg("configuration continues in a new epoch of the log")
	if n := lostOperations(o.held, o.state); n > 0 {
		f.Replica.Log.Error().Uint64("epoch", f.epoch).Int("changes", n).Uint64("held", held).
			Msg("changes that were in effect here are lost, operators have to repeat them")
	}
}

// lostOperations returns the number of accepted operations of a State that a later one doesn't know.
// Operations that the later one has forgotten as too old don't count.
func lostOperations(held, s *registrar.State) int {
	known := make(map[recorder.OperationID]bool)
	oldest := uint64(0)
	for _, block := range s.Operations {
		for i := range block {
			known[block[i].Operation] = true
		}
	}
	if len(s.Operations) > 0 && len(s.Operations[0]) > 0 {
		oldest = s.Operations[0][0].Offset
	}
	n := 0
	for _, block := range held.Operations {
		for i := range block {
			if v := &block[i]; v.Accepted && !known[v.Operation] && v.Offset >= oldest {
				n++
			}
		}
	}
	return n
}

// writeBeginning appends the beginning of the epoch once it is due. It takes effect when it is read.
func (f *Follower) writeBeginning(ctx context.Context) error {
	const op = "write beginning of epoch"
	o := f.fold
	now := f.now()
	if now.Before(o.due) {
		return nil
	}
	// Also while this process is behind: the reads until then wait for the time that is due.
	o.due = now.Add(beginRetry + rand.N(beginRetry))
	if !o.objects && f.Replica.IsBehind() && now.Sub(o.begun) < behindDelay {
		return nil
	}
	o.hold(f.Replica.Current())
	s, basis := o.beginWith(f.epoch)
	records, err := splitBeginning(s, f.epoch, basis, o.next-1)
	if err != nil {
		return err
	}
	_, err = f.Log.Append(ctx, connector.ConfigurationStream, records)
	if err == nil {
		o.failed = false
		f.Replica.Log.Info().Uint64("epoch", f.epoch).Uint64("basis", basis).Uint64("revision", s.Offset).Int("parts", len(records)).
			Msg("beginning of the epoch written")
		return nil
	}
	if !o.failed {
		o.failed = true
		f.Replica.Log.Warn().Uint64("epoch", f.epoch).Uint64("basis", basis).Int("parts", len(records)).Err(err).
			Msg("append of the beginning of the epoch failed, it is repeated")
	}
	if f.Replica.Current().Offset == 0 {
		// A log that is read but not written must not keep a process that starts from serving.
		f.Replica.Install(o.state)
		f.Replica.ObserveLogEnd(o.state.Offset)
	}
	return &Error{Op: op, Kind: classifier.Of(err), Err: err}
}

// restoreFold continues the fold from the newest snapshot in place of expired records.
func (f *Follower) restoreFold(ctx context.Context, first uint64) error {
	var n SnapshotReader
	s, err := n.Newest(ctx, f.Log)
	if err != nil {
		return err
	}
	if err := coversRecordsBefore(s, n.part, first); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.fold
	offset := n.part.logOffset()
	o.state, o.next, o.joiner = s, offset+1, beginningJoiner{}
	o.pos = position{epoch: n.part.Epoch, basis: n.part.Basis, revision: n.part.Begun, shift: s.Offset - offset}
	if o.pos.epoch == f.epoch {
		f.adopt()
	}
	return nil
}

// Split returns the records that carry a snapshot of a State of the Replica. It returns an error of
// kind Unavailable while the State's place in the log isn't known, after the log returned from an
// older copy.
func (f *Follower) Split(s *registrar.State) ([][]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.fold
	if o == nil {
		return Split(s)
	}
	if !o.hasBeginning || s.Offset < o.pos.revision || s.Offset-o.pos.shift >= o.next {
		return nil, &Error{Op: "write snapshot", Kind: classifier.Unavailable, Err: errors.Newf("the place of revision %d in the log isn't known", s.Offset)}
	}
	parts, err := splitParts(s)
	if err != nil {
		return nil, err
	}
	var out [][]byte
	for _, p := range parts {
		p.LogOffset, p.Epoch, p.Basis, p.Begun = s.Offset-o.pos.shift, o.pos.epoch, o.pos.basis, o.pos.revision
		out = append(out, mustMarshal(p))
	}
	return out, nil
}
