package explainer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/eelgrassdrift/eelgrassdrift/explainer"
)

// An on-call engineer has only the logs. Guards against a timeline that misses lines
// of the request or the state that its processes knew, is out of order in time, or
// has unrelated lines.
func TestExplain(t *testing.T) {
	datadriven.RunTest(t, "testdata/stories", func(t *testing.T, d *datadriven.TestData) string {
		var id string
		d.ScanArgs(t, "request", &id)
		s, err := explainer.Explain(id, strings.NewReader(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		var out strings.Builder
		for _, l := range s.Lines {
			mark := "*"
			if l.Background {
				mark = " "
			}
			fmt.Fprintf(&out, "%s %s %s %s %v\n", mark, l.Time.Format("05.000"), l.Instance, l.Event, l.Fields)
			if l.Note != "" {
				fmt.Fprintf(&out, "    %s\n", l.Note)
			}
		}
		return out.String()
	})
}

func FuzzParse(f *testing.F) {
	f.Add(`time=2026-01-01T00:00:00.5Z level=info event=request instance=a error="x y" request=1`)
	f.Fuzz(func(t *testing.T, s string) {
		if l, ok := explainer.Parse(s); ok && l.Event == "" {
			t.Fatal("Parse accepted a line without an event")
		}
	})
}
