package loader

import (
	"context"
	"net/netip"
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
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Delays and limits of a Loader.
const (
	// pollInterval is the pause between two checks of the target version.
	pollInterval = 100 * time.Millisecond
	// retryDelay is the pause after a failed step.
	retryDelay = 250 * time.Millisecond
	// closeNotice is the pause between the report that the engine is about to load and
	// the load order, in which the gateways receive the report.
	closeNotice = 60 * time.Millisecond
	// drainEstimate is the time in which most streams of an engine end before it loads.
	drainEstimate = 1500 * time.Millisecond
	// streamGrace is how long running streams may go on before a load cuts them.
	streamGrace = 900 * time.Millisecond
	// loadMargin is added to the engine's load time for the timeout of a load, because
	// the engine lets running streams end first.
	loadMargin = 6 * time.Second
)

const (
	// distributionFactor is the time to distribute a version to all instances relative
	// to the time of one copy over the instance's link, and distributionShare is that
	// time as a part of MaxVersionDelay where the rate of the link isn't known.
	distributionFactor = 1.4
	distributionShare  = 0.45
	// abandonShare is the part of MaxVersionDelay after which an incomplete version is abandoned
	// for a newer one.
	abandonShare = 0.9
	// maxStageAttempts is the number of passes that stage missing or corrupt pieces
	// before the step fails.
	maxStageAttempts = 3
	// maxCheckAge is the time between the check of the first staged piece and the order
	// beyond which the pieces are checked again; they may become corrupt meanwhile.
	maxCheckAge = 2500 * time.Millisecond
)

// Loader loads the target version into the engine of one instance. Its exported fields
// must be set before Run.
type Loader struct {
	// Service is the service of the engine.
	Service string
	// Domain is the failure domain of the instance.
	Domain string
	// Address is the address of the engine, as in the endpoint list.
	Address netip.AddrPort
	// Link is the rate of the instance's link in bytes per second; 0 where it isn't
	// known.
	Link float64
	// MaxVersionDelay is the time in which all instances have to serve a new target version.
	MaxVersionDelay time.Duration
	// Grace is the time for which gateways use an older version after a newer one was named;
	// 0 stands for MaxVersionDelay.
	Grace    time.Duration
	State    *observer.State
	Reporter *Reporter
	Replica  *connector.Replica
	// Digests asks other instances for the digests of a version. After an error of kind
	// Refused the Loader asks them again soon, after any other it asks the origin.
	Digests func(ctx context.Context, model string, version int64) ([][32]byte, error)
	// Learned is called with digests that the origin sent; it may be nil.
	Learned func(ctx context.Context, model string, version int64, digests [][32]byte)
	// Pieces returns a client of the origin at the address.
	Pieces func(netip.AddrPort) *connector.Pieces
	// Manifests returns a client of the origin for manifests, so that they don't wait for the
	// connections of pieces; nil stands for Pieces.
	Manifests func(netip.AddrPort) *connector.Pieces
	// NewFetcher returns a fetcher for an origin in the given failure domain.
	NewFetcher func(o *connector.Origin, domain string) *distributor.Fetcher
	Store      *distributor.Store
	Log        zerolog.Logger

	// began is the time of the start.
	began time.Time

	// complete is the newest version of which the store has all pieces, or which the
	// engine already serves.
	complete atomic.Int64
	// superseded is the newest version whose fetch was stopped for a newer one.
	superseded atomic.Int64
	// fetching is the version that is being fetched with the origin; 0 if there is none.
	fetching atomic.Int64
	// completing reports whether the superseded version is completed from the origin, and
	// supersededReads counts the reads for that. originAnswered reports whether the last read of
	// the target version from the origin succeeded.
	completing, originAnswered atomic.Bool
	supersededReads            atomic.Int64
	// staging guards the staged pieces between their check and the load order.
	staging sync.Mutex

	versions versions

	mu sync.Mutex
	// connection is nil before the first call of connect.
	connection *originConnection
}

// Run fetches and loads each new target version until ctx is done. Fetching, staging and
// loading run concurrently, so that a version can be fetched while an older one loads.
func (l *Loader) Run(ctx context.Context) error {
	l.began = time.Now()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.repeat(ctx, "fetch-failed", l.fetchStep) })
	g.Go(func() error { return l.repeat(ctx, "superseded-fetch-failed", l.supersededStep) })
	g.Go(func() error { return l.repeat(ctx, "early-stage-failed", l.stageEarlyStep) })
	g.Go(func() error { return l.repeat(ctx, "load-failed", l.loadStep) })
	return g.Wait()
}

