package agent

import (
	"context"
	"net/http"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// prepare makes the parts that spread weights.
func (e *engine) prepare() error {
	a := e.agent
	t, err := a.TLS.Client()
	if err != nil {
		return err
	}
	e.kept = make(map[recorder.Digest]bool)
	e.fetcher = &distributor.Fetcher{
		Self: distributor.Member{
			Instance: a.Instance, FailureDomain: a.FailureDomain, Region: a.Region, Address: a.address,
		},
		OriginRegion:    a.OriginRegion,
		Store:           e.store,
		Origin:          connector.NewOrigin(a.OriginURL, a.client),
		Client:          distributor.NewClient(t),
		Scheme:          a.scheme(),
		Members:         e.members,
		CrossRegionRate: float64(a.Rates.CrossRegion),
		OriginRate:      float64(a.Rates.Origin),
		Log:             a.Log,
	}
	e.handler = &distributor.Handler{Store: e.store, Self: e.fetcher.Self, SendRate: float64(a.Rates.Link), Log: a.Log}
	return nil
}

func (e *engine) handleChunks(outer, local *http.ServeMux) {
	outer.Handle("GET /v1/chunks/", e.handler)
	outer.Handle("GET /v1/manifests/", e.handler)
	local.Handle("GET /v1/weights/", &distributor.Weights{Store: e.store})
}

func (e *engine) fetch(ctx context.Context, v *registrar.Version, progress func(verified, total int)) error {
	e.mu.Lock()
	e.kept[v.Manifest] = true
	e.mu.Unlock()
	_, err := e.fetcher.Fetch(ctx, v.Version, progress)
	return err
}

func (e *engine) hasChunks(v *registrar.Version) bool {
	m := e.store.Manifest(v.Manifest)
	if m == nil {
		return false
	}
	for _, d := range m.Chunks {
		if !e.store.Has(d) {
			return false
		}
	}
	return true
}

// keep drops the versions that are not named.
func (e *engine) keep(versions []*registrar.Version) {
	wanted := make(map[recorder.Digest]bool, len(versions))
	for _, v := range versions {
		wanted[v.Manifest] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for d := range e.kept {
		if !wanted[d] {
			delete(e.kept, d)
			e.store.Drop(d)
			e.agent.Log.Info().Stringer("manifest", d).Msg("version dropped")
		}
	}
}
