package engine

import (
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Faults are the faults of the engine; the zero value is none. Restart, Crash
// and Cold are carried out once when they are set and are not read back.
type Faults struct {
	// Outage stops all calls; refuse answers 503.
	Outage standin.Outage `json:"outage,omitempty"`
	// Restart ends all requests, empties the engine and changes the boot id.
	Restart bool `json:"restart,omitempty"`
	// Crash is a restart after which connections are dropped for this time.
	Crash recorder.Duration `json:"crash,omitempty"`
	// Cold sets the capacity back to its cold value without a restart.
	Cold bool `json:"cold,omitempty"`
	// Fail answers chat requests with 500.
	Fail standin.Chance `json:"fail,omitzero"`
	// Slow multiplies the times of tokens; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// LoadError refuses each load order with this text.
	LoadError string `json:"load-error,omitempty"`
	// LoadDelay is added to the load time.
	LoadDelay recorder.Duration `json:"load-delay,omitempty"`
	// LoseLoads selects load orders that are carried out and whose connection
	// is then closed without an answer.
	LoseLoads standin.Chance `json:"lose-loads,omitzero"`
	// Misreport reads back a wrong digest.
	Misreport bool `json:"misreport,omitempty"`
	// IgnoreResume starts each answer at its first token, as an engine does that
	// doesn't know Eelgrass-Resume-From.
	IgnoreResume bool `json:"ignore-resume,omitempty"`
	// Streams are faults of chat answers; the first that selects an answer is used.
	Streams []StreamFault `json:"streams,omitempty"`
}

// maxFaults bounds the list of stream faults.
const maxFaults = 64

// Check reports the first wrong field.
func (f Faults) Check() error {
	if err := f.Outage.Check(); err != nil {
		return err
	}
	if err := standin.CheckCount("crash", f.Crash); err != nil {
		return err
	}
	if err := standin.CheckCount("load-delay", f.LoadDelay); err != nil {
		return err
	}
	if err := f.Fail.Check(); err != nil {
		return errors.Wrap(err, "field fail")
	}
	if err := f.LoseLoads.Check(); err != nil {
		return errors.Wrap(err, "field lose-loads")
	}
	if !(f.Slow >= 0 && f.Slow <= 1e6) {
		return errors.Newf("field slow: %v is not in 0 to 1e6", f.Slow)
	}
	if len(f.Streams) > maxFaults {
		return errors.Newf("field streams: %d faults; at most %d are allowed", len(f.Streams), maxFaults)
	}
	for i, s := range f.Streams {
		if err := s.Check(); err != nil {
			return errors.Wrapf(err, "field streams: fault %d", i)
		}
	}
	return nil
}
