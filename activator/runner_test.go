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

func newRecord(author recorder.Name, c ...recorder.Change) recorder.Record {
	return recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: author, At: time.Now(), Changes: c}
}

// applyRecord applies a record, which must be accepted.
func applyRecord(t *testing.T, r *follower.Replica, n recorder.Record) registrar.Outcome {
	t.Helper()
	b, err := n.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Apply(r.Current().Offset+1, b); err != nil {
		t.Fatal(err)
	}
	o, ok := r.Current().Operation(n.Operation)
	if !ok || !o.Accepted {
		t.Fatalf("record of %s rejected: %v", n.Author, o.Err())
	}
	return o
}

// startRollout starts a rollout of version v2 of model m and returns version v1.
func startRollout(t *testing.T, r *follower.Replica) recorder.Version {
	t.Helper()
	v1, v2 := version("v1").Version, version("v2").Version
	v1.Manifest, v2.Manifest = v1.Digest, v2.Digest
	applyRecord(t, r, newRecord("anna",
		recorder.Change{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "d", Region: "r"}},
		recorder.Change{Kind: recorder.PutModel, Model: &recorder.Model{Name: "m", OrderTimeout: recorder.Duration(time.Minute)}},
		recorder.Change{Kind: recorder.PutVersion, Version: &v1}, recorder.Change{Kind: recorder.PutVersion, Version: &v2},
		recorder.Change{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{
			Name: "x", Model: "m", Version: "v2", MaxOut: 1, Lease: recorder.Duration(time.Hour),
		}}))
	return v1
}

// Guards against waiting endpoints that request a grant each second although
// MaxOut endpoints of the failure domain are already out of service. Every such
// request is rejected, and those of 590 endpoints exceed the log's append rate.
func TestRunnerAsksForNoGrantWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &follower.Replica{Log: zerolog.Nop()}
		apply := func(author recorder.Name, c ...recorder.Change) { applyRecord(t, r, newRecord(author, c...)) }
		v1 := startRollout(t, r)
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

// Guards against load orders after the end of a lease: the clock of time.Now stands still while
// the machine is suspended, and another endpoint may have a grant by then.
func TestRunnerLeaseEndsInSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &follower.Replica{Log: zerolog.Nop()}
		v1 := startRollout(t, r)
		r.ObserveLogEnd(r.Current().Offset)
		var suspended time.Duration
		ordered, released := false, false
		run := &activator.Runner{
			Instance: "self", FailureDomain: "d", Model: "m", Replica: r, Gate: new(activator.Gate),
			LeaseNow: func() time.Time { return time.Now().Add(suspended) },
			Engine: &connector.Engine{
				State: func(context.Context) (connector.EngineState, error) {
					return connector.EngineState{BootID: "b", Model: "m", Version: "v1", Digest: v1.Digest.String()}, nil
				},
				Load: func(context.Context, connector.LoadOrder) (connector.EngineState, error) {
					ordered = true
					return connector.EngineState{}, context.DeadlineExceeded
				},
			},
			Submit: func(_ context.Context, n recorder.Record) (registrar.Outcome, error) {
				if released = released || n.Changes[0].Kind == recorder.ReleaseGrant; released {
					return registrar.Outcome{}, context.DeadlineExceeded
				}
				o := applyRecord(t, r, n)
				suspended = 2 * time.Hour
				return o, nil
			},
			HasChunks: func(*registrar.Version) bool { return true },
			Keep:      func([]*registrar.Version) {},
			Source:    func(*registrar.Version) string { return "" },
			Warm:      func(context.Context, *registrar.Version) error { return nil },
			Cold:      func(string) {}, Changed: func() {}, Log: zerolog.Nop(),
		}
		run.Init()
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		_ = run.Run(ctx)
		if ordered || !released {
			t.Errorf("ordered a load: %t, released the grant: %t, want only the release", ordered, released)
		}
	})
}
