package connector

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// MaxRetryAfter is the longest time that ParseRetryAfter returns. A faulty server must not
// keep its clients away for longer than it takes to restart it.
const MaxRetryAfter = time.Minute

// ParseRetryAfter parses a Retry-After header in seconds, which may have a fraction. A
// longer time than MaxRetryAfter, also an infinite one, is cut to it. A negative time, NaN,
// an HTTP date and any other text are errors; the time is then 0.
func ParseRetryAfter(v string) (time.Duration, error) {
	s, err := strconv.ParseFloat(v, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange), math.IsNaN(s), s < 0:
		return 0, errors.Newf("%s %.40q: not a time in seconds", header.RetryAfter, v)
	case s >= MaxRetryAfter.Seconds():
		return MaxRetryAfter, nil
	}
	return time.Duration(s * float64(time.Second)), nil
}
