package instances

import (
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Faults are the faults of the list; the zero value is none.
type Faults struct {
	// Outage stops all polls; registrations go on.
	Outage standin.Outage `json:"outage,omitempty"`
	// Delay is added before each answer to a poll.
	Delay recorder.Duration `json:"delay,omitempty"`
	// Lag is added to the configured lag.
	Lag recorder.Duration `json:"lag,omitempty"`
	// Freeze keeps changes from becoming visible.
	Freeze bool `json:"freeze,omitempty"`
}

// Check reports the first wrong field.
func (f Faults) Check() error {
	if err := f.Outage.Check(); err != nil {
		return err
	}
	if err := standin.CheckCount("delay", f.Delay); err != nil {
		return err
	}
	return standin.CheckCount("lag", f.Lag)
}
