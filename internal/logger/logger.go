package logger

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes key=value lines to w. The level is one of
// debug, info, warn, error.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	c := zerolog.ConsoleWriter{
		Out: w, NoColor: true, TimeFormat: time.RFC3339Nano,
		FormatTimestamp: formatPair("time"),
		FormatLevel:     formatPair("level"),
		FormatMessage:   formatPair("event"),
	}
	return zerolog.New(c).Level(l).With().Timestamp().Logger(), nil
}

// formatPair returns a formatter that writes key=value and quotes values with spaces,
// control characters, quotes or equals signs.
func formatPair(key string) zerolog.Formatter {
	return func(v any) string {
		if v == nil {
			return ""
		}
		s := fmt.Sprint(v)
		for i := range len(s) {
			if s[i] <= ' ' || s[i] == '"' || s[i] == '=' {
				s = strconv.Quote(s)
				break
			}
		}
		return key + "=" + s
	}
}
