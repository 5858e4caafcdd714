package direct

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// An operator has to see when less urgent requests begin and cease to wait for more urgent ones.
func TestLogWithheld(t *testing.T) {
	var b bytes.Buffer
	l := zerolog.New(&b)
	logWithheld(l, "s", 3.14159, true)
	logWithheld(l, "s", 0, false)
	for _, want := range []string{`"service":"s","slots":3.1,"message":"slots-reserved"`, `"service":"s","message":"slots-released"`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("log %q, want %q", b.String(), want)
		}
	}
}
