package engine

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
)

// StreamKind is a kind of fault in an answer.
type StreamKind string

// The kinds of stream fault. An answer that is not streamed knows only Cut and
// Stall, in the middle of its body.
const (
	// Cut closes the connection after the frame.
	Cut StreamKind = "cut"
	// Truncate ends the answer in order after the frame, without an end event.
	Truncate StreamKind = "truncate"
	// Stall sends nothing more after the frame and keeps the connection.
	Stall StreamKind = "stall"
	// Lose leaves out the frame.
	Lose StreamKind = "lose"
	// Repeat sends the frame twice.
	Repeat StreamKind = "repeat"
	// Swap sends the next frame before the frame.
	Swap StreamKind = "swap"
	// Insert sends a frame of another request before the frame.
	Insert StreamKind = "insert"
)

// StreamFault is a fault in the frames of an answer.
type StreamFault struct {
	Kind StreamKind `json:"kind"`
	// After is the number of sound frames before the fault.
	After int `json:"after,omitempty"`
	// Chance selects answers; the zero value selects all.
	Chance standin.Chance `json:"chance,omitzero"`
}

// Check reports the first wrong field.
func (f StreamFault) Check() error {
	switch f.Kind {
	case Cut, Truncate, Stall, Lose, Repeat, Swap, Insert:
	default:
		return errors.Newf("field kind: %q is not one of cut, truncate, stall, lose, repeat, swap, insert", string(f.Kind))
	}
	if err := standin.CheckCount("after", f.After); err != nil {
		return err
	}
	return f.Chance.Check()
}

// script returns the events of an answer from a sequence on, changed by the
// fault, which may be nil. End tells how the answer ends: by Cut, Stall or, where
// it is empty, in order.
func script(a Answer, id string, from int, f *StreamFault) (events [][]byte, end StreamKind) {
	for n := from; n < len(a.Tokens); n++ {
		events = append(events, a.Event(id, n))
	}
	if f != nil && f.After < len(events) {
		k := f.After
		switch f.Kind {
		case Cut, Stall:
			return events[:k], f.Kind
		case Truncate:
			return events[:k], ""
		case Lose:
			events = append(events[:k], events[k+1:]...)
		case Repeat:
			events = append(events[:k+1], events[k:]...)
		case Swap:
			if k+1 < len(events) {
				events[k], events[k+1] = events[k+1], events[k]
			}
		case Insert:
			alien := a.Event(fmt.Sprintf("%s-other", id), from+k)
			events = append(events[:k], append([][]byte{alien}, events[k:]...)...)
		}
	}
	return append(events, a.End(id)), ""
}
