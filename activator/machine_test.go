package activator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/eelgrassdrift/eelgrassdrift/activator"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// Guards against load orders that are sent before all chunks are verified, with
// requests in flight, without a grant, or after the end of the lease.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide.txt", func(t *testing.T, d *datadriven.TestData) string {
		in := inputs(t, d)
		n := activator.Decide(&in)
		s := fmt.Sprintf("state=%s action=%s", n.State, n.Action.Kind)
		if v := n.Action.Version; v != nil {
			s += " version=" + string(v.Name)
		}
		if n.Action.Fencing != 0 {
			s += fmt.Sprintf(" fencing=%d", n.Action.Fencing)
		}
		if n.Action.Kind == activator.Release {
			s += fmt.Sprintf(" ok=%t message=%q", n.Action.OK, n.Action.Message)
		}
		return s + "\n"
	})
}

func version(name string) *registrar.Version {
	if name == "" {
		return nil
	}
	return &registrar.Version{Version: recorder.Version{
		Model: "m", Name: recorder.Name(name), Digest: recorder.DigestOf([]byte(name)), Size: 1,
	}}
}

// inputs returns the inputs of a decision from the arguments of a test command.
// Times are in seconds from now.
func inputs(t *testing.T, d *datadriven.TestData) activator.Inputs {
	arg := func(key string) string {
		var s string
		d.MaybeScanArgs(t, key, &s)
		return s
	}
	seconds := func(key string) int64 {
		var n int64
		d.MaybeScanArgs(t, key, &n)
		return n
	}
	now := time.Unix(1_000_000, 0)
	in := activator.Inputs{
		Now:       now,
		Model:     &registrar.Model{Model: recorder.Model{Name: "m", Fencing: recorder.Fencing(arg("fencing")), OrderTimeout: recorder.Duration(time.Minute)}},
		Target:    registrar.Target{Version: version(arg("target")), Offset: 10},
		Prefetch:  version(arg("prefetch")),
		Known:     func(n recorder.Name) *registrar.Version { return version(string(n)) },
		HasChunks: func(v *registrar.Version) bool { return string(v.Name) == arg("chunks") || arg("chunks") == "all" },
		InFlight:  int(seconds("in-flight")),
		Open:      arg("open") != "", Serving: recorder.Name(arg("open")),
		WarmBootID: arg("warm"), WarmVersion: recorder.Name(arg("warm-version")),
		Failure: arg("failure"), Leaving: d.HasArg("leaving"),
		Applied:             uint64(seconds("applied")),
		NoOrderBefore:       now.Add(time.Duration(seconds("no-order")) * time.Second),
		PredecessorOrderEnd: now.Add(time.Duration(seconds("quiet")) * time.Second),
	}
	if e := arg("engine"); e != "" {
		in.EngineRead = true
		in.Engine = connector.EngineState{BootID: "b1", Loading: d.HasArg("loading"), Fencing: uint64(seconds("engine-fencing"))}
		if e != "nothing" {
			in.Engine.Model, in.Engine.Version, in.Engine.Digest = "m", recorder.Name(e), version(e).Digest.String()
		}
		if d.HasArg("mixed") {
			in.Engine.Digest = "0"
		}
	}
	if p := arg("rollout"); p != "" {
		in.Target.GrantRollout = &registrar.Rollout{Phase: registrar.Phase(p)}
	}
	if g := arg("grant"); g != "" {
		in.Grant = &registrar.Grant{Grant: recorder.Grant{Version: recorder.Name(g)}, Offset: 20}
		in.GrantEnd = now.Add(time.Duration(seconds("lease")) * time.Second)
	}
	return in
}
