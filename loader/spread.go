package loader

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// engineWait is how long after the start the Loader waits for the engine before it fetches.
// An engine that starts with its instance may need a second, while one that still has
// staged pieces responds at once.
const engineWait = 300 * time.Millisecond

// fetchStep fetches the pieces of the target version into the store.
func (l *Loader) fetchStep(ctx context.Context) error {
	e := l.Engine()
	_, known := l.Reporter.State()
	if e == nil {
		return nil
	}
	c := l.connect()
	n := l.target(e.Model)
	if l.complete.Load() >= n.Version || !known && !l.mayFetchEarly(e.Model, n.Version) {
		return nil
	}
	m, err := l.learn(ctx, e, n.Version)
	if err != nil || m == nil {
		return err
	}
	if known {
		if err := l.restoreStaged(ctx, e.Model, m); err != nil {
			return err
		}
	}
	if s, ok := l.Reporter.State(); ok && s.Versions[e.Model] >= n.Version {
		// The engine already serves the version; its staged pieces are only for peers.
		l.setComplete(n.Version)
		return nil
	}
	began := time.Now()
	l.fetching.Store(n.Version)
	defer l.fetching.Store(0)
	if !known {
		work, cancel := context.WithCancel(ctx)
		defer cancel()
		go l.restoreLater(work, e.Model, m)
	}
	if done, err := l.fetch(ctx, c, e, n, m); !done {
		return err
	}
	l.Log.Info().Int64("version", n.Version).Dur("fetch-ms", time.Since(began)).
		Int64("received-bytes", c.fetcher.Stats().TotalReceived()).Msg("version-fetched")
	l.setComplete(n.Version)
	return nil
}

// mayFetchEarly reports whether the version may be fetched while the engine doesn't
// respond.
func (l *Loader) mayFetchEarly(model string, version int64) bool {
	return time.Since(l.began) > engineWait && isServed(l.State.Endpoints(), l.Service, l.Domain, model, version, time.Now())
}

// restoreLater waits for the engine, and reads its staged pieces into the store, so that
// they needn't be fetched.
func (l *Loader) restoreLater(ctx context.Context, model string, m *manifest) {
	for ctx.Err() == nil {
		if _, known := l.Reporter.State(); known {
			if err := l.restoreStaged(ctx, model, m); err != nil && ctx.Err() == nil {
				l.Log.Warn().Err(err).Msg("staged-pieces-not-restored")
			}
			return
		}
		_ = sleeper.Sleep(ctx, pollInterval)
	}
}

// setComplete records that the store has all pieces of a version.
func (l *Loader) setComplete(version int64) {
	for {
		old := l.complete.Load()
		if old >= version || l.complete.CompareAndSwap(old, version) {
			return
		}
	}
}

// learn returns the manifest of a version, with digests from other instances or from
// the origin. It returns nil if the other instances have to be asked again later.
func (l *Loader) learn(ctx context.Context, e *resolver.Engine, version int64) (*manifest, error) {
	if m := l.versions.of(version); m != nil && m.fits(e) {
		return m, nil
	}
	d, err := l.Digests(ctx, e.Model, version)
	fromOrigin := err != nil
	if classifier.Of(err) == classifier.Refused {
		return nil, nil
	}
	if err != nil {
		l.Log.Debug().Err(err).Int64("version", version).Msg("digests-not-at-peers")
		if d, fromOrigin, err = l.firstDigests(ctx, e.Model, version); err != nil {
			return nil, fail("learn version "+strconv.FormatInt(version, 10), classifier.Of(err), err)
		}
	}
	if len(d) != e.Chunks {
		return nil, fail("learn version", classifier.Invalid, errors.Newf("got %d digests, but the engine takes %d pieces", len(d), e.Chunks))
	}
	if fromOrigin && l.Learned != nil {
		go l.Learned(ctx, e.Model, version, d)
	}
	return l.keep(e, version, d)
}

// firstDigests reads the digests of a version from the origin, and asks the other instances
// again meanwhile. It returns what comes first and whether that is from the origin. An origin
// that becomes available again may be silent for long to some instances: one learned of a
// version 1.4 s after the others.
func (l *Loader) firstDigests(ctx context.Context, model string, version int64) (d [][32]byte, fromOrigin bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		digests [][32]byte
		err     error
	}
	origin, peers := make(chan answer, 1), make(chan [][32]byte, 1)
	go func() {
		d, err := l.digestsFromOrigin(ctx, model, version)
		origin <- answer{d, err}
	}()
	go func() {
		for sleeper.Sleep(ctx, pollInterval) == nil {
			if d, err := l.Digests(ctx, model, version); err == nil {
				peers <- d
				return
			}
		}
	}()
	select {
	case a := <-origin:
		return a.digests, true, a.err
	case d := <-peers:
		return d, false, nil
	}
}

