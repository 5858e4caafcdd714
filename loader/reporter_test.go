package loader_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
)

// Guards against gateways that don't learn of a slow link, and send requests that arrive late.
func TestReportedLinkDelay(t *testing.T) {
	for d, want := range map[time.Duration]string{0: "", 300*time.Millisecond + 9: `"link-delay":"300ms"`} {
		var sent dispatcher.Report
		r := &loader.Reporter{
			Replica: new(engine).replica(), Log: zerolog.Nop(),
			Send:      func(r dispatcher.Report) { sent = r },
			LinkDelay: func() time.Duration { return d },
		}
		r.Read(t.Context())
		b, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		if s := string(b); !strings.Contains(s, want) || want == "" && strings.Contains(s, "link-delay") {
			t.Errorf("delay %s: got %s, want %s", d, s, want)
		}
	}
}
