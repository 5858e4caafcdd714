package distributor

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Defaults of the Fetcher's limits.
const (
	defaultParallel       = 8
	defaultLeadParallel   = 4
	defaultSharedParallel = 16
	defaultOriginParallel = 4
	defaultWait           = 2 * time.Second
	defaultPoll           = 500 * time.Millisecond
	defaultStall          = 2 * time.Second
	defaultHedgeDelay     = 30 * time.Second
	defaultLateDelay      = 4 * time.Second
	defaultMaxBackoff     = 5 * time.Second
	defaultPending        = 5 * time.Second
)

// Fetcher fetches versions into a Store. Fields are set before the first Fetch;
// a zero limit stands for its default.
type Fetcher struct {
	// Self is this instance with its failure domain and region.
	Self Member
	// OriginRegion is the region of the origin.
	OriginRegion recorder.Name
	Store        *Store
	Origin       *connector.Origin
	// Client calls the peers; see NewClient.
	Client *http.Client
	// Scheme of the peers' URLs; "http" where it is empty.
	Scheme string
	// Members returns the current list of members, which must not be changed
	// afterwards.
	Members func() []Member

	// Parallel is the number of chunks in flight in each queue for which another
	// instance of the cell is ranked first; the default is 8.
	Parallel int
	// IdleParallel replaces Parallel while IsIdle returns true, if it is larger. The
	// chunks then delay no live calls.
	IdleParallel int
	// IsIdle reports whether the instance serves no live calls; nil means that it does.
	IsIdle func() bool
	// LeadParallel is the number of chunks in flight in each queue for which this
	// instance is ranked first; the default is 4.
	LeadParallel int
	// SharedParallel is the number of chunks that all instances of the region
	// together keep in flight over a shared link. Each uses an equal part, but at
	// least one. A higher number delays the first chunk, on which all other
	// instances wait, and so the whole burst. The default is 16.
	SharedParallel int
	// OriginParallel limits the origin reads in flight; the default is 4.
	OriginParallel int
	// OriginRate limits the origin reads per second of this instance; 0 means
	// no limit.
	OriginRate float64
	// CrossRegionRate limits the bytes per second into this region; every member
	// of the region uses an equal share. 0 means no limit.
	CrossRegionRate float64
	// Wait is how long a source that is not yet fetching a chunk is asked for it;
	// the default is 2 s.
	Wait time.Duration
	// Poll is how long a source holds one request, at most Wait; the default is
	// 500 ms. In a cycle of n waiting instances, names advance by one instance per
	// Poll, so the cycle is detected after n-1 times Poll.
	Poll time.Duration
	// Stall is the time without a byte after which the next source is asked as
	// well; the default is 2 s.
	Stall time.Duration
	// HedgeDelay is how long a source may be fetching a chunk before the next
	// source is asked as well; the default is 30 s.
	HedgeDelay time.Duration
	// LateDelay is how long a chunk that no source sends counts against the limits of
	// chunks in flight; the default is 4 s. Later it is waited for beside them.
	LateDelay time.Duration
	// Link bounds the bytes that were asked for; nil means no bound.
	Link *Link
	// PendingInterval is the interval at which a fetch that lasts logs what it lacks; the default is
	// 5 s.
	PendingInterval time.Duration
	// MaxBackoff limits the delay after all sources failed and the delay between
	// origin reads; the default is 5 s. The origin may ask for a longer one.
	MaxBackoff time.Duration

	// Now returns the current time, Rand a random number from 0 to 1.
	Now  func() time.Time
	Rand func() float64
	Log  zerolog.Logger

	once          sync.Once
	peers         peers
	originBackoff backoff
	hedgeBudget   budget
	originSlots   chan struct{}
	originRate    *rate.Limiter
	crossRegion   *rate.Limiter
	received      counters
	takeovers     atomic.Int64
	corrupt       atomic.Int64
}

