package recorder

import (
	"github.com/cockroachdb/errors"
)

// maxSteps limits the steps of a rollout.
const maxSteps = 64

// Rollout changes the endpoints of a model to a version, step by step.
type Rollout struct {
	Name    Name `json:"name"`
	Model   Name `json:"model"`
	Version Name `json:"version"`
	// Steps are groups of failure domains, in the order in which they are updated.
	// No steps means one step with every failure domain.
	Steps [][]Name `json:"steps,omitempty"`
	// MaxOut is the number of endpoints of one failure domain that may be out
	// of service at once; at least 1.
	MaxOut int `json:"max-out"`
	// Lease is the time within which the holder of a grant must finish.
	Lease Duration `json:"lease"`
	// Reason is the operators' note.
	Reason string `json:"reason,omitempty"`
}

// Check returns an error for the first invalid field.
func (r *Rollout) Check() error {
	for _, f := range []struct {
		name  string
		value Name
	}{{"name", r.Name}, {"model", r.Model}, {"version", r.Version}} {
		if err := f.value.Check(); err != nil {
			return errors.Wrapf(err, "field %s", f.name)
		}
	}
	if len(r.Steps) > maxSteps {
		return errors.Newf("field steps: %d steps; at most %d are allowed", len(r.Steps), maxSteps)
	}
	for _, s := range r.Steps {
		if len(s) == 0 {
			return errors.New("field steps: a step names no failure domain")
		}
		for _, d := range s {
			if err := d.Check(); err != nil {
				return errors.Wrap(err, "field steps")
			}
		}
	}
	if r.MaxOut < 1 || r.MaxOut > 10_000 {
		return errors.Newf("field max-out: %d is not in 1 to 10000", r.MaxOut)
	}
	if err := checkDuration("lease", r.Lease, minLease, maxLease); err != nil {
		return err
	}
	return checkText("reason", r.Reason)
}

// Grant allows one endpoint to go out of service to change its version.
type Grant struct {
	// Holder is the name of the endpoint's instance.
	Holder        Name     `json:"holder"`
	FailureDomain Name     `json:"failure-domain"`
	Rollout       Name     `json:"rollout"`
	Version       Name     `json:"version"`
	Lease         Duration `json:"lease"`
}

// Check returns an error for the first invalid field.
func (g *Grant) Check() error {
	for _, f := range []struct {
		name  string
		value Name
	}{{"holder", g.Holder}, {"failure-domain", g.FailureDomain}, {"rollout", g.Rollout}, {"version", g.Version}} {
		if err := f.value.Check(); err != nil {
			return errors.Wrapf(err, "field %s", f.name)
		}
	}
	return checkDuration("lease", g.Lease, minLease, maxLease)
}

// Release ends a grant. The holder releases it, or a gateway revokes it after the
// lease has expired.
type Release struct {
	// Grant is the offset of the grant; at least 1.
	Grant uint64 `json:"grant"`
	// OK reports whether the endpoint serves the new version.
	OK bool `json:"ok"`
	// Message is the engine's refusal or the reason for the revocation.
	Message string `json:"message,omitempty"`
}

// Check returns an error for the first invalid field.
func (r *Release) Check() error {
	if r.Grant == 0 {
		return errors.New("field grant: an offset is needed")
	}
	return checkText("message", r.Message)
}
