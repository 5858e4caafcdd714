package follower

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// fold is what the records of the log give in an epoch above the first.
type fold struct {
	state *registrar.State
	pos   position
	// next is the offset of the next read.
	next   uint64
	joiner beginningJoiner
	// recent holds the latest records.
	recent []recorder.Record
	// caughtUp is set once a read has reached the end of the log.
	caughtUp bool
	// hasBeginning is set once the beginning of the epoch is in effect.
	hasBeginning bool
	// held is the State that was in effect before the epoch began, and objects is set if a beginning
	// of the epoch lacks records of it.
	held    *registrar.State
	objects bool
	// begun is when the epoch was first seen, and due when a beginning is to be written.
	begun, due time.Time
	// failed is set while appends of a beginning fail, of which only the first one is logged.
	failed bool
}

// hold updates the State that was in effect before the epoch. Records of that epoch may still
// arrive from peers; revisions that are further away are of a later one.
func (o *fold) hold(s *registrar.State) {
	if s.Offset > o.held.Offset && s.Offset-o.held.Offset < revisionStride {
		o.held = s
	}
}

// accepts reports whether a beginning replaces the State. All readers of the log decide this from
// its records alone.
func (o *fold) accepts(b *beginning) bool {
	return b.state.Offset > o.state.Offset && (b.epoch > o.pos.epoch || b.epoch == o.pos.epoch && b.basis > o.pos.basis)
}

// apply applies one record to the State and returns the beginning that replaced it, or nil.
func (o *fold) apply(offset uint64, body []byte) (*beginning, error) {
	revision := offset + o.pos.shift
	if isBeginningPart(body) {
		if b := o.joiner.add(offset, body); b != nil && o.accepts(b) {
			o.state = b.state
			o.pos = position{epoch: b.epoch, basis: b.basis, revision: b.state.Offset, shift: b.state.Offset - offset}
			return b, nil
		}
		o.state = o.state.Skip(revision)
		return nil, nil
	}
	o.joiner = beginningJoiner{}
	v, err := recorder.Decode(body)
	if errors.Is(err, recorder.ErrNewerFormat) {
		return nil, &Error{Op: "apply record", Kind: classifier.Refused, Err: errors.Wrapf(err, "offset %d", offset)}
	}
	if err != nil {
		o.state = o.state.Skip(revision)
		return nil, nil
	}
	o.state, _ = o.state.Apply(revision, v)
	if o.recent = append(o.recent, v); len(o.recent) > recentRecords {
		o.recent = o.recent[1:]
	}
	return nil, nil
}

// beginWith returns the State with which this process begins the epoch, and its basis: the State
// that was in effect before it and the records of the log that this lacks.
func (o *fold) beginWith(epoch uint64) (s *registrar.State, basis uint64) {
	stride := o.strideTo(epoch)
	s, basis = o.held, o.held.Offset
	if s.Offset == 0 {
		return o.state.Skip(o.state.Offset + stride), 0
	}
	for i := range o.recent {
		if _, ok := s.Operation(o.recent[i].Operation); !ok {
			s, _ = s.Apply(s.Offset+1, o.recent[i])
		}
	}
	return s.Skip(max(s.Offset, o.state.Offset) + stride), basis
}

// strideTo returns the distance of the revision of a new beginning of the epoch from those that are
// known. Later beginnings than the last one in the log may be lost, also those of epochs in between,
// and agents ignore a State whose revision is not above theirs.
func (o *fold) strideTo(epoch uint64) uint64 {
	known := max(o.pos.epoch, firstEpoch)
	if epoch <= known {
		return revisionStride
	}
	return (epoch - known) * beginningsPerEpoch * revisionStride
}
