package registrar_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"sigs.k8s.io/yaml"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// parseRecord reads one change in YAML from each line. Digests are written as
// D1, D2, D3.
func parseRecord(t *testing.T, d *datadriven.TestData, next uint64) (recorder.Record, error) {
	r := recorder.Record{Format: recorder.Format, Author: "anna", Operation: uuid.UUID{15: byte(next)}}
	if d.HasArg("by") {
		var by string
		d.ScanArgs(t, "by", &by)
		r.Author = recorder.Name(by)
	}
	if d.HasArg("operation") {
		var id int
		d.ScanArgs(t, "operation", &id)
		r.Operation = uuid.UUID{14: 1, 15: byte(id)}
	}
	for _, l := range strings.Split(d.Input, "\n") {
		for _, n := range []string{"1", "2", "3"} {
			l = strings.ReplaceAll(l, "D"+n, strings.Repeat("a"+n, 32))
		}
		j, err := yaml.YAMLToJSONStrict([]byte(l))
		if err != nil {
			return r, err
		}
		var c recorder.Change
		if err := recorder.DecodeStrict(j, &c); err != nil {
			return r, err
		}
		r.Changes = append(r.Changes, c)
	}
	return r, r.Check()
}

// The scripts guard the rules by which conflicting records are accepted or
// rejected. The State of a reader that decides otherwise differs from that of
// the other readers permanently.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := new(registrar.State)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "apply":
				r, err := parseRecord(t, d, s.Offset+1)
				if err != nil {
					return "invalid: " + err.Error() + "\n"
				}
				var o registrar.Outcome
				s, o = s.Apply(s.Offset+1, r)
				if o.Accepted {
					return fmt.Sprintf("%d accepted\n", o.Offset)
				}
				return fmt.Sprintf("%d %s: %s\n", o.Offset, o.Kind, o.Reason)
			case "target":
				var model, domain string
				d.ScanArgs(t, "model", &model)
				d.ScanArgs(t, "domain", &domain)
				v := s.Target(recorder.Name(model), recorder.Name(domain))
				if v.Version == nil {
					return "none\n"
				}
				return fmt.Sprintf("%s offset=%d rollout=%t\n", v.Version.Name, v.Offset, v.Rollout != nil)
			case "rollout":
				var name string
				d.ScanArgs(t, "name", &name)
				r := s.Rollouts[recorder.Name(name)]
				return fmt.Sprintf("%s step=%d revision=%d by=%s granted=%d succeeded=%d failed=%d in-a-row=%d\n",
					r.Phase, r.Step, r.Revision, r.LastBy, r.Granted, r.Succeeded, r.Failed, r.FailuresInRow)
			}
			return "unknown command\n"
		})
	})
}
