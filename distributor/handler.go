package distributor

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Defaults and limits of the Handler.
const (
	defaultMaxWait      = 10 * time.Second
	defaultSendParallel = 4
	defaultWriteTimeout = 10 * time.Second
	// writeSize is the number of bytes written at a time, so that a change of
	// the rate takes effect within a chunk.
	writeSize = 32 << 10
	// liveLoadInterval is how often LiveLoad is read while chunks are sent.
	liveLoadInterval = 100 * time.Millisecond
	// minRateShare is the share of SendRate left to chunks under full live load;
	// without it a rollout would make no progress for as long as the load lasts.
	minRateShare = 0.1
)

// Handler serves chunks and manifests of a Store to peers. Fields are set
// before the first request; a zero limit stands for its default.
type Handler struct {
	Store *Store
	// Self is this instance with its failure domain and region.
	Self Member
	// MaxWait limits the wait-ms of a request; the default is 10 s.
	MaxWait time.Duration
	// SendParallel limits the bodies being sent concurrently, separately within
	// the region and to other regions; the default is 4.
	SendParallel int
	// SendRate limits the bytes sent per second; 0 means no limit.
	SendRate float64
	// LiveLoad returns the share, from 0 to 1, of the link that live calls use;
	// SendRate is reduced by it. A nil function means 0.
	LiveLoad func() float64
	// WriteTimeout limits the time in which a peer reads writeSize bytes of a body;
	// the default is 10 s.
	WriteTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time
	Log zerolog.Logger

	once        sync.Once
	mux         *http.ServeMux
	regionSlots chan struct{}
	remoteSlots chan struct{}
	limiter     *rate.Limiter
	sent        counters
	holders     holders
	// stopped is done after Stop.
	stopped context.Context
	stop    context.CancelFunc

	mu     sync.Mutex
	loadAt time.Time
}

func (h *Handler) setUp() {
	h.once.Do(func() {
		setDefault(&h.MaxWait, defaultMaxWait)
		setDefault(&h.SendParallel, defaultSendParallel)
		setDefault(&h.WriteTimeout, defaultWriteTimeout)
		if h.Now == nil {
			h.Now = time.Now
		}
		h.stopped, h.stop = context.WithCancel(context.Background())
		h.regionSlots = make(chan struct{}, h.SendParallel)
		h.remoteSlots = make(chan struct{}, h.SendParallel)
		if h.SendRate > 0 {
			h.limiter = rate.NewLimiter(rate.Limit(h.SendRate), writeSize)
		}
		h.mux = http.NewServeMux()
		h.mux.HandleFunc("GET /v1/chunks/{sha256}", h.serve)
		h.mux.HandleFunc("GET /v1/manifests/{sha256}", h.serve)
	})
}

// Stats returns the bytes that this instance sent to peers.
func (h *Handler) Stats() Stats { return Stats{Sent: h.sent.load()} }

// Stop begins a planned stop: requests that wait for a chunk or for a slot get their answer at
// once, and bodies are sent on.
func (h *Handler) Stop() {
	h.setUp()
	h.stop()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h.setUp()
	h.mux.ServeHTTP(w, q)
}

