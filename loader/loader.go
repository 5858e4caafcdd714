package loader

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Times of a Loader.
const (
	// idlePace is the pause between two looks at the target.
	idlePace = 100 * time.Millisecond
	// failurePause is the pause after a failed step.
	failurePause = 250 * time.Millisecond
	// closeNotice is the time in which the gateways learn that the engine is
	// about to load, before the order is given.
	closeNotice = 60 * time.Millisecond
	// drainTime is the time in which most streams of an engine end before it loads.
	drainTime = 1500 * time.Millisecond
	// streamsTime is the time that streams get to their end before a load cuts them.
	streamsTime = 900 * time.Millisecond
	// loadMargin bounds the time of a load beyond that of the engine; streams
	// that run end first.
	loadMargin = 6 * time.Second
)

const (
	// spreadFactor is the time of a spread relative to that of one copy on the
	// instance's link, and spreadShare the part of the time to the deadline that a
	// spread takes where the link isn't known.
	spreadFactor = 1.4
	spreadShare  = 0.45
	// lateShare is the part of the time to the deadline after which a version that
	// isn't whole makes room for a newer one.
	lateShare = 0.9
	// readBacks is the number of times that staged pieces are mended before an
	// order is given up.
	readBacks = 3
)

// Loader brings the engine of one instance to the named version. Its fields are
// set before Run.
type Loader struct {
	// Service is the service of the engine.
	Service string
	// Address of the engine, as in the list.
	Address netip.AddrPort
	// Link is the rate of the instance's link in bytes per second; 0 where it isn't
	// known.
	Link float64
	// Within is the time in which a named version has to be served everywhere.
	Within   time.Duration
	State    *observer.State
	Reporter *Reporter
	Replica  *connector.Replica
	// Digests asks other instances for the digests of a version. An error of kind
	// Refused tells to ask them again soon, any other to ask the origin.
	Digests func(ctx context.Context, model string, version int64) ([][32]byte, error)
	// Pieces returns a client of an origin.
	Pieces func(netip.AddrPort) *connector.Pieces
	// NewFetcher returns a fetcher for an origin in the failure domain.
	NewFetcher func(o *connector.Origin, domain string) *distributor.Fetcher
	Store      *distributor.Store
	Log        zerolog.Logger

	fetcher *distributor.Fetcher
	origin  netip.AddrPort

	// complete is the newest version whose pieces are all in the store, or that
	// the engine serves already.
	complete atomic.Int64

	mu sync.Mutex
	// manifests holds the versions whose manifests are kept in the store.
	manifests map[int64]*manifest
	// pieces finds the piece of a digest.
	pieces map[recorder.Digest]piece
}

// Run brings the engine to each version that is named until the context ends.
// Fetching and loading go on side by side, so that a version that is named while
// another one loads is on its way already.
func (l *Loader) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.repeat(ctx, "fetch-failed", l.fetchStep) })
	g.Go(func() error { return l.repeat(ctx, "load-failed", l.loadStep) })
	return g.Wait()
}

func (l *Loader) repeat(ctx context.Context, failure string, step func(context.Context) error) error {
	for ctx.Err() == nil {
		pause := idlePace
		if err := step(ctx); err != nil && ctx.Err() == nil {
			l.Log.Warn().Err(err).Msg(failure)
			pause = failurePause
		}
		_ = sleeper.Sleep(ctx, pause)
	}
	return nil
}

// engine returns the description of the engine and of the origin, or nil.
func (l *Loader) engine() (*resolver.Engine, *resolver.Service) {
	t := l.State.Table()
	if t == nil {
		return nil, nil
	}
	s, o := t.Service(l.Service), t.Configuration.Origin()
	if s == nil || s.Engine == nil || s.Engine.Chunks == 0 || o == nil {
		return nil, nil
	}
	return s.Engine, o
}

// Engine returns the description of the engine, or nil while none is known.
func (l *Loader) Engine() *resolver.Engine {
	e, _ := l.engine()
	return e
}

// target returns the version to serve; the first one where none was named.
func (l *Loader) target(model string) observer.TargetVersions {
	n := l.State.Target(model, 0)
	n.Version = max(n.Version, 1)
	return n
}

// loadStep brings the engine to the newest version that is complete.
func (l *Loader) loadStep(ctx context.Context) error {
	e, _ := l.engine()
	state, known := l.Reporter.State()
	version := l.complete.Load()
	if e == nil || !known || state.Versions[e.Model] >= version {
		return nil
	}
	l.mu.Lock()
	m := l.manifests[version]
	l.mu.Unlock()
	if m == nil {
		return nil
	}
	if !l.has(m) {
		// The engine served the version without all pieces here, and restarted.
		l.complete.CompareAndSwap(version, 0)
		return nil
	}
	if err := l.stage(ctx, e.Model, m); err != nil {
		return err
	}
	l.Log.Info().Int64("version", version).Msg("version-staged")
	if !l.awaitTurn(ctx, e.Model, version) {
		return nil
	}
	return l.order(ctx, e, version, m)
}

