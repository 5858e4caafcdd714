package platformlog

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Bounds of the protocol.
const (
	// MaxRecord is the largest record in bytes.
	MaxRecord = 256 << 10
	// MaxAppend is the largest number of records in one append.
	MaxAppend = 1024
	// maxBody bounds the encoded body of an append in bytes.
	maxBody = 64 << 20
	// maxBatch bounds the records of one read in bytes, so that a reply with its
	// base64 form stays below the bound of connector.
	maxBatch     = 32 << 20
	maxRead      = 10_000
	maxWait      = time.Minute
	maxStream    = 128
	defaultLimit = 1000
)

// Log is the log. Exported fields are set before the first call.
type Log struct {
	standin.Server
	// AppendsPerSecond limits appends over all streams; 0 sets no limit.
	AppendsPerSecond float64
	// KeepFor is the age in which records are kept; 0 keeps them for ever.
	KeepFor time.Duration
	// KeepCount is the number of records kept in each stream; 0 keeps all.
	KeepCount int
	// Start holds the faults in force at the start.
	Start Faults
	// Seed is the seed of faults by share.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	once    sync.Once
	mux     *http.ServeMux
	gate    standin.Gate[Faults]
	dice    standin.Dice
	lose    standin.Picker
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	stats   Stats
	// epoch increases with each Restore.
	epoch uint64
}

// firstEpoch is the epoch of a log that hasn't been restored.
const firstEpoch = 1

// Restore replaces all streams by a copy that was made the given age before. Offsets of what was
// appended since are given out again. A log that is unavailable meanwhile has an Outage.
func (l *Log) Restore(age time.Duration) {
	l.once.Do(l.prepare)
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := l.Now().Add(-age)
	for _, s := range l.streams {
		s.cut(copied)
	}
	l.epoch++
}

// Stats counts calls since the start.
type Stats struct {
	// Appends and Records count what was appended, with or without an answer.
	Appends uint64 `json:"appends"`
	Records uint64 `json:"records"`
	// Limited counts appends that the rate limit refused.
	Limited uint64 `json:"limited"`
	// Lost counts appends that happened and were not answered.
	Lost  uint64 `json:"lost"`
	Reads uint64 `json:"reads"`
}

// Run serves until ctx ends.
func (l *Log) Run(ctx context.Context) error { return l.Serve(ctx, l) }

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.once.Do(l.prepare)
	l.setFaults(f)
}

func (l *Log) setFaults(f Faults) {
	l.lose.Set(f.LoseAppends)
	l.gate.Set(f)
}

// Stats returns the counters.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.once.Do(l.prepare)
	l.mux.ServeHTTP(w, r)
}

func (l *Log) prepare() {
	if l.Now == nil {
		l.Now = time.Now
	}
	l.dice.Seed = l.Seed
	l.streams, l.epoch = map[string]*stream{}, firstEpoch
	l.limiter = standin.NewLimiter(l.AppendsPerSecond, standin.RequestBurst, 1)
	l.setFaults(l.Start)
	l.mux = http.NewServeMux()
	l.mux.HandleFunc("POST /v1/streams/{stream}/records", l.append)
	l.mux.HandleFunc("GET /v1/streams/{stream}/records", l.read)
	l.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { standin.Reply(w, http.StatusOK, l.Stats()) })
	standin.HandleFaults(l.mux, l.gate.Get, l.SetFaults)
}

func outage(f Faults) standin.Outage { return f.Outage }

// pause delays the answer and reports whether it is to be given.
func (l *Log) pause(r *http.Request) bool {
	return standin.Sleep(r.Context(), l.gate.Get().Delay.Std())
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		standin.ReplyError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !l.gate.Pass(w, r, outage) {
		return
	}
	name := r.PathValue("stream")
	bodies, err := parseAppend(name, b)
	if err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !standin.Admit(w, l.limiter, l.Now()) {
		l.mu.Lock()
		l.stats.Limited++
		l.mu.Unlock()
		return
	}
	first, epoch, lost := l.add(name, bodies)
	if lost || !l.pause(r) {
		standin.Abort()
	}
	standin.Reply(w, http.StatusOK, struct {
		First uint64 `json:"first-offset"`
		Epoch uint64 `json:"epoch"`
	}{first, epoch})
}

func parseAppend(name string, b []byte) ([][]byte, error) {
	if len(name) == 0 || len(name) > maxStream {
		return nil, errors.Newf("stream name has %d bytes; 1 to %d are allowed", len(name), maxStream)
	}
	var v struct {
		Records [][]byte `json:"records"`
	}
	if err := recorder.DecodeStrict(b, &v); err != nil {
		return nil, err
	}
	if len(v.Records) == 0 || len(v.Records) > MaxAppend {
		return nil, errors.Newf("field records: %d records; 1 to %d are allowed", len(v.Records), MaxAppend)
	}
	for i, x := range v.Records {
		if len(x) > MaxRecord {
			return nil, errors.Newf("field records: record %d has %d bytes; at most %d are allowed", i, len(x), MaxRecord)
		}
	}
	return v.Records, nil
}

func (l *Log) add(name string, bodies [][]byte) (first, epoch uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost = l.lose.Hit(&l.dice)
	l.stats.Appends++
	l.stats.Records += uint64(len(bodies))
	if lost {
		l.stats.Lost++
	}
	s := l.stream(name)
	now := l.Now()
	first = s.append(now, bodies)
	s.trim(now, l.KeepFor, l.KeepCount)
	return first, l.epoch, lost
}

// stream returns the stream, which begins empty. The caller holds the lock.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = new(stream)
		l.streams[name] = s
	}
	return s
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, limit, wait, err := parseRead(r.URL.Query())
	if err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		_, changed := l.gate.Watch()
		if !l.gate.Pass(w, r, outage) {
			return
		}
		first, b, grown := l.look(r.PathValue("stream"), from, limit)
		if from < first || len(b.Entries) > 0 || wait <= 0 {
			l.answer(w, r, from, b)
			return
		}
		select {
		case <-grown:
		case <-changed:
		case <-t.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// look reads a stream and returns a channel that is closed when it grows.
func (l *Log) look(name string, from uint64, limit int) (first uint64, b connector.Batch, grown <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.trim(l.Now(), l.KeepFor, l.KeepCount)
	b = s.read(max(from, s.first()), limit, maxBatch)
	b.Epoch = l.epoch
	return s.first(), b, s.wait()
}

func (l *Log) answer(w http.ResponseWriter, r *http.Request, from uint64, b connector.Batch) {
	l.mu.Lock()
	l.stats.Reads++
	l.mu.Unlock()
	if !l.pause(r) {
		return
	}
	if from < b.First {
		standin.Reply(w, http.StatusGone, struct {
			Error string `json:"error"`
			First uint64 `json:"first"`
			Epoch uint64 `json:"epoch"`
		}{"offset is below the oldest record", b.First, b.Epoch})
		return
	}
	standin.Reply(w, http.StatusOK, b)
}

func parseRead(q url.Values) (from uint64, limit int, wait time.Duration, err error) {
	if from, err = strconv.ParseUint(q.Get("from"), 10, 64); err != nil {
		return 0, 0, 0, errors.Newf("parameter from: %q is not a number", q.Get("from"))
	}
	limit = defaultLimit
	if v := q.Get("max"); v != "" {
		if limit, err = strconv.Atoi(v); err != nil || limit < 1 {
			return 0, 0, 0, errors.Newf("parameter max: %q is not a number above 0", v)
		}
	}
	wait, err = standin.ParseWait(q, maxWait)
	return from, min(limit, maxRead), wait, err
}
