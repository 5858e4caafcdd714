package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/planner"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

const (
	// planInterval is the time between two checks of the rollouts.
	planInterval = 250 * time.Millisecond
	// appendTimeout is the timeout of one append of a planned change or a snapshot.
	appendTimeout = 5 * time.Second
)

// plan appends the changes that the planner derives to the log: rollout steps,
// rollout ends and revocations.
func (g *Gateway) plan(ctx context.Context) error {
	p := planner.Planner{Self: g.Instance, Gateways: g.liveGateways, Age: g.follow.Age}
	var v viewBuilder
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		s := g.replica.Current()
		var endpoints []planner.Endpoint
		if isRolloutDue(s) {
			endpoints = v.build(g)
		}
		for _, c := range p.Observe(time.Now(), s, endpoints) {
			g.appendPlanned(ctx, c)
		}
	}
}

// isRolloutDue reports whether a rollout may need a step or its end. The planner
// reads endpoints for no other purpose, and building 12,000 views for each check
// would be most of the load of an idle gateway.
func isRolloutDue(s *registrar.State) bool {
	for _, r := range s.Rollouts {
		if r.Phase == registrar.Running || r.Phase == registrar.Reversing {
			return true
		}
	}
	return false
}

func (g *Gateway) appendPlanned(ctx context.Context, c recorder.Change) {
	c2, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	r := recorder.Record{
		Format: recorder.Format, Operation: planner.OperationID(c), Author: g.Instance, At: time.Now(),
		Changes: []recorder.Change{c},
	}
	o, err := g.follow.Submit(c2, r)
	if err == nil {
		err = o.Err()
	}
	g.Log.Info().Str("change", string(c.Kind)).Str("object", c.Key()).Stringer("operation", r.Operation).
		Uint64("revision", o.Offset).Str("reason", c.Reason).AnErr("error", err).Msg("planned change")
}

// liveGateways returns the gateways that the platform lists as live.
func (g *Gateway) liveGateways() []recorder.Name {
	var out []recorder.Name
	for _, i := range g.list.list().gateways {
		if i.State == connector.InstanceLive {
			out = append(out, i.Name)
		}
	}
	return out
}

// viewBuilder builds the views of the endpoints of all models. It reuses its
// memory, because 12,000 views are built four times a second.
type viewBuilder struct {
	views []planner.Endpoint
	count map[viewKey]int
}

// viewKey identifies the endpoints of a model in a failure domain.
type viewKey struct {
	domain recorder.Name
	serves string
}

func (v *viewBuilder) add(n planner.Endpoint, serves string) {
	v.views = append(v.views, n)
	v.count[viewKey{n.FailureDomain, serves}]++
}

// build returns the views of the endpoints of all models: those in the table one by
// one, those of other failure domains from their summaries, and those that only
// the platform's list names as not ready. The views are valid until the next call.
func (v *viewBuilder) build(g *Gateway) []planner.Endpoint {
	if v.count == nil {
		v.count = make(map[viewKey]int)
	}
	v.views = v.views[:0]
	clear(v.count)
	for e := range g.table.Each() {
		if m, ok := strings.CutPrefix(e.Serves, "model/"); ok && e.State != router.Leaving {
			v.add(planner.Endpoint{
				Instance: e.Instance, FailureDomain: e.FailureDomain, Model: recorder.Name(m), Version: e.Version,
				Ready: e.State == router.Ready, Applied: e.Applied,
			}, e.Serves)
		}
	}
	for _, d := range g.domains.all() {
		for _, s := range d.summaries {
			m, ok := strings.CutPrefix(s.Serves, "model/")
			for i := range s.Endpoints {
				if ok {
					v.add(planner.Endpoint{
						FailureDomain: d.name, Model: recorder.Name(m), Version: recorder.Name(s.Version), Ready: i < s.Ready,
					}, s.Serves)
				}
			}
		}
	}
	v.addMissing(g.list.list())
	return v.views
}

// addMissing adds a view that is not ready for each live agent in the list beyond
// the number of endpoints that reported.
func (v *viewBuilder) addMissing(l *sortedInstances) {
	for serves, agents := range l.agents {
		m, ok := strings.CutPrefix(serves, "model/")
		if !ok {
			continue
		}
		for _, i := range agents {
			if i.State != connector.InstanceLive {
				continue
			}
			k := viewKey{i.FailureDomain, serves}
			if v.count[k]--; v.count[k] < 0 {
				v.views = append(v.views, planner.Endpoint{Instance: i.Name, FailureDomain: i.FailureDomain, Model: recorder.Name(m)})
			}
		}
	}
}
