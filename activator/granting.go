package activator

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// updateGrant sets the active grant of this instance and the end of its lease.
// The lease of a grant that another process of this instance took is not known
// here, so such a grant is only released.
func (r *Runner) updateGrant(s *registrar.State) {
	for id, end := range r.pending {
		if o, ok := s.Operation(id); ok {
			delete(r.pending, id)
			if o.Accepted {
				r.leases[o.Offset] = end
			}
		}
	}
	g := s.ActiveGrant(r.Instance)
	if g == nil || r.in.Grant == nil || g.Offset != r.in.Grant.Offset {
		r.in.Failure = ""
	}
	r.in.Grant = g
	if g != nil {
		r.in.GrantEnd = r.leaseEnd(g.Offset)
	}
}

// leaseEnd returns the end of a grant's lease on the clock of Now; the zero time if it isn't
// known.
func (r *Runner) leaseEnd(grant uint64) time.Time {
	end, ok := r.leases[grant]
	if !ok {
		return time.Time{}
	}
	return r.in.Now.Add(end.Sub(r.LeaseNow()))
}

// record returns a record with one change by this instance.
func (r *Runner) record(c recorder.Change) recorder.Record {
	return recorder.Record{
		Format: recorder.Format, Operation: uuid.New(), Author: r.Instance, At: r.Now(),
		Changes: []recorder.Change{c},
	}
}

// takeGrant requests a grant to load v.
func (r *Runner) takeGrant(ctx context.Context, v *registrar.Version) {
	t := r.in.Target.GrantRollout
	if r.Replica.Current().OutCount(r.Model, r.FailureDomain) >= t.MaxOut {
		// The grant would be rejected when its record is applied. If the records
		// were appended all the same, 590 waiting endpoints would use the log's
		// whole append rate.
		r.in.NoGrantBefore = r.Now().Add(jitter(grantBackoff))
		return
	}
	// The lease starts before the append, so that it ends in this process no
	// later than in any other.
	end := r.LeaseNow().Add(t.Lease.Std())
	n := r.record(recorder.Change{Kind: recorder.TakeGrant, Grant: &recorder.Grant{
		Holder: r.Instance, FailureDomain: r.FailureDomain, Rollout: t.Name, Version: v.Name, Lease: t.Lease,
	}})
	r.pending[n.Operation] = end
	c, stop := context.WithTimeout(ctx, submitTimeout)
	defer stop()
	o, err := r.Submit(c, n)
	if err == nil {
		err = o.Err()
	}
	e := r.Log.Info().Stringer("operation", n.Operation).Str("version", string(v.Name)).Uint64("revision", o.Offset)
	e.AnErr("reason", err).Bool("accepted", err == nil).Msg("grant requested")
	if err != nil {
		r.in.NoGrantBefore = r.Now().Add(jitter(grantBackoff))
		if classifier.Of(err) != classifier.OutcomeUnknown {
			delete(r.pending, n.Operation)
		}
	}
}

// release appends the release of a grant and reports whether it was accepted.
func (r *Runner) release(ctx context.Context, a Action) bool {
	n := r.record(recorder.Change{Kind: recorder.ReleaseGrant, Release: &recorder.Release{
		Grant: a.Grant.Offset, OK: a.OK, Message: truncateMessage(a.Message),
	}})
	c, stop := context.WithTimeout(ctx, submitTimeout)
	defer stop()
	o, err := r.Submit(c, n)
	if err == nil {
		err = o.Err()
	}
	r.Log.Info().Stringer("operation", n.Operation).Uint64("grant", a.Grant.Offset).Bool("ok", a.OK).
		Str("message", a.Message).AnErr("reason", err).Msg("grant released")
	if !a.OK {
		r.in.NoGrantBefore = r.Now().Add(jitter(grantBackoff))
	}
	return err == nil
}

// maxMessageBytes bounds the message of a release.
const maxMessageBytes = 500

func truncateMessage(s string) string { return s[:min(len(s), maxMessageBytes)] }
