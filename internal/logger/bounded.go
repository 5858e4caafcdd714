package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Bounds of the volume of a log.
const (
	// queuedLines is the number of lines that wait to be written; further ones
	// are dropped, so that a reader that is slow never blocks a request.
	queuedLines = 4096
	// writePause is the pause between two looks at the waiting lines.
	writePause = 50 * time.Millisecond
	// infoLines and warnLines bound the lines per second of each level. Failures
	// have a bound of their own, so that successes don't take their place.
	infoLines = 300
	warnLines = 200
)

// NewBounded returns a logger whose lines are written by another goroutine and
// whose volume is bounded. The closer writes what waits.
func NewBounded(w io.Writer, level string) (zerolog.Logger, io.Closer, error) {
	// Lines of several processes are put in order by their times.
	zerolog.TimeFieldFormat = timeFormat
	var l zerolog.Logger
	d := diode.NewWriter(w, queuedLines, writePause, func(missed int) {
		l.Error().Int("lines", missed).Msg("log-lines-dropped")
	})
	l, err := New(d, level)
	if err != nil {
		return l, d, err
	}
	return l.Sample(zerolog.LevelSampler{
		InfoSampler: &zerolog.BurstSampler{Burst: infoLines, Period: time.Second},
		WarnSampler: &zerolog.BurstSampler{Burst: warnLines, Period: time.Second},
	}), d, nil
}
