package registrar

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// snapshot is the wire form of a State.
type snapshot struct {
	Format int    `json:"format"`
	State  *State `json:"state"`
}

// Snapshot returns the wire form of the State. Equal States give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	b, err := json.Marshal(snapshot{Format: recorder.Format, State: s})
	if err != nil {
		return nil, &Error{Op: "write snapshot", Kind: classifier.Internal, Err: err}
	}
	return b, nil
}

// Restore returns the State that Snapshot encoded.
func Restore(b []byte) (*State, error) {
	const op = "restore snapshot"
	var v snapshot
	if err := recorder.DecodeStrict(b, &v); err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if v.Format != recorder.Format {
		return nil, &Error{Op: op, Kind: classifier.Refused, Err: errors.Newf("format %d is not supported; want %d", v.Format, recorder.Format)}
	}
	if v.State == nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: errors.New("field state is missing")}
	}
	if err := v.State.check(); err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	v.State.index = newIndex(v.State)
	return v.State, nil
}

// check returns an error for a State that no sequence of records produces and on
// which Apply could panic.
func (s *State) check() error {
	for _, err := range []error{
		rejectNull("models", s.Models), rejectNull("versions", s.Versions), rejectNull("failure-domains", s.FailureDomains),
		rejectNull("services", s.Services), rejectNull("client-accounts", s.ClientAccounts), rejectNull("operators", s.Operators),
		rejectNull("rollouts", s.Rollouts), rejectNull("drains", s.Drains), rejectNull("grants", s.Grants),
	} {
		if err != nil {
			return err
		}
	}
	for n, m := range s.Models {
		if r := s.Rollouts[m.Active]; m.Name != n || m.Active != "" && (r == nil || !r.IsActive() || r.Model != n) {
			return errors.Newf("field models: %q does not agree with its rollout", n)
		}
	}
	for n, r := range s.Rollouts {
		if m := s.Models[r.Model]; r.Name != n || r.IsActive() && (m == nil || m.Active != n) {
			return errors.Newf("field rollouts: %q does not agree with its model", n)
		}
		if r.Step < 0 || r.Step > max(0, len(r.Steps)-1) {
			return errors.Newf("field rollouts: %q is in step %d of %d", n, r.Step, len(r.Steps))
		}
	}
	return nil
}

func rejectNull[K comparable, V any](field string, m map[K]*V) error {
	for k, v := range m {
		if v == nil {
			return errors.Newf("field %s: %v is null", field, k)
		}
	}
	return nil
}
