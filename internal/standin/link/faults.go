package link

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Direction names the direction of bytes; empty means none.
type Direction string

// The directions.
const (
	Forward  Direction = "forward"
	Backward Direction = "backward"
	Both     Direction = "both"
)

// Check reports a value that is not allowed.
func (d Direction) Check() error {
	switch d {
	case "", Forward, Backward, Both:
		return nil
	}
	return errors.Newf("%q is not one of forward, backward, both", string(d))
}

// covers reports whether d is or includes the direction x.
func (d Direction) covers(x Direction) bool { return d == Both || d == x }

// Faults are the properties of the link; the zero value passes all at once.
type Faults struct {
	// BytesPerSecond is the rate in each direction; 0 sets no limit.
	BytesPerSecond float64 `json:"bytes-per-second,omitempty"`
	// Delay is the one-way latency.
	Delay recorder.Duration `json:"delay,omitempty"`
	// Stall holds bytes back and keeps the connections.
	Stall Direction `json:"stall,omitempty"`
	// Refuse closes the listening port; open connections go on.
	Refuse bool `json:"refuse,omitempty"`
	// Cut closes the open connections once when it is set. It is not read back.
	Cut bool `json:"cut,omitempty"`
	// Corrupt is the share of bytes that are changed, 0 to 1.
	Corrupt float64 `json:"corrupt,omitempty"`
}

// maxRate bounds the rate in bytes per second.
const maxRate = 1e12

// Check reports the first wrong field.
func (f Faults) Check() error {
	if !(f.BytesPerSecond >= 0 && f.BytesPerSecond <= maxRate) {
		return errors.Newf("field bytes-per-second: %v is not in 0 to %v", f.BytesPerSecond, maxRate)
	}
	if err := standin.CheckCount("delay", f.Delay); err != nil {
		return err
	}
	if err := f.Stall.Check(); err != nil {
		return errors.Wrap(err, "field stall")
	}
	return standin.CheckShare("corrupt", f.Corrupt)
}
