package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"sigs.k8s.io/yaml"

	"github.com/eelgrassdrift/eelgrassdrift/planner"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// script runs the commands of a testdata file on one State and one Planner.
type script struct {
	now   time.Time
	age   time.Duration
	state *registrar.State
	plan  planner.Planner
}

// apply applies a record whose changes are given in YAML, one per line.
func (s *script) apply(d *datadriven.TestData, author recorder.Name) string {
	r := recorder.Record{Format: recorder.Format, Operation: uuid.UUID{15: byte(s.state.Offset + 1)}, Author: author}
	for _, l := range strings.Split(d.Input, "\n") {
		l = strings.ReplaceAll(l, "D1", strings.Repeat("a1", 32))
		j, err := yaml.YAMLToJSONStrict([]byte(l))
		if err != nil {
			return err.Error() + "\n"
		}
		var c recorder.Change
		if err := recorder.DecodeStrict(j, &c); err != nil {
			return err.Error() + "\n"
		}
		r.Changes = append(r.Changes, c)
	}
	n, o := s.state.Apply(s.state.Offset+1, r)
	s.state = n
	if !o.Accepted {
		return fmt.Sprintf("%d %s\n", o.Offset, o.Reason)
	}
	return fmt.Sprintf("%d accepted\n", o.Offset)
}

// views parses lines of "instance domain version ready|busy [applied]".
func views(input string) []planner.Endpoint {
	var out []planner.Endpoint
	for _, l := range strings.Split(input, "\n") {
		v := planner.Endpoint{Model: "assistant"}
		var ready string
		_, _ = fmt.Sscan(l, &v.Instance, &v.FailureDomain, &v.Version, &ready, &v.Applied)
		if v.Ready = ready == "ready"; v.Instance != "" {
			out = append(out, v)
		}
	}
	return out
}

// The scripts check when a gateway appends changes on its own. A step that begins
// too early takes more endpoints out of service than the operators allowed, and a
// grant that is revoked too early lets two holders be out at once. Neither may be
// decided on a State that is out of date.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_800_000_000, 0), state: new(registrar.State)}
		s.plan = planner.Planner{
			Self: "gateway-1", Gateways: func() []recorder.Name { return []recorder.Name{"gateway-1"} },
			Age: func() time.Duration { return s.age }, Margin: 5 * time.Second,
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "apply":
				by := "anna"
				d.MaybeScanArgs(t, "by", &by)
				return s.apply(d, recorder.Name(by))
			case "observe":
				var after, age string
				d.MaybeScanArgs(t, "after", &after)
				d.MaybeScanArgs(t, "age", &age)
				step, _ := time.ParseDuration(after)
				s.age, _ = time.ParseDuration(age)
				s.now = s.now.Add(step)
				return list(s.plan.Observe(s.now, s.state, views(d.Input)))
			}
			return "unknown command\n"
		})
	})
}

func list(changes []recorder.Change) string {
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "%s", c.Kind)
		if c.Release != nil {
			fmt.Fprintf(&b, " grant=%d: %s\n", c.Release.Grant, c.Release.Message)
			continue
		}
		fmt.Fprintf(&b, " %s step=%d expect=%d: %s\n", c.Object, c.Step, *c.Expect, c.Reason)
	}
	if len(changes) == 0 {
		return "nothing\n"
	}
	return b.String()
}
