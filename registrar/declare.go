package registrar

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

func (d *draft) putModel(c *recorder.Change) error {
	old := d.next.Models[c.Model.Name]
	n := &Model{Model: *c.Model, Revision: d.offset}
	if old != nil {
		if err := checkRevision(c, old.Revision); err != nil {
			return err
		}
		n.Settled, n.SettledAt, n.SettledBy, n.Active = old.Settled, old.SettledAt, old.SettledBy, old.Active
	} else if err := checkRevision(c, 0); err != nil {
		return err
	}
	writable(d, "models", &d.next.Models)[n.Name] = n
	return nil
}

func (d *draft) putVersion(c *recorder.Change) error {
	v := c.Version
	if d.next.Models[v.Model] == nil {
		return reject(classifier.NotFound, "model %q is not declared", v.Model)
	}
	if old := d.next.Versions[v.Key()]; old != nil {
		if isEqual(&old.Version, v) {
			return nil
		}
		return reject(classifier.Refused, "a version never changes; declare a new one")
	}
	if err := checkRevision(c, 0); err != nil {
		return err
	}
	writable(d, "versions", &d.next.Versions)[v.Key()] = &Version{Version: *v, Revision: d.offset}
	return nil
}

// isEqual compares the wire forms. An empty list and an absent one are the same
// there, and a State that was restored from a snapshot holds the absent one.
func isEqual(a, b any) bool {
	x, err := json.Marshal(a)
	y, err2 := json.Marshal(b)
	return err == nil && err2 == nil && bytes.Equal(x, y)
}

func (d *draft) putFailureDomain(c *recorder.Change) error {
	n := &FailureDomain{FailureDomain: *c.FailureDomain, Revision: d.offset}
	if old := d.next.FailureDomains[n.Name]; old != nil {
		if err := checkRevision(c, old.Revision); err != nil {
			return err
		}
		n.Out, n.Reason, n.By = old.Out, old.Reason, old.By
	} else if err := checkRevision(c, 0); err != nil {
		return err
	}
	writable(d, "failure-domains", &d.next.FailureDomains)[n.Name] = n
	return nil
}

func (d *draft) putService(c *recorder.Change) error {
	n := &Service{Service: *c.Service, Revision: d.offset}
	for _, o := range sortedEntries(d.next.Services) {
		if o.Name != n.Name && o.Prefix == n.Prefix {
			return reject(classifier.Refused, "prefix %q belongs to service %q", n.Prefix, o.Name)
		}
	}
	var have uint64
	if old := d.next.Services[n.Name]; old != nil {
		have = old.Revision
	}
	if err := checkRevision(c, have); err != nil {
		return err
	}
	writable(d, "services", &d.next.Services)[n.Name] = n
	return nil
}

func (d *draft) putClientAccount(c *recorder.Change) error {
	n := &ClientAccount{ClientAccount: *c.ClientAccount, Revision: d.offset}
	var have uint64
	for _, o := range sortedEntries(d.next.ClientAccounts) {
		if o.Name == n.Name {
			have = o.Revision
		} else if sharesKey(o.KeyDigests, n.KeyDigests) {
			return reject(classifier.Refused, "a key belongs to client account %q", o.Name)
		}
	}
	if err := checkRevision(c, have); err != nil {
		return err
	}
	writable(d, "client-accounts", &d.next.ClientAccounts)[n.Name] = n
	d.reindex = true
	return nil
}

func (d *draft) putOperator(c *recorder.Change) error {
	n := &OperatorAccount{OperatorAccount: *c.Operator, Revision: d.offset}
	var have uint64
	for _, o := range sortedEntries(d.next.Operators) {
		if o.Name == n.Name {
			have = o.Revision
		} else if sharesKey(o.KeyDigests, n.KeyDigests) {
			return reject(classifier.Refused, "a key belongs to operator %q", o.Name)
		}
	}
	if err := checkRevision(c, have); err != nil {
		return err
	}
	writable(d, "operators", &d.next.Operators)[n.Name] = n
	d.reindex = true
	return nil
}

func sharesKey(a, b []recorder.Digest) bool {
	return slices.ContainsFunc(a, func(k recorder.Digest) bool { return slices.Contains(b, k) })
}

func (d *draft) setDomainOut(c *recorder.Change) error {
	old := d.next.FailureDomains[recorder.Name(c.Object)]
	if old == nil {
		return reject(classifier.NotFound, "failure domain %q is not declared", c.Object)
	}
	if err := checkRevision(c, old.Revision); err != nil {
		return err
	}
	n := *old
	n.Revision, n.Out, n.Reason, n.By = d.offset, c.Kind == recorder.TakeDomainOut, c.Reason, d.author
	writable(d, "failure-domains", &d.next.FailureDomains)[n.Name] = &n
	return nil
}

func (d *draft) setDrain(c *recorder.Change) error {
	e := recorder.Name(c.Object)
	var have uint64
	if old := d.next.Drains[e]; old != nil {
		have = old.Revision
	}
	if err := checkRevision(c, have); err != nil {
		return err
	}
	m := writable(d, "drains", &d.next.Drains)
	if c.Kind == recorder.ReturnEndpoint {
		delete(m, e)
		return nil
	}
	m[e] = &Drain{Revision: d.offset, Reason: c.Reason, By: d.author}
	return nil
}
