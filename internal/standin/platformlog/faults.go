package platformlog

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Faults are the faults of the log; the zero value is none.
type Faults struct {
	// Outage stops all calls.
	Outage standin.Outage `json:"outage,omitempty"`
	// Delay is added before each answer, after the effect of the call.
	Delay recorder.Duration `json:"delay,omitempty"`
	// LoseAppends selects appends that happen and whose connection is then
	// closed without an answer.
	LoseAppends standin.Chance `json:"lose-appends,omitzero"`
}

// Check reports the first wrong field.
func (f Faults) Check() error {
	if err := f.Outage.Check(); err != nil {
		return err
	}
	if err := standin.CheckCount("delay", f.Delay); err != nil {
		return err
	}
	return errors.Wrap(f.LoseAppends.Check(), "field lose-appends")
}