// repeat runs step until ctx is done, and logs its errors as the event failure.
func (l *Loader) repeat(ctx context.Context, failure string, step func(context.Context) error) error {
	for ctx.Err() == nil {
		pause := pollInterval
		if err := step(ctx); err != nil && ctx.Err() == nil {
			l.Log.Warn().Err(err).Msg(failure)
			pause = retryDelay
		}
		_ = sleeper.Sleep(ctx, pause)
	}
	return nil
}

// Stats holds the state of the versions of a Loader.
type Stats struct {
	// Complete is the newest version of which the store has all pieces, and Superseded the one
	// that is completed beside a newer one; 0 if there is none.
	Complete, Superseded int64
	// Completing reports whether the missing pieces of Superseded are read from the origin.
	Completing bool
	// SupersededReads counts the reads of such pieces.
	SupersededReads int64
	// Chunks counts what was transferred for the target versions.
	Chunks distributor.Stats
}

// Stats returns the current state. It may be called at any time.
func (l *Loader) Stats() Stats {
	s := Stats{
		Complete: l.complete.Load(), Superseded: l.superseded.Load(), Completing: l.completing.Load(),
		SupersededReads: l.supersededReads.Load(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.connection; c != nil {
		s.Chunks = c.fetcher.Stats()
	}
	return s
}

// engine returns the configurations of the engine and of the origin, or nil for what isn't
// known.
func (l *Loader) engine() (*resolver.Engine, *resolver.Service) {
	t := l.State.Table()
	if t == nil {
		return nil, nil
	}
	s, o := t.Service(l.Service), t.Configuration.Origin()
	if s == nil || s.Engine == nil || s.Engine.Chunks == 0 {
		return nil, o
	}
	return s.Engine, o
}

// Engine returns the configuration of the engine, or nil while it isn't known.
func (l *Loader) Engine() *resolver.Engine {
	e, _ := l.engine()
	return e
}

// target returns the target version, which is 1 if the operators set none.
func (l *Loader) target(model string) observer.TargetVersions {
	n := l.State.Target(model, 0)
	n.Version = max(n.Version, 1)
	return n
}

// loadStep loads the newest complete version unless the engine already serves it.
func (l *Loader) loadStep(ctx context.Context) error {
	e := l.Engine()
	state, known := l.Reporter.State()
	version := l.complete.Load()
	if e == nil || !known || state.Versions[e.Model] >= version || l.isTooLate(e.Model, version, timekeeper.Now()) {
		return nil
	}
	m := l.versions.of(version)
	if m == nil {
		return nil
	}
	if !m.isComplete(l.Store) {
		// The engine served the version while the store lacked pieces of it, and has
		// restarted since.
		l.complete.CompareAndSwap(version, 0)
		return nil
	}
	l.staging.Lock()
	_, err := l.stage(ctx, e.Model, m)
	l.staging.Unlock()
	if err != nil {
		return err
	}
	l.Log.Info().Int64("version", version).Msg("version-staged")
	if !l.awaitLoadStart(ctx, e.Model, version) {
		return nil
	}
	return l.order(ctx, e, version, m)
}

func (l *Loader) replica() replica { return replica{l.Replica} }

func fail(op string, k classifier.Kind, err error) error { return &Error{Op: op, Kind: k, Err: err} }

// stage stages all pieces at the engine and reads them back until all are right. It returns
// when it began to read them for the last time, on the clock of package timekeeper. The
// caller must hold l.staging.
func (l *Loader) stage(ctx context.Context, model string, m *manifest) (time.Time, error) {
	for range maxStageAttempts {
		began, wrong := timekeeper.Now(), 0
		for i, d := range m.Chunks {
			if b, err := l.replica().staged(ctx, model, i, m.ChunkSize); err == nil && recorder.DigestOf(b) == d {
				continue
			}
			wrong++
			b, ok := l.Store.Get(d)
			if !ok {
				return time.Time{}, fail("stage", classifier.Unavailable, errors.Newf("piece %d is not in the store", i))
			}
			if err := l.replica().stage(ctx, model, i, b); err != nil {
				return time.Time{}, fail("stage piece "+strconv.Itoa(i), classifier.Of(err), err)
			}
		}
		if wrong == 0 {
			return began, nil
		}
	}
	return time.Time{}, fail("stage", classifier.Unavailable, errors.Newf("staged pieces are still wrong after %d attempts", maxStageAttempts))
}

// awaitLoadStart waits until the engine may load. It returns false if a newer version
// becomes complete meanwhile, so that the engine loads only that one, or if it is too
// late for the version.
func (l *Loader) awaitLoadStart(ctx context.Context, model string, version int64) bool {
	since := l.since(model, version)
	start := timekeeper.Now()
	superseded := version < l.target(model).Version
	if s, _ := l.Reporter.State(); s.Versions[model] > 0 {
		place := place(l.State.Endpoints(), l.Service, l.Address)
		start = loadStart(place, since, start, l.latestLoad(model, version, start), l.MaxVersionDelay)
	}
	for timekeeper.Now().Before(start) && l.complete.Load() == version {
		// An engine that is silent keeps its turn. If it has restarted, its first answer
		// has no version.
		if s, _ := l.Reporter.State(); s.Versions[model] == 0 || superseded && l.isUseless(model, timekeeper.Now()) {
			break
		}
		_ = sleeper.Sleep(ctx, min(pollInterval, start.Sub(timekeeper.Now())))
	}
	return ctx.Err() == nil && l.complete.Load() == version && !l.isTooLate(model, version, timekeeper.Now())
}

// since returns the time from which the load of a version is scheduled; the zero time if
// it isn't the target any more. The times of a superseded version may have passed when it
// is complete, and all engines would load it at once.
func (l *Loader) since(model string, version int64) time.Time {
	if n := l.target(model); n.Version == version {
		return n.Since
	}
	return time.Time{}
}

// order orders the engine to load the version and waits until it serves it.
func (l *Loader) order(ctx context.Context, e *resolver.Engine, version int64, m *manifest) error {
	l.Reporter.SetClosed(ctx, true)
	defer l.Reporter.SetClosed(ctx, false)
	_ = sleeper.Sleep(ctx, closeNotice)
	l.staging.Lock()
	began, state, err := l.start(ctx, e, version, m)
	l.staging.Unlock()
	if err != nil {
		return err
	}
	limit := began.Add(e.Warm + loadMargin)
	for time.Now().Before(limit) && ctx.Err() == nil {
		_ = sleeper.Sleep(ctx, pollInterval/2)
		l.Reporter.Read(ctx)
		s, ok := l.Reporter.State()
		switch {
		case ok && !s.Started.Equal(state.Started):
			return fail("load", classifier.Unavailable, errors.New("the engine restarted"))
		case ok && s.Versions[e.Model] == version:
			l.Log.Info().Int64("version", version).Dur("load-ms", time.Since(began)).Msg("version-loaded")
			l.versions.dropBefore(l.Store, version)
			return nil
		}
	}
	return fail("load", classifier.Timeout, errors.Newf("version %d is not loaded after %s", version, time.Since(began)))
}

// start stages the version and sends the order. It returns when it sent the order and
// the engine's state before; the order may have been accepted unless err is set.
func (l *Loader) start(ctx context.Context, e *resolver.Engine, version int64, m *manifest) (time.Time, connector.ReplicaReport, error) {
	cut, err := l.prepare(ctx, e, m)
	if err != nil {
		return time.Time{}, connector.ReplicaReport{}, err
	}
	state, known := l.Reporter.State()
	if !known {
		return time.Time{}, state, fail("order", classifier.Unavailable, errors.New("the engine doesn't answer"))
	}
	if until, limited := l.usedUntil(e.Model, version); limited && timekeeper.Now().Add(e.Warm).After(until) {
		return time.Time{}, state, fail("order", classifier.Unavailable, errors.New("the superseded version isn't used any more when it is loaded"))
	}
	began := time.Now()
	err = l.replica().start(ctx, e.Model, version, state.Orders, cut)
	l.Log.Info().Int64("version", version).Int64("orders", state.Orders).Bool("cut", cut).AnErr("refusal", err).Msg("load-ordered")
	if classifier.Of(err) == classifier.OutcomeUnknown {
		err = nil
	}
	return began, state, err
}

// prepare stages the version and waits for running streams, and reports whether some are
// left to be cut. If the process was paused meanwhile, it does so again.
func (l *Loader) prepare(ctx context.Context, e *resolver.Engine, m *manifest) (cut bool, err error) {
	for range maxStageAttempts {
		checked, err := l.stage(ctx, e.Model, m)
		if err != nil {
			return false, err
		}
		cut = l.State.Table().MayCut(l.Service) && l.awaitStreams(ctx)
		if timekeeper.Now().Sub(checked) < maxCheckAge {
			return cut, nil
		}
	}
	return cut, nil
}

// awaitStreams waits up to streamGrace for running requests to end, and reports whether
// some are still running. Cutting these is the lesser harm: they resume at another
// engine, while an engine that waits for them reads no prompts for seconds.
func (l *Loader) awaitStreams(ctx context.Context) bool {
	for until := time.Now().Add(streamGrace); time.Now().Before(until); {
		l.Reporter.Read(ctx)
		if s, ok := l.Reporter.State(); !ok || s.Active+s.Queued == 0 {
			return false
		}
		_ = sleeper.Sleep(ctx, pollInterval/2)
	}
	return true
}
