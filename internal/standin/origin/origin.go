package origin

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// DefaultCapacity bounds all blobs together in bytes.
	DefaultCapacity = 512 << 20
	// MaxBlob is the largest blob in bytes: a manifest of connector's bound.
	MaxBlob = recorder.MaxManifest
	// piece is the number of bytes that a reader takes from the link at once.
	// Small pieces share a slow link evenly.
	piece = 16 << 10
)

// Origin is the store. Exported fields are set before the first call.
type Origin struct {
	standin.Server
	// BytesPerSecond is the rate of the link that all readers share; 0 sets no limit.
	BytesPerSecond float64
	// RequestsPerSecond limits reads; 0 sets no limit.
	RequestsPerSecond float64
	// Capacity bounds all blobs together in bytes; 0 means DefaultCapacity.
	Capacity int64
	// Start holds the faults in force at the start.
	Start Faults
	// Seed is the seed of faults by share.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	once     sync.Once
	mux      *http.ServeMux
	gate     standin.Gate[Faults]
	dice     standin.Dice
	corrupt  standin.Picker
	cut      standin.Picker
	link     *rate.Limiter
	requests *rate.Limiter

	mu     sync.RWMutex
	blobs  map[recorder.Digest][]byte
	stored int64

	served, limited, corrupted atomic.Int64
	sent                       atomic.Int64
}

// Stats counts what the origin did since its start.
type Stats struct {
	// BytesSent counts bytes of blobs given to the network, also in replies that
	// were cut.
	BytesSent int64 `json:"bytes-sent"`
	// Requests counts reads that were answered with a blob.
	Requests int64 `json:"requests"`
	// Limited counts reads that the request limit refused.
	Limited   int64 `json:"limited"`
	Corrupted int64 `json:"corrupted"`
	Blobs     int   `json:"blobs"`
	Stored    int64 `json:"stored-bytes"`
}

// Run serves until ctx ends.
func (o *Origin) Run(ctx context.Context) error { return o.Serve(ctx, o) }

// SetFaults replaces the faults.
func (o *Origin) SetFaults(f Faults) {
	o.once.Do(o.prepare)
	o.setFaults(f)
}

func (o *Origin) setFaults(f Faults) {
	o.corrupt.Set(f.Corrupt)
	o.cut.Set(f.Cut)
	o.gate.Set(f)
}

// Stats returns the counters.
func (o *Origin) Stats() Stats {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return Stats{
		BytesSent: o.sent.Load(), Requests: o.served.Load(), Limited: o.limited.Load(),
		Corrupted: o.corrupted.Load(), Blobs: len(o.blobs), Stored: o.stored,
	}
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.once.Do(o.prepare)
	o.mux.ServeHTTP(w, r)
}

func (o *Origin) prepare() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Capacity == 0 {
		o.Capacity = DefaultCapacity
	}
	o.dice.Seed = o.Seed
	o.blobs = map[recorder.Digest][]byte{}
	o.link = standin.NewLimiter(o.BytesPerSecond, standin.ByteBurst, piece)
	o.requests = standin.NewLimiter(o.RequestsPerSecond, standin.RequestBurst, 1)
	o.setFaults(o.Start)
	o.mux = http.NewServeMux()
	o.mux.HandleFunc("GET /v1/blobs/{digest}", o.fetch)
	o.mux.HandleFunc("PUT /v1/blobs/{digest}", o.store)
	o.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { standin.Reply(w, http.StatusOK, o.Stats()) })
	standin.HandleFaults(o.mux, o.gate.Get, o.SetFaults)
}

// Put stores a blob and reports whether there was room for it.
func (o *Origin) Put(b []byte) (recorder.Digest, bool) {
	o.once.Do(o.prepare)
	d := recorder.DigestOf(b)
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.blobs[d]; ok {
		return d, true
	}
	if o.stored+int64(len(b)) > o.Capacity {
		return d, false
	}
	o.blobs[d] = b
	o.stored += int64(len(b))
	return d, true
}

func (o *Origin) store(w http.ResponseWriter, r *http.Request) {
	want, err := recorder.ParseDigest(r.PathValue("digest"))
	if err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBlob))
	if err != nil {
		standin.ReplyError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if got := recorder.DigestOf(b); got != want {
		standin.ReplyError(w, http.StatusBadRequest, "body has digest "+got.String())
		return
	}
	if _, ok := o.Put(slices.Clip(b)); !ok {
		standin.ReplyError(w, http.StatusInsufficientStorage, "store is full")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (o *Origin) fetch(w http.ResponseWriter, r *http.Request) {
	if !o.gate.Pass(w, r, func(f Faults) standin.Outage { return f.Outage }) {
		return
	}
	if !standin.Admit(w, o.requests, o.Now()) {
		o.limited.Add(1)
		return
	}
	d, err := recorder.ParseDigest(r.PathValue("digest"))
	if err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	o.mu.RLock()
	b, ok := o.blobs[d]
	o.mu.RUnlock()
	if !ok {
		standin.ReplyError(w, http.StatusNotFound, "no such blob")
		return
	}
	o.served.Add(1)
	if !standin.Sleep(r.Context(), o.gate.Get().Delay.Std()) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if len(b) > 0 && o.corrupt.Hit(&o.dice) {
		o.corrupted.Add(1)
		b = slices.Clone(b)
		b[o.dice.Below(len(b))] ^= 1 << o.dice.Below(8)
	}
	if o.cut.Hit(&o.dice) {
		_ = o.send(r.Context(), w, b[:len(b)/2])
		standin.Abort()
	}
	_ = o.send(r.Context(), w, b)
}

// send writes b at the rate of the shared link.
func (o *Origin) send(ctx context.Context, w io.Writer, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), piece)
		if o.link != nil {
			if err := o.link.WaitN(ctx, n); err != nil {
				return err
			}
		}
		// Counted before the write, so that a reader that has the last byte finds
		// it in the counter.
		o.sent.Add(int64(n))
		if m, err := w.Write(b[:n]); err != nil {
			o.sent.Add(int64(m - n))
			return err
		}
		b = b[n:]
	}
	return nil
}
