package registrar

import (
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

func (d *draft) startRollout(c *recorder.Change) error {
	r := c.Rollout
	if old := d.next.Rollouts[r.Name]; old != nil {
		if isEqual(&old.Rollout, r) {
			return nil
		}
		return reject(classifier.Refused, "the rollout exists with revision %d; choose a new name", old.Revision)
	}
	if err := checkRevision(c, 0); err != nil {
		return err
	}
	m := d.next.Models[r.Model]
	if m == nil {
		return reject(classifier.NotFound, "model %q is not declared", r.Model)
	}
	if d.next.version(r.Model, r.Version) == nil {
		return reject(classifier.NotFound, "version %q of model %q is not declared", r.Version, r.Model)
	}
	if m.Active != "" {
		return reject(classifier.Refused, "rollout %q of model %q is %s", m.Active, r.Model, d.next.Rollouts[m.Active].Phase)
	}
	for _, s := range r.Steps {
		for _, n := range s {
			if d.next.FailureDomains[n] == nil {
				return reject(classifier.NotFound, "failure domain %q is not declared", n)
			}
		}
	}
	writable(d, "rollouts", &d.next.Rollouts)[r.Name] = &Rollout{
		Rollout: *r, Revision: d.offset, Phase: Running, From: m.Settled, TargetAt: d.offset,
		By: d.author, LastBy: d.author, LastReason: r.Reason,
	}
	n := *m
	n.Active = r.Name
	writable(d, "models", &d.next.Models)[n.Name] = &n
	return nil
}

// transitionRollout changes the phase or the step of a rollout.
func (d *draft) transitionRollout(c *recorder.Change) error {
	old := d.next.Rollouts[recorder.Name(c.Object)]
	if old == nil {
		return reject(classifier.NotFound, "rollout %q does not exist", c.Object)
	}
	if err := checkRevision(c, old.Revision); err != nil {
		return err
	}
	n := *old
	if err := n.transition(c, d.offset); err != nil {
		return err
	}
	if n.Phase != old.Phase {
		n.FailuresInRow = 0
	}
	n.Revision, n.LastBy, n.LastReason = d.offset, d.author, c.Reason
	writable(d, "rollouts", &d.next.Rollouts)[n.Name] = &n
	if !n.IsActive() {
		d.settleModel(&n)
	}
	return nil
}

func (r *Rollout) transition(c *recorder.Change, offset uint64) error {
	wrongPhase := reject(classifier.Refused, "the rollout is %s", r.Phase)
	switch c.Kind {
	case recorder.PauseRollout:
		if r.Phase != Running {
			return wrongPhase
		}
		r.Phase = Paused
	case recorder.ResumeRollout:
		if r.Phase != Paused {
			return wrongPhase
		}
		r.Phase = Running
	case recorder.ReverseRollout:
		if r.Phase != Running && r.Phase != Paused {
			return wrongPhase
		}
		if r.From == "" {
			return reject(classifier.Refused, "there is no earlier version to return to")
		}
		r.Phase, r.TargetAt = Reversing, offset
	case recorder.AdvanceRollout:
		if r.Phase != Running {
			return wrongPhase
		}
		if c.Step != r.Step+1 || r.IsLastStep() {
			return reject(classifier.Refused, "step %d does not follow step %d of %d", c.Step, r.Step, len(r.Steps))
		}
		r.Step, r.TargetAt = c.Step, offset
	case recorder.FinishRollout:
		return r.finish()
	}
	return nil
}

func (r *Rollout) finish() error {
	switch {
	case r.Phase == Reversing:
		r.Phase = Reversed
	case r.Phase == Running && r.IsLastStep():
		r.Phase = Done
	default:
		return reject(classifier.Refused, "the rollout is %s in step %d of %d", r.Phase, r.Step, len(r.Steps))
	}
	return nil
}

// settleModel ends the model's active rollout. The model keeps the version of the
// rollout or, after a reversal, the version before it.
func (d *draft) settleModel(r *Rollout) {
	m := *d.next.Models[r.Model]
	m.Active, m.SettledAt, m.SettledBy, m.Settled = "", d.offset, r.Name, r.Version
	if r.Phase == Reversed {
		m.Settled = r.From
	}
	writable(d, "models", &d.next.Models)[m.Name] = &m
}

func (d *draft) takeGrant(c *recorder.Change) error {
	g := c.Grant
	r := d.next.Rollouts[g.Rollout]
	if r == nil {
		return reject(classifier.NotFound, "rollout %q does not exist", g.Rollout)
	}
	if r.Phase == Paused {
		return reject(classifier.Refused, "rollout %q is %s", r.Name, r.Phase)
	}
	t := d.next.Target(r.Model, g.FailureDomain)
	if t.GrantRollout != r || t.Version == nil || t.Version.Name != g.Version {
		return reject(classifier.Refused, "version %q is not the target in failure domain %q", g.Version, g.FailureDomain)
	}
	// A holder has one grant at most, so the result of ActiveGrant does not depend
	// on the map order.
	if o := d.next.ActiveGrant(g.Holder); o != nil {
		return reject(classifier.Refused, "grant %d of the same holder is in force", o.Offset)
	}
	if out := d.next.OutCount(r.Model, g.FailureDomain); out >= r.MaxOut {
		return reject(classifier.Exhausted, "%d of %d endpoints of failure domain %q are out", out, r.MaxOut, g.FailureDomain)
	}
	writable(d, "grants", &d.next.Grants)[d.offset] = &Grant{Grant: *g, Offset: d.offset}
	n := *r
	n.Granted++
	writable(d, "rollouts", &d.next.Rollouts)[n.Name] = &n
	return nil
}

func (d *draft) releaseGrant(c *recorder.Change) error {
	g := d.next.Grants[c.Release.Grant]
	if g == nil {
		return reject(classifier.Refused, "grant %d is not in force", c.Release.Grant)
	}
	if c.Kind == recorder.ReleaseGrant && g.Holder != d.author {
		return reject(classifier.Refused, "grant %d belongs to %q", g.Offset, g.Holder)
	}
	delete(writable(d, "grants", &d.next.Grants), g.Offset)
	r := d.next.Rollouts[g.Rollout]
	if r == nil {
		return nil
	}
	n := *r
	if c.Kind == recorder.ReleaseGrant && c.Release.OK {
		n.Succeeded++
		n.FailuresInRow = 0
	} else {
		n.Failed++
		n.FailuresInRow++
		n.LastFailure = string(g.Holder) + ": " + c.Release.Message
	}
	writable(d, "rollouts", &d.next.Rollouts)[n.Name] = &n
	return nil
}
