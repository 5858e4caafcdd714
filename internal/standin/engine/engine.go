package engine

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Engine is the engine. Exported fields are set before the first call. The zero
// value starts empty, answers without waiting and has no limits.
type Engine struct {
	standin.Server
	// FencingIgnored accepts load orders with an old fencing number.
	FencingIgnored bool
	// WithoutWeights loads without reading the source.
	WithoutWeights bool
	// Loaded is what the engine has loaded after each start; it needs
	// WithoutWeights. Only Model, Version, Digest, Adapters and Role are used.
	Loaded connector.EngineState
	// LoadTime is waited after the weights are read.
	LoadTime time.Duration
	// FirstToken is the time to the first token and TokenInterval the time
	// between tokens.
	FirstToken, TokenInterval time.Duration
	// Batch is the number of requests worked on at once; others wait, the
	// highest priority first. 0 sets no limit.
	Batch int
	// Capacity is the number of requests, waiting ones included, that the
	// engine carries without harm.
	Capacity Capacity
	// CacheSize is the number of prompt prefixes in the cache. A cached prefix
	// shortens the first-token time to a quarter.
	CacheSize int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// ReportGaps is the share of cached prefixes missing in a report, 0 to 1.
	ReportGaps float64
	// Client reads weights; nil means http.DefaultClient.
	Client *http.Client
	// Start holds the faults in force at the start.
	Start Faults
	// Seed is the seed of faults by share.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// NewID returns boot ids and ids of requests without one; nil means random ones.
	NewID func() string

	once  sync.Once
	mux   *http.ServeMux
	gate  standin.Gate[Faults]
	dice  standin.Dice
	fail  standin.Picker
	loses standin.Picker

	mu      sync.Mutex
	state   connector.EngineState
	down    time.Time
	streams []*standin.Picker
	jobs    []*job
	running int
	queue   []*job
	warmth  warmth
	cache   cache
	history history
	stats   Stats
	// abandon ends the load in progress; nil where there is none.
	abandon context.CancelFunc
}

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) error { return e.Serve(ctx, e) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.prepare)
	if strings.HasPrefix(r.URL.Path, "/v1/") && e.isDown() {
		standin.Abort()
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) prepare() {
	if e.Now == nil {
		e.Now = time.Now
	}
	if e.NewID == nil {
		e.NewID = uuid.NewString
	}
	if e.Client == nil {
		e.Client = http.DefaultClient
	}
	e.dice.Seed = e.Seed
	e.boot()
	e.setFaults(e.Start)
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("GET /v1/state", e.getState)
	e.mux.HandleFunc("POST /v1/load", e.load)
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load-report", e.report)
	e.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { standin.Reply(w, http.StatusOK, e.Stats()) })
	standin.HandleFaults(e.mux, e.gate.Get, e.SetFaults)
}

// SetFaults replaces the faults and carries out restart, crash and cold.
func (e *Engine) SetFaults(f Faults) {
	e.once.Do(e.prepare)
	e.setFaults(f)
}

func (e *Engine) setFaults(f Faults) {
	e.mu.Lock()
	if f.Restart || f.Crash > 0 {
		e.restart(f.Crash.Std())
	}
	if f.Cold {
		e.warmth = warmth{since: e.Now()}
	}
	f.Restart, f.Crash, f.Cold = false, 0, false
	e.streams = nil
	for _, s := range f.Streams {
		p := new(standin.Picker)
		if s.Chance == (standin.Chance{}) {
			s.Chance.Share = 1
		}
		p.Set(s.Chance)
		e.streams = append(e.streams, p)
	}
	e.mu.Unlock()
	e.fail.Set(f.Fail)
	e.loses.Set(f.LoseLoads)
	e.gate.Set(f)
}

// boot sets the state of a new start. The caller holds the lock or is the first.
func (e *Engine) boot() {
	e.state = connector.EngineState{}
	if e.WithoutWeights {
		e.state = e.Loaded
		e.state.Fencing, e.state.Loading = 0, false
	}
	e.state.BootID = e.NewID()
	e.warmth = warmth{since: e.Now()}
	e.cache = cache{}
	e.history = history{}
	e.note()
}

// restart ends all work and boots. The caller holds the lock.
func (e *Engine) restart(down time.Duration) {
	e.stats.Restarts++
	e.down = e.Now().Add(down)
	if e.abandon != nil {
		e.abandon()
		e.abandon = nil
	}
	e.settleAll(errEnded)
	e.boot()
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Before(e.down)
}

// note records a load report. The caller holds the lock.
func (e *Engine) note() {
	e.history.add(connector.LoadReport{
		BootID: e.state.BootID, InFlight: e.running, Queued: len(e.queue),
		CachePrefixes: slices.Clone(e.cache.prefixes), At: e.Now(),
	}, e.ReportLag)
}

// State returns what the engine reads back of itself.
func (e *Engine) State() connector.EngineState {
	e.once.Do(e.prepare)
	f := e.gate.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	if f.Misreport && s.Digest != "" {
		s.Digest = recorder.DigestOf([]byte(s.Digest)).String()
	}
	return s
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.once.Do(e.prepare)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.InFlight = len(e.jobs)
	if n := e.Capacity.limit(e.warmth, e.Now()); n != math.MaxInt {
		s.Capacity = n
	}
	s.Loads = slices.Clone(s.Loads)
	return s
}

func outage(f Faults) standin.Outage { return f.Outage }

func (e *Engine) getState(w http.ResponseWriter, r *http.Request) {
	if e.gate.Pass(w, r, outage) {
		standin.Reply(w, http.StatusOK, e.State())
	}
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	if !e.gate.Pass(w, r, outage) {
		return
	}
	e.mu.Lock()
	v := e.history.at(e.Now(), e.ReportLag)
	e.mu.Unlock()
	v.CachePrefixes = slices.DeleteFunc(slices.Clone(v.CachePrefixes), func(string) bool { return e.dice.Hit(e.ReportGaps) })
	standin.Reply(w, http.StatusOK, v)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if !e.gate.Pass(w, r, outage) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for _, j := range slices.Clone(e.jobs) {
		if j.id == r.PathValue("id") {
			e.settle(j, errCancelled)
			found = true
		}
	}
	if !found {
		standin.ReplyError(w, http.StatusNotFound, "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
