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
	if e == nil || o.OriginLink <= 0 || n.Since.IsZero() {
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
// the zero time if the version isn't superseded or the date of the newer one isn't known.
func (l *Loader) latestLoad(model string, version int64) time.Time {
	n := l.target(model)
	if version >= n.Version || n.Since.IsZero() {
		return time.Time{}
	}
	return n.Since.Add(time.Duration(float64(l.MaxVersionDelay) * supersededLoadShare))
}

// isTooLate reports whether a version is superseded and its load would end too late to be
// of use.
func (l *Loader) isTooLate(model string, version int64, now time.Time) bool {
	return version < l.target(model).Version && now.After(l.latestLoad(model, version))
}

// supersededStep fetches the rest of a superseded version from other instances. If the
// origin becomes unavailable before it has sent the newer version, the superseded one is
// the only one that may be served once the grace period of the versions before it ends.
func (l *Loader) supersededStep(ctx context.Context) error {
	version := l.superseded.Load()
	e, o := l.engine()
	if version == 0 || e == nil {
		return nil
	}
	m := l.manifest(version)
	if m == nil || !l.isStillUseful(e, version) {
		l.superseded.CompareAndSwap(version, 0)
		return nil
	}
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for work.Err() == nil && l.isStillUseful(e, version) {
			_ = sleeper.Sleep(work, pollInterval)
		}
		cancel()
	}()
	began := time.Now()
	if _, err := l.NewFetcher(withoutOrigin(), o.Domain).Fetch(work, m.version, nil); err != nil {
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
// than what the engine serves, no newer one is complete, and it can be loaded in time.
func (l *Loader) isStillUseful(e *resolver.Engine, version int64) bool {
	s, known := l.Reporter.State()
	return known && s.Versions[e.Model] < version && l.complete.Load() < version && !l.isTooLate(e.Model, version, timekeeper.Now())
}

// withoutOrigin returns an origin that is unavailable, so that the other instances are
// asked again and again. The real one is left to the newer version.
func withoutOrigin() *connector.Origin {
	return &connector.Origin{Fetch: func(context.Context, recorder.Digest) (io.ReadCloser, int64, error) {
		return nil, 0, fail("fetch piece of a superseded version", classifier.Unavailable, errors.New("the origin sends only the target version"))
	}}
}
