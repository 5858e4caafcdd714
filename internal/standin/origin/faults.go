package origin

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Faults are the faults of the origin; the zero value is none.
type Faults struct {
	// Outage stops all reads; blobs can still be stored.
	Outage standin.Outage `json:"outage,omitempty"`
	// Delay is added before the first byte of each answer.
	Delay recorder.Duration `json:"delay,omitempty"`
	// Corrupt selects replies in which one byte is changed.
	Corrupt standin.Chance `json:"corrupt,omitzero"`
	// Cut selects replies that end in the middle with a closed connection.
	Cut standin.Chance `json:"cut,omitzero"`
}

// Check reports the first wrong field.
func (f Faults) Check() error {
	if err := f.Outage.Check(); err != nil {
		return err
	}
	if err := standin.CheckCount("delay", f.Delay); err != nil {
		return err
	}
	if err := f.Corrupt.Check(); err != nil {
		return errors.Wrap(err, "field corrupt")
	}
	return errors.Wrap(f.Cut.Check(), "field cut")
}
