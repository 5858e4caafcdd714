package follower

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// Bounds of the records kept for peers. A peer that is further behind gets a
// snapshot.
const (
	maxTailRecords = 1024
	maxTailBytes   = 2 << 20
)

// RawRecord is an encoded record as stored in the log.
type RawRecord struct {
	Offset uint64
	Body   []byte
}

// Replica is one process's copy of the configuration. The zero value is empty
// and ready; it must not be copied.
type Replica struct {
	// Log gets one line for each applied record.
	Log zerolog.Logger

	state atomic.Pointer[registrar.State]
	// logEnd is the highest offset that exists; it may be above the applied one.
	logEnd   atomic.Uint64
	caughtUp atomic.Bool

	mu sync.Mutex
	// tail holds the latest records, without gaps, ending at the State's offset.
	tail      []RawRecord
	tailBytes int
	changed   chan struct{}
	// halted is set once a record has a newer format; nothing is applied after it.
	halted error
}

// Current returns the State; never nil.
func (r *Replica) Current() *registrar.State {
	if s := r.state.Load(); s != nil {
		return s
	}
	return new(registrar.State)
}

// Changed returns a channel that is closed at the next change of the State.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// ObserveLogEnd records that the log reaches up to the offset. A replica that has
// applied the record at the offset counts as caught up.
func (r *Replica) ObserveLogEnd(offset uint64) {
	for {
		old := r.logEnd.Load()
		if offset <= old || r.logEnd.CompareAndSwap(old, offset) {
			break
		}
	}
	if r.Current().Offset >= offset {
		r.caughtUp.Store(true)
	}
}

// IsBehind reports whether records exist that are not applied.
func (r *Replica) IsBehind() bool { return r.Current().Offset < r.logEnd.Load() }

// CaughtUp reports whether the replica has at some time held all records that a
// source had.
func (r *Replica) CaughtUp() bool { return r.caughtUp.Load() }

// Apply applies one record. A record that is already applied is ignored; one
// after a gap gives ErrGap. A record that no reader can decode is skipped, one
// of a newer format halts the replica.
func (r *Replica) Apply(offset uint64, body []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.Current()
	switch {
	case offset <= s.Offset:
		return nil
	case r.halted != nil:
		return r.halted
	case offset > s.Offset+1:
		return &Error{Op: "apply record", Kind: classifier.Refused, Err: errors.Wrapf(ErrGap, "have %d, got %d", s.Offset, offset)}
	}
	n, err := r.applyBody(s, offset, body)
	if err != nil {
		return err
	}
	r.appendTail(RawRecord{Offset: offset, Body: body})
	r.publish(n)
	return nil
}

func (r *Replica) applyBody(s *registrar.State, offset uint64, body []byte) (*registrar.State, error) {
	if isBeginningPart(body) {
		return s.Skip(offset), nil
	}
	v, err := recorder.Decode(body)
	if errors.Is(err, recorder.ErrNewerFormat) {
		r.halted = &Error{Op: "apply record", Kind: classifier.Refused, Err: errors.Wrapf(err, "offset %d", offset)}
		r.Log.Error().Uint64("revision", offset).Err(err).Msg("record has a newer format, no further records are applied")
		return nil, r.halted
	}
	if err != nil {
		r.Log.Warn().Uint64("revision", offset).Err(err).Msg("skipped a record that can't be decoded")
		return s.Skip(offset), nil
	}
	n, o := s.Apply(offset, v)
	r.Log.Info().Uint64("revision", offset).Stringer("operation", v.Operation).Str("author", string(v.Author)).
		Bool("accepted", o.Accepted).Str("object", v.Changes[0].Key()).Str("change", string(v.Changes[0].Kind)).
		Int("changes", len(v.Changes)).Str("reason", o.Reason).Msg("record applied")
	return n, nil
}

func (r *Replica) appendTail(v RawRecord) {
	r.tail = append(r.tail, v)
	r.tailBytes += len(v.Body)
	for len(r.tail) > maxTailRecords || r.tailBytes > maxTailBytes {
		r.tailBytes -= len(r.tail[0].Body)
		r.tail[0] = RawRecord{}
		r.tail = r.tail[1:]
	}
}

// Install replaces the State with that of a snapshot. A State that is not later is
// ignored.
func (r *Replica) Install(s *registrar.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Offset <= r.Current().Offset {
		return
	}
	r.tail, r.tailBytes = nil, 0
	r.Log.Info().Uint64("revision", s.Offset).Msg("snapshot installed")
	r.publish(s)
}

func (r *Replica) publish(s *registrar.State) {
	r.state.Store(s)
	if b := r.logEnd.Load(); b != 0 && s.Offset >= b {
		r.caughtUp.Store(true)
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// After returns the records above the offset, and false where the replica no
// longer has them all.
func (r *Replica) After(offset uint64) ([]RawRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.Current()
	if offset >= s.Offset {
		return nil, true
	}
	if len(r.tail) == 0 || r.tail[0].Offset > offset+1 {
		return nil, false
	}
	return append([]RawRecord(nil), r.tail[offset+1-r.tail[0].Offset:]...), true
}