// serve replies with the chunk. After at most wait-ms it replies with 404 if the
// store lacks the chunk and with 503 if too many bodies are being sent.
func (h *Handler) serve(w http.ResponseWriter, q *http.Request) {
	d, err := recorder.ParseDigest(q.PathValue("sha256"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var wait time.Duration
	if s := q.URL.Query().Get("wait-ms"); s != "" {
		n, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			http.Error(w, "wait-ms is not a number of milliseconds", http.StatusBadRequest)
			return
		}
		wait = min(time.Duration(n)*time.Millisecond, h.MaxWait)
	}
	ctx, cancel := context.WithTimeout(q.Context(), wait)
	defer cancel()
	defer context.AfterFunc(h.stopped, cancel)()
	b, ok := h.Store.Get(d)
	if !ok {
		// A request from an instance in the wait chain would wait in vain, unless
		// another member breaks the cycle; the request then carries in-cycle.
		self := recorder.Name(q.Header.Get(headerInstance))
		if _, from := h.Store.wanted(d); !q.URL.Query().Has("in-cycle") && len(from.cycle(self)) > 0 {
			h.replyAbsent(w, d)
			return
		}
		if b, err = h.Store.Wait(ctx, d); err != nil {
			h.replyAbsent(w, d)
			return
		}
	}
	slots, inRegion := h.regionSlots, true
	if r := q.Header.Get(headerRegion); r != "" && r != string(h.Self.Region) {
		slots, inRegion = h.remoteSlots, false
	}
	seen := math.MaxInt32
	if s := q.URL.Query().Get("seen-holders"); s != "" && inRegion {
		if seen, err = strconv.Atoi(s); err != nil || seen < 0 {
			http.Error(w, "seen-holders is not a number", http.StatusBadRequest)
			return
		}
	}
	if !h.acquire(ctx, w.Header(), slots, d, seen) {
		w.Header().Set(headerChunk, chunkBusy)
		http.Error(w, "too many chunks are being sent", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	if n := recorder.Name(q.Header.Get(headerInstance)); h.send(w, q, b) && inRegion && n.Check() == nil {
		h.holders.add(d, n)
	}
}

// acquire takes a slot and reports whether it got one. A free slot is taken even
// if the context has ended. Otherwise it sets the headers of the reply that name other
// holders of the chunk, as soon as there are enough.
func (h *Handler) acquire(ctx context.Context, reply http.Header, slots chan struct{}, d recorder.Digest, seen int) bool {
	for {
		select {
		case slots <- struct{}{}:
			return true
		default:
		}
		count, names, changed := h.holders.pick(d, seen)
		if len(names) > 0 {
			reply.Set(headerHolderCount, strconv.Itoa(count))
			reply.Set(headerHolders, formatNames(names))
			return false
		}
		select {
		case slots <- struct{}{}:
			return true
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// replyAbsent replies that the chunk is not in the store, with the wait chain if
// it is being fetched.
func (h *Handler) replyAbsent(w http.ResponseWriter, d recorder.Digest) {
	state := chunkAbsent
	if ok, from := h.Store.wanted(d); ok {
		state = chunkFetching
		w.Header().Set(headerSource, from.String())
	}
	w.Header().Set(headerChunk, state)
	http.Error(w, "the chunk is not here", http.StatusNotFound)
}

// send sends the chunk and reports whether it was written whole.
func (h *Handler) send(w http.ResponseWriter, q *http.Request, b []byte) bool {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	c := http.NewResponseController(w)
	l := h.level(q)
	for len(b) > 0 {
		p := b[:min(len(b), writeSize)]
		if err := h.throttle(q.Context(), len(p)); err != nil {
			return false
		}
		// The error is ignored: a writer without deadlines, as in tests, has no
		// connection that could block.
		_ = c.SetWriteDeadline(time.Now().Add(h.WriteTimeout))
		n, err := w.Write(p)
		h.sent[l].Add(int64(n))
		if err != nil {
			h.Log.Debug().Err(err).Str("peer", q.Header.Get(headerInstance)).Msg("send-failed")
			return false
		}
		b = b[n:]
	}
	_ = c.SetWriteDeadline(time.Time{})
	return true
}

// level returns the level of the asking instance as seen from this one.
func (h *Handler) level(q *http.Request) Level {
	switch {
	case q.Header.Get(headerRegion) != string(h.Self.Region):
		return OtherRegion
	case q.Header.Get(headerDomain) != string(h.Self.FailureDomain):
		return SameRegion
	default:
		return SameDomain
	}
}

// throttle waits until n bytes may be sent and adapts the rate to the live load.
func (h *Handler) throttle(ctx context.Context, n int) error {
	if h.limiter == nil {
		return nil
	}
	if h.LiveLoad != nil {
		h.mu.Lock()
		if now := h.Now(); now.Sub(h.loadAt) >= liveLoadInterval {
			h.loadAt = now
			h.limiter.SetLimit(rate.Limit(h.SendRate * max(minRateShare, 1-h.LiveLoad())))
		}
		h.mu.Unlock()
	}
	return h.limiter.WaitN(ctx, n)
}
