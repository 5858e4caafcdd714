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
	// planInterval is the time between two looks at the rollouts.
	planInterval = 250 * time.Millisecond
	// appendTimeout bounds one append of a planned change.
	appendTimeout = 5 * time.Second
)

// plan appends what the rollouts need: the next step, the end, revocations.
func (g *Gateway) plan(ctx context.Context) error {
	p := planner.Planner{Self: g.Instance, Gateways: g.liveGateways, Age: g.follow.Age}
	var v viewer
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
			endpoints = v.look(g)
		}
		for _, c := range p.Observe(time.Now(), s, endpoints) {
			g.appendPlanned(ctx, c)
		}
	}
}

// isRolloutDue reports whether a rollout may need a step or its end. The planner
// reads endpoints for no other purpose, and 12,000 views for each look would
// be most of an idle gateway's work.
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

// viewer makes the views of the endpoints of all models. It keeps its memory
// from look to look, because 12,000 views are made four times a second.
type viewer struct {
	views []planner.Endpoint
	count map[viewKey]int
}

// viewKey names the endpoints of one kind in a failure domain.
type viewKey struct {
	domain recorder.Name
	serves string
}

func (v *viewer) add(n planner.Endpoint, serves string) {
	v.views = append(v.views, n)
	v.count[viewKey{n.FailureDomain, serves}]++
}

// look returns the endpoints of all models: of the own failure domain one by
// one, of the others from their summaries, and of those that only the
// platform's list names as not ready. The views are valid until the next look.
func (v *viewer) look(g *Gateway) []planner.Endpoint {
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

// addMissing adds a view that is not ready for each live endpoint that the list
// has above those that reported.
func (v *viewer) addMissing(l *listing) {
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
