package guarder

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Bounds and times of a Guard; those named after a field are its default.
const (
	// DefaultBatchDelay limits an agent to 200 appends a second.
	DefaultBatchDelay = 5 * time.Millisecond
	// DefaultMaxBatch limits an append to about 128 KiB.
	DefaultMaxBatch = 256
	// DefaultMaxWaiting bounds the calls that wait for their intent.
	DefaultMaxWaiting = 4096
	// DefaultMaxKeys bounds the table; an entry takes 243 bytes, and half as much
	// again as headroom for the garbage collector.
	DefaultMaxKeys = 1 << 18
	// DefaultMaxAnswer bounds one cached answer in bytes.
	DefaultMaxAnswer = 64 << 10
	// DefaultMaxAnswers bounds all cached answers in bytes.
	DefaultMaxAnswers = 16 << 20
	// DefaultRetryAfter is the retry time for callers if the log gives none.
	DefaultRetryAfter = time.Second
	// DefaultResolve is the time after which an append whose response was lost is
	// sent again if its record has not been read.
	DefaultResolve = 500 * time.Millisecond
	// DefaultTimeout bounds one append and one query to a winner's process. A read
	// may take this long beyond its wait for records.
	DefaultTimeout = 5 * time.Second
)

// Guard runs calls of one service at most once for each key. The exported
// fields are set before Run.
type Guard struct {
	// Log holds the stream of intents.
	Log *connector.Log
	// Service and Instance name the guarded service and this agent's instance.
	Service, Instance recorder.Name
	// Address is the address at which other agents reach Handler.
	Address netip.AddrPort
	// BootID is different in every process; 1 to 128 bytes.
	BootID string
	// Window is the time for which a key is remembered after its last intent.
	Window time.Duration
	// Retention is the time for which the log is declared to keep records, or 0
	// when it is not known. With a value below Window the guard is never ready;
	// with 0 it is ready once its known history covers a whole window.
	Retention time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// BatchDelay is the minimum time from one append to the next, in which calls
	// accumulate for a shared append; 0 means DefaultBatchDelay, a negative value
	// no delay.
	BatchDelay time.Duration
	// MaxBatch bounds the intents of one append.
	MaxBatch int
	// MaxWaiting bounds the calls that wait for their intent; above it, calls
	// are refused as not run.
	MaxWaiting int
	// MaxKeys bounds the remembered keys; above it, calls with new keys are
	// refused as not run.
	MaxKeys int
	// MaxAnswer and MaxAnswers bound one kept answer and all of them in bytes.
	// A repeated call whose answer is not kept has an unknown outcome.
	MaxAnswer, MaxAnswers int
	// Client and Scheme reach other agents; the defaults are
	// http.DefaultClient and "http".
	Client *http.Client
	Scheme string
	// Logger gets one line for each decision on a call.
	Logger zerolog.Logger
	// NewOperation returns a new operation id; nil means uuid.New.
	NewOperation func() recorder.OperationID

	mu      sync.Mutex
	running bool
	// caughtUp is set once a read has reached the end of the stream.
	caughtUp bool
	// truncated is set while the log lacks records that are younger than the window.
	truncated bool
	// lastReadiness is the readiness message that was logged last.
	lastReadiness string
	table         *table
	// operations holds the operations of this process by id. Those that won are
	// kept for twice the window; of those that never run, the newest
	// maxNotRunOperations are kept.
	operations map[recorder.OperationID]*operation
	// wonOperations and notRunOperations hold the decided operations, oldest first:
	// those that won, and those that never run.
	wonOperations, notRunOperations []*operation
	// undecided holds the operations that are not decided yet, by key.
	undecided   map[recorder.Digest]*operation
	queue       []*operation
	answerCache answerCache
	// queueNotEmpty is signalled when an intent is queued.
	queueNotEmpty chan struct{}
	// newUndecided is signalled when a call begins to wait for its intent.
	newUndecided chan struct{}
	// epoch is that of the offsets that were read; 0 if it isn't known. clearAt is when the log no
	// longer lacks intents of earlier epochs; the zero time if there was none.
	epoch   uint64
	clearAt time.Time
	// epochBegun is signalled when an epoch above the first begins.
	epochBegun chan struct{}
	// pausedCalls counts the calls that were refused because the log may lack intents.
	pausedCalls int64
	// lastReadDecided is set if the last read decided an operation of this process.
	lastReadDecided bool
}