func (f *Fetcher) setUp() {
	f.once.Do(func() {
		setDefault(&f.Scheme, "http")
		setDefault(&f.Parallel, defaultParallel)
		setDefault(&f.LeadParallel, defaultLeadParallel)
		setDefault(&f.SharedParallel, defaultSharedParallel)
		setDefault(&f.OriginParallel, defaultOriginParallel)
		setDefault(&f.Wait, defaultWait)
		setDefault(&f.Poll, defaultPoll)
		f.Poll = min(f.Poll, f.Wait)
		setDefault(&f.Stall, defaultStall)
		setDefault(&f.HedgeDelay, defaultHedgeDelay)
		setDefault(&f.LateDelay, defaultLateDelay)
		setDefault(&f.MaxBackoff, defaultMaxBackoff)
		setDefault(&f.PendingInterval, defaultPending)
		if f.Link == nil {
			f.Link = new(Link)
		}
		if f.Now == nil {
			f.Now = time.Now
		}
		if f.Rand == nil {
			f.Rand = rand.Float64
		}
		f.originSlots = make(chan struct{}, f.OriginParallel)
		f.originRate = rate.NewLimiter(rate.Inf, 1)
		if f.OriginRate > 0 {
			f.originRate = rate.NewLimiter(rate.Limit(f.OriginRate), f.OriginParallel)
		}
		f.crossRegion = rate.NewLimiter(rate.Inf, 0)
	})
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Stats returns the bytes that this instance received and the number of takeovers
// and of corrupted chunks.
func (f *Fetcher) Stats() Stats {
	return Stats{Received: f.received.load(), Takeovers: f.takeovers.Load(), Corrupt: f.corrupt.Load()}
}

// Fetch fills the store with the chunks of a version and returns its manifest.
// Chunks that are already in the store are not fetched again. After each chunk
// it calls progress, unless that is nil, with the number of verified chunks and
// the number of distinct chunks.
//
// Fetch retries until it succeeds or the context ends, for example because the
// version is superseded; the manifest is then kept until Store.Drop. The error is
// of kind Invalid if the manifest contradicts the version and Exhausted if the
// store is too small.
func (f *Fetcher) Fetch(ctx context.Context, v recorder.Version, progress func(verified, total int)) (*recorder.Manifest, error) {
	f.setUp()
	const op = "fetch version"
	if progress == nil {
		progress = func(int, int) {}
	}
	wasKept := f.Store.Manifest(v.Manifest) != nil
	m, err := f.manifest(ctx, v)
	if err != nil {
		return nil, err
	}
	if m.Size != v.Size || m.Digest != v.Digest {
		// A manifest that was kept before is that of another version.
		if !wasKept {
			f.Store.Drop(v.Manifest)
		}
		return nil, fail(op, classifier.Invalid, "manifest %s has size %d and digest %s; version %s has %d and %s",
			v.Manifest, m.Size, m.Digest, v.Key(), v.Size, v.Digest)
	}
	r := newRun(f, m)
	var mu sync.Mutex
	verified := 0
	report := func() {
		mu.Lock()
		defer mu.Unlock()
		verified++
		progress(verified, len(r.chunks))
	}
	g, work := errgroup.WithContext(ctx)
	defer r.logPending(work, v.Key())()
	p := r.plan()
	for _, l := range p.Queues() {
		r.startWorkers(work, g, l, f.parallel(p, l), report)
	}
	if err := g.Wait(); err != nil {
		return nil, &Error{Op: op + " " + v.Key(), Kind: kindOf(ctx, err), Err: err}
	}
	return m, nil
}

// parallel returns the number of chunks of a queue that are fetched concurrently.
func (f *Fetcher) parallel(p *Plan, l Queue) int {
	switch {
	case !l.Leader:
		return f.Parallel
	case l.Level == OtherRegion || l.Level == FromOrigin:
		return min(f.LeadParallel, max(1, f.SharedParallel/p.regionSize()))
	default:
		return f.LeadParallel
	}
}

// manifest returns the manifest of a version from the store or fetches it.
func (f *Fetcher) manifest(ctx context.Context, v recorder.Version) (*recorder.Manifest, error) {
	if m := f.Store.Manifest(v.Manifest); m != nil {
		return m, nil
	}
	r := &run{f: f, urlPath: "/v1/manifests/", chunks: []recorder.Digest{v.Manifest}, sizes: []int64{-1}}
	var kept *recorder.Manifest
	r.accept = func(d recorder.Digest, b []byte) (err error) {
		if recorder.DigestOf(b) != d {
			return errCorrupt
		}
		kept, err = f.Store.Keep(d, b)
		return errors.Mark(err, errRejected)
	}
	defer r.logPending(ctx, v.Key())()
	if err := newTask(r, 0).fetch(ctx); err != nil {
		return nil, &Error{Op: "fetch manifest of " + v.Key(), Kind: kindOf(ctx, err), Err: err}
	}
	return kept, nil
}

// kindOf returns Unavailable if the context ended the fetch, otherwise the kind of
// err.
func kindOf(ctx context.Context, err error) classifier.Kind {
	if ctx.Err() != nil {
		return classifier.Unavailable
	}
	return classifier.Of(err)
}
