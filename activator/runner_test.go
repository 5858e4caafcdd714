package activator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/activator"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// Guards against waiting endpoints that request a grant each second although
// MaxOut endpoints of the failure domain are already out of service. Every such
// request is rejected, and those of 590 endpoints exceed the log's append rate.
func TestRunnerAsksForNoGrantWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &follower.Replica{Log: zerolog.Nop()}
		apply := func(author recorder.Name, c ...recorder.Change) {
			n := recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: author, At: time.Now(), Changes: c}
			b, err := n.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if err := r.Apply(r.Current().Offset+1, b); err != nil {
				t.Fatal(err)
			}
			if o, ok := r.Current().Operation(n.Operation); !ok || !o.Accepted {
				t.Fatalf("record of %s rejected: %v", author, o.Err())
			}
		}
		v1, v2 := version("v1").Version, version("v2").Version
		v1.Manifest, v2.Manifest = v1.Digest, v2.Digest
		apply("anna",
			recorder.Change{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "d", Region: "r"}},
			recorder.Change{Kind: recorder.PutModel, Model: &recorder.Model{Name: "m", OrderTimeout: recorder.Duration(time.Minute)}},
			recorder.Change{Kind: recorder.PutVersion, Version: &v1}, recorder.Change{Kind: recorder.PutVersion, Version: &v2},
			recorder.Change{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{
				Name: "x", Model: "m", Version: "v2", MaxOut: 1, Lease: recorder.Duration(time.Hour),
			}})
		apply("other", recorder.Change{Kind: recorder.TakeGrant, Grant: &recorder.Grant{
			Holder: "other", FailureDomain: "d", Rollout: "x", Version: "v2", Lease: recorder.Duration(time.Hour),
		}})
		taken := r.Current().Offset
		r.ObserveLogEnd(taken)
		asked := 0
		run := &activator.Runner{
			Instance: "self", FailureDomain: "d", Model: "m", Replica: r, Gate: new(activator.Gate),
			Engine: &connector.Engine{State: func(context.Context) (connector.EngineState, error) {
				return connector.EngineState{BootID: "b", Model: "m", Version: "v1", Digest: v1.Digest.String()}, nil
			}},
			Submit: func(context.Context, recorder.Record) (registrar.Outcome, error) {
				asked++
				return registrar.Outcome{}, context.DeadlineExceeded
			},
			HasChunks: func(*registrar.Version) bool { return true },
			Keep:      func([]*registrar.Version) {},
			Warm:      func(context.Context, *registrar.Version) error { return nil },
			Cold:      func(string) {}, Changed: func() {}, Log: zerolog.Nop(),
		}
		run.Init()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = run.Run(ctx)
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		if asked != 0 {
			t.Errorf("%d grants requested although MaxOut was reached", asked)
		}
		apply("other", recorder.Change{Kind: recorder.ReleaseGrant, Release: &recorder.Release{Grant: taken, OK: true}})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if asked == 0 {
			t.Error("no grant requested after another one was released")
		}
		stop()
		<-done
	})
}
