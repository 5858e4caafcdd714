package loader

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// originDelay is the time from the naming of a version to its first piece from the
// origin.
const originDelay = 300 * time.Millisecond

// isSpread reports whether the origin has had the time to send the whole version. If it
// hasn't, the other instances lack pieces too, and fetching the rest would only take
// bandwidth from the newer version.
func (l *Loader) isSpread(n observer.TargetVersions, now time.Time) bool {
	e, o := l.engine()
	if e == nil || o == nil || o.OriginLink <= 0 || n.Since.IsZero() {
		return false
	}
	sending := time.Duration(float64(int64(e.Chunks)*e.ChunkSize) / o.OriginLink * float64(time.Second))
	return now.Sub(n.Since) >= originDelay+sending
}

// supersededLoadShare is the part of MaxVersionDelay after the naming of a newer version
// in which the load of a superseded one may be ordered. Requests that wait at the engine
// begin when the load ends, which must be before the superseded version is due.
const supersededLoadShare = 0.6

// latestLoad returns the latest time at which the load of a superseded version is of use;
// the zero time if the version isn't superseded or the date of the newer one isn't known. An
// engine that serves nothing that may be used loads it as long as it is of some use: engines
// without it would serve nothing until the newer version is there.
func (l *Loader) latestLoad(model string, version int64, now time.Time) time.Time {
	until, limited := l.usedUntil(model, version)
	if !limited || until.IsZero() {
		return time.Time{}
	}
	latest := until.Add(-l.grace()).Add(time.Duration(float64(l.MaxVersionDelay) * supersededLoadShare))
	e := l.Engine()
	if e == nil {
		return latest
	}
	if l.isUseless(model, now) {
		if t := latestOrder(until, e.Warm); t.After(latest) {
			return t
		}
	}
	// A load that ends later is refused when the engine is closed already, again and again.
	if t := until.Add(-e.Warm - closeNotice); t.Before(latest) {
		return t
	}
	return latest
}

// isTooLate reports whether a version is superseded and its load would end too late to be
// of use.
func (l *Loader) isTooLate(model string, version int64, now time.Time) bool {
	return version < l.target(model).Version && now.After(l.latestLoad(model, version, now))
}

// isUseless reports whether the engine serves nothing that gateways use.
func (l *Loader) isUseless(model string, now time.Time) bool {
	s, _ := l.Reporter.State()
	until, limited := l.usedUntil(model, s.Versions[model])
	return s.Versions[model] == 0 || limited && !now.Before(until)
}

func (l *Loader) usedUntil(model string, version int64) (until time.Time, limited bool) {
	return usedUntil(l.State.Named(model), version, l.grace())
}

func (l *Loader) grace() time.Duration {
	if l.Grace > 0 {
		return l.Grace
	}
	return l.MaxVersionDelay
}

// supersededStep fetches the rest of a superseded version from other instances, and from the
// origin while the plan says so. If the origin becomes unavailable before it has sent the newer
// version, the superseded one is the only one that may be served once the grace period of the
// versions before it ends.
func (l *Loader) supersededStep(ctx context.Context) error {
	version := l.superseded.Load()
	e := l.Engine()
	if version == 0 || e == nil {
		return nil
	}
	m := l.versions.of(version)
	if m == nil || !l.isStillUseful(e, version) {
		if l.superseded.CompareAndSwap(version, 0) {
			l.completing.Store(false)
			l.Log.Info().Int64("version", version).Int64("complete", l.complete.Load()).Msg("superseded-version-left")
		}
		return nil
	}
	c := l.connect()
	work, cancel := l.whileCurrent(ctx, c.place)
	defer cancel()
	go func() {
		for work.Err() == nil && l.isStillUseful(e, version) {
			_ = sleeper.Sleep(work, pollInterval)
		}
		cancel()
	}()
	began := time.Now()
	if err := l.fill(work, l.NewFetcher(l.supersededOrigin(version), c.place.domain), m); err != nil {
		if work.Err() != nil {
			return nil
		}
		return err
	}
	l.Log.Info().Int64("version", version).Dur("fetch-ms", time.Since(began)).Msg("superseded-version-fetched")
	l.setComplete(version)
	return nil
}

