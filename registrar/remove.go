package registrar

import (
	"slices"
	"strings"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// remove deletes an object. It rejects the change while other objects depend on
// the object.
func (d *draft) remove(c *recorder.Change) error {
	have := d.next.Revision(c.Object)
	if have == 0 {
		return reject(classifier.NotFound, "%s does not exist", c.Object)
	}
	if err := checkRevision(c, have); err != nil {
		return err
	}
	kind, name, _ := strings.Cut(c.Object, "/")
	n := recorder.Name(name)
	switch kind {
	case "model":
		return d.removeModel(n)
	case "version":
		return d.removeVersion(name)
	case "failure-domain":
		return d.removeFailureDomain(n)
	case "service":
		delete(writable(d, "services", &d.next.Services), n)
	case "client-account":
		delete(writable(d, "client-accounts", &d.next.ClientAccounts), n)
		d.reindex = true
	case "operator":
		if len(d.next.Operators) == 1 {
			return reject(classifier.Refused, "the last operator can't be removed")
		}
		delete(writable(d, "operators", &d.next.Operators), n)
		d.reindex = true
	case "rollout":
		if d.next.Rollouts[n].IsActive() {
			return reject(classifier.Refused, "the rollout is %s", d.next.Rollouts[n].Phase)
		}
		if m := d.next.Models[d.next.Rollouts[n].Model]; m != nil && m.SettledBy == n {
			return reject(classifier.Refused, "the endpoints of model %q take grants under it", m.Name)
		}
		delete(writable(d, "rollouts", &d.next.Rollouts), n)
	default:
		return reject(classifier.Invalid, "objects of kind %q can't be removed", kind)
	}
	return nil
}

func (d *draft) removeModel(n recorder.Name) error {
	for _, v := range sortedEntries(d.next.Versions) {
		if v.Model == n {
			return reject(classifier.Refused, "version %s is still declared", v.Key())
		}
	}
	delete(writable(d, "models", &d.next.Models), n)
	return nil
}

func (d *draft) removeVersion(key string) error {
	v := d.next.Versions[key]
	if m := d.next.Models[v.Model]; m != nil && m.Settled == v.Name {
		return reject(classifier.Refused, "the endpoints of model %q serve it", v.Model)
	}
	for _, r := range sortedEntries(d.next.Rollouts) {
		if r.IsActive() && r.Model == v.Model && (r.Version == v.Name || r.From == v.Name) {
			return reject(classifier.Refused, "rollout %q needs it", r.Name)
		}
	}
	delete(writable(d, "versions", &d.next.Versions), key)
	return nil
}

func (d *draft) removeFailureDomain(n recorder.Name) error {
	for _, r := range sortedEntries(d.next.Rollouts) {
		for _, s := range r.Steps {
			if r.IsActive() && slices.Contains(s, n) {
				return reject(classifier.Refused, "rollout %q names it", r.Name)
			}
		}
	}
	delete(writable(d, "failure-domains", &d.next.FailureDomains), n)
	return nil
}

// Revision returns the revision of the object with the key, such as
// "model/assistant", or 0 where it does not exist.
func (s *State) Revision(key string) uint64 {
	kind, name, _ := strings.Cut(key, "/")
	n := recorder.Name(name)
	switch kind {
	case "model":
		if o := s.Models[n]; o != nil {
			return o.Revision
		}
	case "version":
		if o := s.Versions[name]; o != nil {
			return o.Revision
		}
	case "failure-domain":
		if o := s.FailureDomains[n]; o != nil {
			return o.Revision
		}
	case "service":
		if o := s.Services[n]; o != nil {
			return o.Revision
		}
	case "client-account":
		if o := s.ClientAccounts[n]; o != nil {
			return o.Revision
		}
	case "operator":
		if o := s.Operators[n]; o != nil {
			return o.Revision
		}
	case "rollout":
		if o := s.Rollouts[n]; o != nil {
			return o.Revision
		}
	case "endpoint":
		if o := s.Drains[n]; o != nil {
			return o.Revision
		}
	}
	return 0
}
