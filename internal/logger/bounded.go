package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Limits on the volume of a log.
const (
	// maxQueuedLines is the number of lines that may wait to be written. Lines
	// beyond it are dropped, so that a slow reader of the log never blocks a request.
	maxQueuedLines = 4096
	// pollInterval is the time between two polls of the queue.
	pollInterval = 50 * time.Millisecond
	// maxInfoPerSecond and maxWarnPerSecond limit the lines of each level.
	// Failures have their own limit, so that successes don't crowd them out.
	maxInfoPerSecond = 300
	maxWarnPerSecond = 200
)

// NewBounded returns a logger that writes its lines in another goroutine and limits
// their number. Closing the closer writes the queued lines.
func NewBounded(w io.Writer, level string) (zerolog.Logger, io.Closer, error) {
	// Lines of several processes are ordered by their timestamps.
	zerolog.TimeFieldFormat = timeFormat
	var l zerolog.Logger
	d := diode.NewWriter(w, maxQueuedLines, pollInterval, func(missed int) {
		l.Error().Int("lines", missed).Msg("log-lines-dropped")
	})
	l, err := New(d, level)
	if err != nil {
		return l, d, err
	}
	return l.Sample(zerolog.LevelSampler{
		InfoSampler: &zerolog.BurstSampler{Burst: maxInfoPerSecond, Period: time.Second},
		WarnSampler: &zerolog.BurstSampler{Burst: maxWarnPerSecond, Period: time.Second},
	}), d, nil
}