// isStillUseful reports whether an engine could serve a superseded version: it is newer
// than what the engine serves, no newer one is complete, and it can be loaded in time. An
// engine that doesn't answer counts with its last answer: others wait for the pieces of which
// this instance is the leader.
func (l *Loader) isStillUseful(e *resolver.Engine, version int64) bool {
	s, _ := l.Reporter.State()
	return s.Versions[e.Model] < version && l.complete.Load() < version && !l.isTooLate(e.Model, version, timekeeper.Now())
}

// planOf returns the plan of a superseded version.
func (l *Loader) planOf(e *resolver.Engine, o *resolver.Service, version int64, now time.Time) plan {
	size := int64(e.Chunks) * e.ChunkSize
	p := plan{now: now, missing: size, newerMissing: size, origin: o.OriginLink, link: l.Link, warm: e.Warm}
	p.supersededUntil, _ = l.usedUntil(e.Model, version)
	p.olderUntil, _ = l.usedUntil(e.Model, version-1)
	if m := l.versions.of(version); m != nil {
		p.missing = int64(l.missing(m)) * e.ChunkSize
	}
	if m := l.versions.of(l.target(e.Model).Version); m != nil {
		p.newerMissing = int64(l.missing(m)) * e.ChunkSize
	}
	return p
}

// missing returns the number of pieces of the manifest that the store lacks.
func (l *Loader) missing(m *manifest) (n int) {
	for _, d := range m.Chunks {
		if !l.Store.Has(d) {
			n++
		}
	}
	return n
}

// currentPlan returns the plan of the superseded version, and reports whether it completes the
// version. It logs each change of that.
func (l *Loader) currentPlan(version int64) (plan, bool) {
	e, o := l.engine()
	if e == nil || o == nil || version == 0 || version >= l.target(e.Model).Version {
		return plan{}, false
	}
	now := timekeeper.Now()
	p := l.planOf(e, o, version, now)
	ok := p.completes() && !l.isTooLate(e.Model, version, now)
	if l.completing.Swap(ok) != ok {
		l.Log.Info().Int64("version", version).Bool("from-origin", ok).Int64("missing", p.missing/e.ChunkSize).
			Dur("gain-ms", p.gain()).Dur("delay-ms", p.delay()).Msg("superseded-version-planned")
	}
	return p, ok
}

// supersededOrigin returns an origin that sends the pieces of a superseded version while the
// plan completes it, and is unavailable otherwise. The real one is left to the newer version.
func (l *Loader) supersededOrigin(version int64) *connector.Origin {
	none := withoutOrigin()
	return &connector.Origin{Fetch: func(ctx context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
		if _, ok := l.currentPlan(version); !ok {
			return none.Fetch(ctx, d)
		}
		l.supersededReads.Add(1)
		return l.fetchPiece(ctx, d)
	}}
}

// leaveToSuperseded waits with the piece of the digest until the missing pieces of a superseded version have most likely
// been sent, if the plan reads them first. An instance does so until its first read that
// succeeds after a failed one, so that the newer version is delayed once, by no more than
// these pieces take.
func (l *Loader) leaveToSuperseded(ctx context.Context, d recorder.Digest) {
	old := l.superseded.Load()
	if old == 0 || l.originAnswered.Load() {
		return
	}
	if m := l.versions.of(old); m == nil || m.has(d) {
		return
	}
	p, ok := l.currentPlan(old)
	for until := p.now.Add(p.delay()); ok && ctx.Err() == nil && timekeeper.Now().Before(until); {
		_ = sleeper.Sleep(ctx, leavePoll)
		_, ok = l.currentPlan(old)
	}
}

// leavePoll is how often leaveToSuperseded checks whether the pieces have arrived; one piece
// takes about as long.
const leavePoll = 20 * time.Millisecond

// withoutOrigin returns an origin that is unavailable, so that the other instances are
// asked again and again. The real one is left to the newer version.
func withoutOrigin() *connector.Origin {
	return &connector.Origin{Fetch: func(context.Context, recorder.Digest) (io.ReadCloser, int64, error) {
		return nil, 0, fail("fetch piece of a superseded version", classifier.Unavailable, errors.New("the origin sends only the target version"))
	}}
}
