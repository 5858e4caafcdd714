package isolator

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

const (
	// maxMessageEndings is the number of endings in one message, which fits into one datagram that
	// isn't fragmented.
	maxMessageEndings = 8
	// maxMessageHolds does the same for holds.
	maxMessageHolds = 1
	// maxAge is the age of the oldest ending that is sent.
	maxAge = time.Hour
	// maxProcessBytes is the length of the longest name of a process.
	maxProcessBytes = 80
)

// Ending says that a process ended while it had a request with the suspect.
type Ending struct {
	Suspect
	// Process names the process of the endpoint; it has at most 80 bytes and isn't empty.
	Process string `json:"process"`
	// Began is how long ago the request was sent to the process, Ended how long ago the process
	// ended. Neither is negative or above an hour, and Began isn't below Ended.
	Began time.Duration `json:"began"`
	Ended time.Duration `json:"ended"`
	// Served reports whether a request with the suspect was served since, so that the ending
	// doesn't count.
	Served bool `json:"served,omitempty"`
}

func (e *Ending) check(op string) error {
	if e.Ended < 0 || e.Began < e.Ended || e.Began > maxAge {
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("began %s and ended %s ago", e.Began, e.Ended)}
	}
	if e.Process == "" || len(e.Process) > maxProcessBytes {
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("field process: %d bytes", len(e.Process))}
	}
	return e.Suspect.check(op)
}

// Message holds endings and holds for other gateways.
type Message struct {
	// Endings holds at most 8 endings.
	Endings []Ending `json:"endings"`
	// Holds holds at most one hold. A message has an ending or a hold.
	Holds []Hold `json:"holds,omitempty"`
	// IsReminder reports whether all gateways were sent the hold before.
	IsReminder bool `json:"-"`
}

// UnmarshalJSON decodes a message. It returns an error of kind Invalid if the message holds
// nothing or too much, or an ending or a hold that can't be.
func (m *Message) UnmarshalJSON(b []byte) error {
	const op = "decode message"
	type plain Message
	var v plain
	if err := json.Unmarshal(b, &v); err != nil {
		return &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if n, k := len(v.Endings), len(v.Holds); n+k == 0 || n > maxMessageEndings || k > maxMessageHolds {
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("%d endings and %d holds", n, k)}
	}
	for i := range v.Endings {
		if err := v.Endings[i].check(op); err != nil {
			return err
		}
	}
	*m = Message(v)
	return nil
}
