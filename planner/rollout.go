package planner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// maxReasonBytes is the maximum length of the reason of a change.
const maxReasonBytes = 500

// dueRollouts returns the due change of each rollout, if any, sorted by the
// rollout's name.
func (p *Planner) dueRollouts(s *registrar.State, endpoints []Endpoint) []recorder.Change {
	var out []recorder.Change
	for _, r := range s.Rollouts {
		if r.Phase != registrar.Running && r.Phase != registrar.Reversing {
			continue
		}
		revision := r.Revision
		c := recorder.Change{Object: string(r.Name), Expect: &revision}
		switch {
		case r.Phase == registrar.Running && r.FailuresInRow > cmp.Or(p.MaxFailures, DefaultMaxFailures):
			c.Kind = recorder.PauseRollout
			c.Reason = truncateReason(fmt.Sprintf("%d endpoints in a row failed; the last: %s", r.FailuresInRow, r.LastFailure))
		case !isStepDone(s, r, endpoints):
			continue
		case r.Phase == registrar.Running && !r.IsLastStep():
			c.Kind, c.Step = recorder.AdvanceRollout, r.Step+1
			c.Reason = "every endpoint of the step serves the version"
		default:
			c.Kind, c.Reason = recorder.FinishRollout, "every endpoint serves the version"
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b recorder.Change) int { return cmp.Compare(a.Object, b.Object) })
	return out
}

// isStepDone reports whether all endpoints in the current step of the rollout
// serve their target version and no endpoint holds a grant of the rollout. Endpoints
// that are out of service or drained are ignored. A step without any other endpoint
// is done only if all of its failure domains are out of service; otherwise the
// gateway has more likely just started and doesn't know the endpoints yet.
func isStepDone(s *registrar.State, r *registrar.Rollout, endpoints []Endpoint) bool {
	for _, g := range s.Grants {
		if g.Rollout == r.Name && !s.IsOut(g.FailureDomain) && s.Drains[g.Holder] == nil {
			return false
		}
	}
	counted := 0
	for _, e := range endpoints {
		if e.Model != r.Model || !isInStep(r, e.FailureDomain) || s.IsOut(e.FailureDomain) || s.Drains[e.Instance] != nil {
			continue
		}
		counted++
		t := s.Target(e.Model, e.FailureDomain)
		if t.Version == nil || !e.Ready || e.Version != t.Version.Name || e.Applied != 0 && e.Applied < t.Offset {
			return false
		}
	}
	return counted > 0 || isStepOutOfService(s, r)
}

// isInStep reports whether the failure domain is in the current step of the
// rollout. The last step also includes the failure domains that no step names,
// and a reversal includes all.
func isInStep(r *registrar.Rollout, domain recorder.Name) bool {
	if r.Phase == registrar.Reversing {
		return true
	}
	if !r.Covers(domain) {
		return false
	}
	if r.Step == 0 || r.Step >= len(r.Steps) {
		return true
	}
	for _, earlier := range r.Steps[:r.Step] {
		if slices.Contains(earlier, domain) {
			return slices.Contains(r.Steps[r.Step], domain)
		}
	}
	return true
}

// isStepOutOfService reports whether all failure domains of the current step are out
// of service.
func isStepOutOfService(s *registrar.State, r *registrar.Rollout) bool {
	n := 0
	for name, d := range s.FailureDomains {
		if !isInStep(r, name) {
			continue
		}
		if n++; !d.Out {
			return false
		}
	}
	return n > 0
}

// truncateReason cuts the text to at most maxReasonBytes without splitting a rune.
func truncateReason(s string) string {
	if len(s) <= maxReasonBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxReasonBytes], "")
}
