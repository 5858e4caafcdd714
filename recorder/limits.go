package recorder

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of declared values. maxAccountLimit applies to the rate, burst and
// concurrency of a client account.
const (
	minOrderTimeout = time.Second
	maxOrderTimeout = time.Hour
	minTimeout      = 10 * time.Millisecond
	maxTimeout      = time.Hour
	minKeyWindow    = time.Second
	maxKeyWindow    = 7 * 24 * time.Hour
	minLease        = time.Second
	maxLease        = 24 * time.Hour
	maxAccountLimit = 1e6
	maxTextBytes    = 500
)

func checkDuration(field string, d Duration, low, high time.Duration) error {
	if d.Std() < low || d.Std() > high {
		return errors.Newf("field %s: %v is not in %v to %v", field, d.Std(), low, high)
	}
	return nil
}

func checkText(field, s string) error {
	if len(s) > maxTextBytes {
		return errors.Newf("field %s: %d bytes; at most %d are allowed", field, len(s), maxTextBytes)
	}
	return nil
}
