package service

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Faults are the faults of the service; the zero value is none.
type Faults struct {
	// Outage stops all calls before they have an effect.
	Outage standin.Outage `json:"outage,omitempty"`
	// DelayBefore is waited before the effect and DelayAfter after it.
	DelayBefore recorder.Duration `json:"delay-before,omitempty"`
	DelayAfter  recorder.Duration `json:"delay-after,omitempty"`
	// FailBefore selects bookings that are answered with 500 and have no effect.
	FailBefore standin.Chance `json:"fail-before,omitzero"`
	// FailAfter selects bookings that are made and whose connection is then
	// closed without an answer.
	FailAfter standin.Chance `json:"fail-after,omitzero"`
}

// Check reports the first wrong field.
func (f Faults) Check() error {
	if err := f.Outage.Check(); err != nil {
		return err
	}
	if err := standin.CheckCount("delay-before", f.DelayBefore); err != nil {
		return err
	}
	if err := standin.CheckCount("delay-after", f.DelayAfter); err != nil {
		return err
	}
	if err := f.FailBefore.Check(); err != nil {
		return errors.Wrap(err, "field fail-before")
	}
	return errors.Wrap(f.FailAfter.Check(), "field fail-after")
}
