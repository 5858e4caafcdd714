package operator

import (
	"cmp"
	"context"
	"slices"
	"strings"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// valueOf returns the declared value of a change of a declaration.
func valueOf(c *recorder.Change) any {
	switch c.Kind {
	case recorder.PutModel:
		return c.Model
	case recorder.PutVersion:
		return c.Version
	case recorder.PutFailureDomain:
		return c.FailureDomain
	case recorder.PutService:
		return c.Service
	case recorder.PutClientAccount:
		return c.ClientAccount
	case recorder.PutOperator:
		return c.Operator
	default:
		return c.Rollout
	}
}

// declared returns the value that is declared under a key, or nil.
func declared(s *registrar.State, key string) any {
	kind, name, _ := strings.Cut(key, "/")
	n := recorder.Name(name)
	switch kind {
	case "model":
		if o := s.Models[n]; o != nil {
			return &o.Model
		}
	case "version":
		if o := s.Versions[name]; o != nil {
			return &o.Version
		}
	case "failure-domain":
		if o := s.FailureDomains[n]; o != nil {
			return &o.FailureDomain
		}
	case "service":
		if o := s.Services[n]; o != nil {
			return &o.Service
		}
	case "client-account":
		if o := s.ClientAccounts[n]; o != nil {
			return &o.ClientAccount
		}
	case "operator":
		if o := s.Operators[n]; o != nil {
			return &o.OperatorAccount
		}
	case "rollout":
		if o := s.Rollouts[n]; o != nil {
			return &o.Rollout
		}
	}
	return nil
}

// Get returns the selected objects sorted by key, and the endpoints where the
// selector includes them.
func (s *Server) Get(_ context.Context, q *operatorv1.GetRequest) (*operatorv1.GetResponse, error) {
	const op = "get"
	state, err := s.state(op)
	if err != nil {
		return nil, err
	}
	kind, name, one := strings.Cut(q.GetSelector(), "/")
	if kind != "" && !slices.Contains(kinds(), kind) {
		return nil, fail(op, classifier.Invalid, "kind %q is not one of %s", kind, strings.Join(kinds(), ", "))
	}
	r := &operatorv1.GetResponse{Revision: state.Offset, AgeMs: s.Age().Milliseconds()}
	for _, o := range objects(state) {
		if kind == "" || one && o.GetKey() == q.GetSelector() || !one && strings.HasPrefix(o.GetKey(), kind+"/") {
			r.Objects = append(r.Objects, o)
		}
	}
	if kind == "" || kind == "endpoint" {
		for _, e := range s.endpoints() {
			if !one || e.GetInstance() == name {
				r.Endpoints = append(r.Endpoints, e)
			}
		}
	}
	if one && len(r.Objects)+len(r.Endpoints) == 0 {
		return nil, fail(op, classifier.NotFound, "%s does not exist", q.GetSelector())
	}
	return r, nil
}

func kinds() []string {
	return []string{
		"client-account", "endpoint", "failure-domain", "grant", "model", "operator", "rollout", "service", "version",
	}
}

// objects returns all objects of the State with their status, sorted by key.
func objects(s *registrar.State) []*operatorv1.Object {
	var out []*operatorv1.Object
	add := func(kind, name string, revision uint64, v any) {
		out = append(out, &operatorv1.Object{Key: kind + "/" + name, Revision: revision, Json: jsonOf(v)})
	}
	for n, o := range s.Models {
		add("model", string(n), o.Revision, o)
	}
	for n, o := range s.Versions {
		add("version", n, o.Revision, o)
	}
	for n, o := range s.FailureDomains {
		add("failure-domain", string(n), o.Revision, o)
	}
	for n, o := range s.Services {
		add("service", string(n), o.Revision, o)
	}
	for n, o := range s.ClientAccounts {
		add("client-account", string(n), o.Revision, o)
	}
	for n, o := range s.Operators {
		add("operator", string(n), o.Revision, o)
	}
	for n, o := range s.Rollouts {
		add("rollout", string(n), o.Revision, o)
	}
	for n, o := range s.Drains {
		add("endpoint", string(n), o.Revision, o)
	}
	for _, o := range s.Grants {
		add("grant", string(o.Holder), o.Offset, o)
	}
	slices.SortFunc(out, func(a, b *operatorv1.Object) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
	return out
}

// endpoints returns the known endpoints sorted by failure domain and instance.
// Endpoints without a name keep their order, by which a watch tells them apart.
func (s *Server) endpoints() []*operatorv1.Endpoint {
	e := slices.Clone(s.Endpoints())
	slices.SortStableFunc(e, func(a, b *operatorv1.Endpoint) int {
		return cmp.Or(cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain()), cmp.Compare(a.GetInstance(), b.GetInstance()))
	})
	return e
}