// Run reads the stream from the oldest record and follows it until the context
// ends or a record of a newer format appears. It must be called only once.
func (g *Guard) Run(ctx context.Context) error {
	if err := g.check(); err != nil {
		return err
	}
	defer g.close()
	e, ctx := errgroup.WithContext(ctx)
	e.Go(func() error { return g.follow(ctx) })
	e.Go(func() error { return g.appendLoop(ctx) })
	e.Go(func() error { return g.watchEpoch(ctx) })
	return e.Wait()
}

// check validates the fields, sets the defaults and initialises the state.
func (g *Guard) check() error {
	const op = "run guard"
	if g.Log == nil || g.Window <= 0 {
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.New("a log and a window above 0 are needed")}
	}
	g.setDefaults()
	i := g.intent(&operation{id: uuid.Max, key: recorder.Digest{1}, request: recorder.Digest{1}})
	if err := i.check(); err != nil {
		return &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if g.Retention > 0 && g.Retention < g.Window {
		g.Logger.Error().Str("service", string(g.Service)).Dur("retention-ms", g.Retention).Dur("window-ms", g.Window).
			Msg("guard stays not ready: the log keeps records for less than the key window")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = true
	g.operations, g.undecided = map[recorder.OperationID]*operation{}, map[recorder.Digest]*operation{}
	g.answerCache = answerCache{maxAnswerBytes: g.MaxAnswer, maxTotalBytes: g.MaxAnswers}
	g.queueNotEmpty, g.newUndecided, g.epochBegun = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	return nil
}

func (g *Guard) setDefaults() {
	orDefault(&g.Now, time.Now, g.Now == nil)
	orDefault(&g.NewOperation, uuid.New, g.NewOperation == nil)
	orDefault(&g.Client, http.DefaultClient, g.Client == nil)
	orDefault(&g.Scheme, "http", g.Scheme == "")
	orDefault(&g.BatchDelay, DefaultBatchDelay, g.BatchDelay == 0)
	orDefault(&g.MaxBatch, DefaultMaxBatch, g.MaxBatch <= 0)
	orDefault(&g.MaxWaiting, DefaultMaxWaiting, g.MaxWaiting <= 0)
	orDefault(&g.MaxKeys, DefaultMaxKeys, g.MaxKeys <= 0)
	orDefault(&g.MaxAnswer, DefaultMaxAnswer, g.MaxAnswer <= 0)
	orDefault(&g.MaxAnswers, DefaultMaxAnswers, g.MaxAnswers <= 0)
}

func orDefault[T any](field *T, value T, unset bool) {
	if unset {
		*field = value
	}
}

// Ready reports whether the table covers the window, so that calls are accepted.
// A ready guard stays ready during an outage of the log.
func (g *Guard) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready()
}

func (g *Guard) ready() bool {
	switch {
	case !g.running || !g.caughtUp || g.truncated || g.lostIntentsFor() > 0:
		return false
	case g.Retention > 0:
		return g.Retention >= g.Window
	}
	return g.table.covers(g.now())
}

func (g *Guard) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

// close refuses every undecided operation.
func (g *Guard) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = false
	for _, o := range g.undecided {
		g.refuse(o, errors.New("the guard stopped"), 0)
	}
	g.queue = nil
}

func (g *Guard) stream() string { return connector.IntentStream(string(g.Service)) }

func (g *Guard) intent(o *operation) intent {
	return intent{
		Format: format, Key: o.key, Request: o.request, Instance: g.Instance, Address: g.Address,
		BootID: g.BootID, Operation: o.id, Replaces: o.replaces,
	}
}