// keep builds the manifest of a version from the digests of its pieces and stores it.
// Its overall digest is the digest of the piece digests, since the origin has none for
// the version.
func (l *Loader) keep(e *resolver.Engine, version int64, digests [][32]byte) (*manifest, error) {
	r := &recorder.Manifest{Format: recorder.Format, Size: int64(e.Chunks) * e.ChunkSize, ChunkSize: e.ChunkSize}
	var all []byte
	for _, d := range digests {
		r.Chunks = append(r.Chunks, d)
		all = append(all, d[:]...)
	}
	r.Digest = recorder.DigestOf(all)
	b, d, err := r.Encode()
	if err != nil {
		return nil, err
	}
	m := &manifest{Manifest: r, number: version, staged: make([]bool, len(r.Chunks)), version: recorder.Version{
		Model: recorder.Name(e.Model), Name: recorder.Name(strconv.FormatInt(version, 10)),
		Manifest: d, Digest: r.Digest, Size: r.Size,
	}}
	if err := l.versions.keep(l.Store, m, b); err != nil {
		return nil, err
	}
	l.Log.Info().Str("model", e.Model).Int64("version", version).Str("manifest", d.String()).Msg("version-learned")
	return m, nil
}

// KnownDigests returns the digests of a version that this instance knows, or nil.
func (l *Loader) KnownDigests(version int64) [][32]byte {
	m := l.versions.of(version)
	if m == nil {
		return nil
	}
	d := make([][32]byte, len(m.Chunks))
	for i := range m.Chunks {
		d[i] = m.Chunks[i]
	}
	return d
}

// restoreStaged reads staged pieces into the store, from which peers can fetch them. It
// skips pieces that are missing or corrupt. It ends at the first read without an answer; the
// next call goes on with that piece.
func (l *Loader) restoreStaged(ctx context.Context, model string, m *manifest) error {
	var held []int
	for i, d := range m.Chunks {
		if l.Store.Has(d) {
			continue
		}
		if held == nil {
			h, err := l.replica().held(ctx, model)
			if err != nil {
				return fail("list staged pieces", classifier.Of(err), err)
			}
			held = make([]int, len(m.Chunks))
			for _, n := range h {
				if n >= 0 && n < len(held) {
					held[n] = 1
				}
			}
		}
		if held[i] == 0 {
			continue
		}
		b, err := l.replica().staged(ctx, model, i, m.ChunkSize)
		if classifier.Of(err) == classifier.OutcomeUnknown {
			return fail("read staged piece "+strconv.Itoa(i), classifier.OutcomeUnknown, err)
		}
		if err == nil && recorder.DigestOf(b) == d {
			if err := l.Store.Put(d, b); err != nil {
				return err
			}
		}
	}
	return nil
}

// fetch fetches the version into the store. It returns false if it stopped for a newer
// version, or because the origin is elsewhere or the engine takes other pieces.
func (l *Loader) fetch(ctx context.Context, c *originConnection, e *resolver.Engine, n observer.TargetVersions, m *manifest) (bool, error) {
	work, cancel := l.whileCurrent(ctx, c.place)
	defer cancel()
	go func() {
		for work.Err() == nil {
			if now := l.Engine(); now != nil && !m.fits(now) {
				cancel()
			}
			if newer := l.target(e.Model); newer.Version > n.Version && l.yields(e, n, timekeeper.Now()) {
				spread := l.isSpread(n, timekeeper.Now())
				l.Log.Info().Int64("version", n.Version).Int64("newer", newer.Version).Bool("spread", spread).Msg("version-superseded")
				if spread {
					l.superseded.Store(n.Version)
				}
				cancel()
			}
			_ = sleeper.Sleep(work, pollInterval)
		}
	}()
	if err := l.fill(work, c.fetcher, m); err != nil {
		if work.Err() != nil {
			return false, nil
		}
		return false, err
	}
	return true, nil
}

// fill fetches the missing pieces of a version. The error is of kind NotFound if the version isn't
// kept: the origin has no manifests under their digests, so that the fetch would never end.
func (l *Loader) fill(ctx context.Context, f *distributor.Fetcher, m *manifest) error {
	if l.Store.Manifest(m.version.Manifest) == nil {
		return fail("fetch version "+string(m.version.Name), classifier.NotFound, errors.Newf("manifest %s isn't kept", m.version.Manifest))
	}
	_, err := f.Fetch(ctx, m.version, nil)
	return err
}

// yields reports whether an incomplete version is abandoned for a newer one: if the
// newer one can be served before the deadline of the older one, or if the older one can
// no longer meet it. The decision must be the same on all instances, because a version
// that half of them abandon is served by none.
func (l *Loader) yields(e *resolver.Engine, n observer.TargetVersions, now time.Time) bool {
	if n.Since.IsZero() {
		return true
	}
	due := n.Since.Add(l.MaxVersionDelay)
	return now.Add(l.distributionTime(e)+e.Warm+drainEstimate).Before(due) || now.After(n.Since.Add(time.Duration(float64(l.MaxVersionDelay)*abandonShare)))
}

// distributionTime estimates the time until all instances have fetched a version.
func (l *Loader) distributionTime(e *resolver.Engine) time.Duration {
	if l.Link <= 0 {
		return time.Duration(float64(l.MaxVersionDelay) * distributionShare)
	}
	return time.Duration(float64(int64(e.Chunks)*e.ChunkSize) / l.Link * distributionFactor * float64(time.Second))
}