// has reports whether all pieces are in the store.
func (l *Loader) has(m *manifest) bool {
	return !slices.ContainsFunc(m.Chunks, func(d recorder.Digest) bool { return !l.Store.Has(d) })
}

func fail(op string, k classifier.Kind, err error) error { return &Error{Op: op, Kind: k, Err: err} }

// stage stores the pieces at the engine and reads them back.
func (l *Loader) stage(ctx context.Context, model string, m *manifest) error {
	for range readBacks {
		wrong := 0
		for i, d := range m.Chunks {
			if b, err := l.Replica.Staged(ctx, model, i); err == nil && recorder.DigestOf(b) == d {
				continue
			}
			wrong++
			b, ok := l.Store.Get(d)
			if !ok {
				return fail("stage", classifier.Unavailable, errors.Newf("piece %d is not here", i))
			}
			if err := l.Replica.Stage(ctx, model, i, b); err != nil {
				return fail("stage piece "+strconv.Itoa(i), classifier.Of(err), err)
			}
		}
		if wrong == 0 {
			return nil
		}
	}
	return fail("stage", classifier.Unavailable, errors.Newf("pieces differ after %d tries", readBacks))
}

// awaitTurn waits until the engine may load. It returns false where a newer version
// is complete meanwhile, so that the engine loads only that one.
func (l *Loader) awaitTurn(ctx context.Context, model string, version int64) bool {
	n := l.target(model)
	if n.Version != version {
		n.Learned = time.Time{}
	}
	start := time.Now()
	if s, _ := l.Reporter.State(); s.Versions[model] > 0 {
		place := place(l.State.Endpoints(), l.Service, l.Address)
		start = turnStart(place, n.Learned, start, l.Within)
	}
	for time.Now().Before(start) && l.complete.Load() == version {
		if s, ok := l.Reporter.State(); !ok || s.Versions[model] == 0 {
			break
		}
		_ = sleeper.Sleep(ctx, min(idlePace, time.Until(start)))
	}
	return ctx.Err() == nil && l.complete.Load() == version
}

// order gives the order to load and waits until the engine serves the version.
func (l *Loader) order(ctx context.Context, e *resolver.Engine, version int64, m *manifest) error {
	l.Reporter.Close(ctx, true)
	defer l.Reporter.Close(ctx, false)
	_ = sleeper.Sleep(ctx, closeNotice)
	if err := l.stage(ctx, e.Model, m); err != nil {
		return err
	}
	cut := l.State.Table().MayCut(l.Service) && l.awaitStreams(ctx)
	state, known := l.Reporter.State()
	if !known {
		return fail("order", classifier.Unavailable, errors.New("the engine doesn't answer"))
	}
	began := time.Now()
	err := l.Replica.Start(ctx, e.Model, version, state.Orders, cut)
	l.Log.Info().Int64("version", version).Int64("orders", state.Orders).Bool("cut", cut).AnErr("refusal", err).Msg("load-ordered")
	if err != nil && classifier.Of(err) != classifier.OutcomeUnknown {
		return err
	}
	limit := began.Add(e.Warm + loadMargin)
	for time.Now().Before(limit) && ctx.Err() == nil {
		_ = sleeper.Sleep(ctx, idlePace/2)
		l.Reporter.Read(ctx)
		s, ok := l.Reporter.State()
		switch {
		case ok && !s.Started.Equal(state.Started):
			return fail("load", classifier.Unavailable, errors.New("the engine restarted"))
		case ok && s.Versions[e.Model] == version:
			l.Log.Info().Int64("version", version).Dur("load-ms", time.Since(began)).Msg("version-loaded")
			l.drop(version)
			return nil
		}
	}
	return fail("load", classifier.Timeout, errors.Newf("version %d is not loaded after %s", version, time.Since(began)))
}

// awaitStreams waits for the end of the requests that run, and reports whether some
// still do after a while. Streams that are cut go on at another engine, which takes
// less from the callers than an engine that reads no prompt for seconds.
func (l *Loader) awaitStreams(ctx context.Context) bool {
	for until := time.Now().Add(streamsTime); time.Now().Before(until); {
		l.Reporter.Read(ctx)
		if s, ok := l.Reporter.State(); !ok || s.Active+s.Queued == 0 {
			return false
		}
		_ = sleeper.Sleep(ctx, idlePace/2)
	}
	return true
}
