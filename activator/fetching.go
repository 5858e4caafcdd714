package activator

import (
	"context"

	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// dropUnusedVersions cancels a fetch whose version is neither the target nor
// prefetched, and drops the chunks of versions that are no longer needed.
func (r *Runner) dropUnusedVersions() {
	in := &r.in
	if f := r.fetching; f != nil && !sameWeights(f.version, in.Target.Version) && !sameWeights(f.version, in.Prefetch) {
		r.Log.Info().Str("version", string(f.version.Name)).Msg("fetch cancelled")
		f.stop()
	}
	var keep []*registrar.Version
	for _, v := range []*registrar.Version{in.Target.Version, in.Prefetch, in.Known(in.Engine.Version)} {
		if v != nil {
			keep = append(keep, v)
		}
	}
	if in.Target.Rollout != nil {
		if v := in.Known(in.Target.Rollout.From); v != nil {
			keep = append(keep, v)
		}
	}
	if r.Replica.CaughtUp() {
		r.Keep(keep)
	}
}

// startFetch starts to fetch a version. If another version is being fetched, it
// only cancels that fetch; a later decision starts the new one.
func (r *Runner) startFetch(ctx context.Context, v *registrar.Version) {
	if r.fetching != nil {
		if sameWeights(r.fetching.version, v) {
			return
		}
		r.fetching.stop()
		return
	}
	c, stop := context.WithCancel(ctx)
	r.fetching = &fetchJob{version: v, stop: stop}
	go func() { r.fetched <- r.Fetch(c, v, r.reportProgress) }()
}

// reportProgress updates the status when the total changes, when another tenth
// of the chunks is verified, and when all are.
func (r *Runner) reportProgress(verified, total int) {
	r.mu.Lock()
	changed := verified == total || r.status.Total != total || verified >= r.status.Verified+total/10
	if changed {
		r.status.Verified, r.status.Total = verified, total
	}
	r.mu.Unlock()
	if changed {
		r.Changed()
	}
}

func (r *Runner) fetchEnded(err error) {
	f := r.fetching
	f.stop()
	r.fetching = nil
	if err != nil {
		r.setMessage(err.Error())
		r.Log.Warn().Str("version", string(f.version.Name)).Err(err).Msg("fetch failed")
		return
	}
	r.Log.Info().Str("version", string(f.version.Name)).Msg("fetch completed")
}

// sameWeights reports whether two versions have the same manifest. Pointers are
// not compared, since applying a snapshot allocates new versions.
func sameWeights(a, b *registrar.Version) bool {
	return a != nil && b != nil && a.Manifest == b.Manifest
}
