//go:build review

package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request at a replica.
type Run struct {
	ID string
	// Arrived is when its headers were read, and Began when the replica began to work on it.
	Arrived, Began time.Time
	Replica        string
	Version        int64
	// Ended reports whether the replica sent all of its answer.
	Ended bool
}

// Replica is a stand-in for a replica; it is an engine if Model is set.
type Replica struct {
	ID, Service, Zone, Model string
	Address                  netip.AddrPort
	Slots                    int
	Store                    *Store
	// Warm is the time of a load.
	Warm time.Duration
	// Events returns how many events the answer to a request has and the pause between two.
	Events func(id string) (int, time.Duration)
	// Work returns how long a plain replica works on a request.
	Work func(id string) time.Duration
	// LoseOrder is called with the version of each order that is accepted; if it returns true,
	// its answer is lost.
	LoseOrder func(version int64) bool
	Record    *Record

	mu       sync.Mutex
	born     int64
	version  int64
	orders   int64
	sequence int64
	busy     bool
	active   int
	leaving  bool
	staged   map[int][]byte
	runs     []*Run
	// wake is closed when a silence ends; nil if there is none.
	wake chan struct{}
	// ended is closed when the replica exits.
	ended chan struct{}
}

// Start sets the replica's state at its start. An engine holds the version, which is staged as
// well; version 0 means that it is empty.
func (r *Replica) Start(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.version, r.orders, r.busy, r.sequence = time.Now().UnixMilli(), version, 0, false, 0
	r.staged = make(map[int][]byte)
	r.ended = make(chan struct{})
	for n := range Pieces {
		if version > 0 {
			r.staged[n] = Piece(version, n)
		}
	}
}

// Rename gives the replica the id of a new incarnation.
func (r *Replica) Rename(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ID = id
}

// Beat writes the replica's entry.
func (r *Replica) Beat() { r.LateBeat()() }

// LateBeat sends the replica's entry as it is now. The store does the write when the returned
// function is called.
func (r *Replica) LateBeat() (write func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e := map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.Model != "" {
		e["stage"], e["models"] = "both", r.models()
	}
	id := r.ID
	return func() { r.Store.PutJSON("keyed.servers", id, e) }
}

func (r *Replica) models() []map[string]any {
	if r.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": r.Model, "version": r.version, "adapters": []string{}}}
}

// Version returns the version that the replica holds.
func (r *Replica) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Silence makes the process do nothing for the given time.
func (r *Replica) Silence(d time.Duration) {
	wake := make(chan struct{})
	r.mu.Lock()
	r.wake = wake
	r.mu.Unlock()
	time.AfterFunc(d, func() {
		r.mu.Lock()
		r.wake = nil
		r.mu.Unlock()
		close(wake)
	})
}

// awaitWake returns when the process isn't silent.
func (r *Replica) awaitWake() {
	r.mu.Lock()
	wake := r.wake
	r.mu.Unlock()
	if wake != nil {
		<-wake
	}
}

// Leave makes the replica say in its answers that it leaves, and take its entry off the list.
func (r *Replica) Leave() {
	r.mu.Lock()
	r.leaving = true
	id := r.ID
	r.mu.Unlock()
	r.Store.Put("keyed.servers", id, nil)
}

// Exit ends the replica: what it works on is cut off.
func (r *Replica) Exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.ended)
}

// Runs returns the requests that the replica has begun.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []Run
	for _, x := range r.runs {
		l = append(l, *x)
	}
	return l
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	r.awaitWake()
	if q.Context().Err() != nil {
		return
	}
	switch p := q.URL.Path; {
	case p == "/eelgrassdrift/report":
		r.report(w)
	case strings.HasPrefix(p, "/eelgrassdrift/stage-put/"):
		n, _ := strconv.Atoi(q.FormValue("quantity"))
		b, _ := io.ReadAll(q.Body)
		r.mu.Lock()
		r.staged[n] = b
		r.mu.Unlock()
	case strings.HasPrefix(p, "/eelgrassdrift/stage-get/"):
		r.stageGet(w, q)
	case p == "/eelgrassdrift/order":
		r.order(w, q)
	default:
		r.run(w, q, arrived)
	}
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": r.models(), "busy": r.busy, "sequence": r.orders, "queued": 0, "active": r.active, "kvUsed": 0,
		"kvTotal": 1640000, "handles": 0, "born": r.born,
	})
}

func (r *Replica) stageGet(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !q.URL.Query().Has("quantity") {
		held := []int{}
		for n := range r.staged {
			held = append(held, n)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
		return
	}
	n, _ := strconv.Atoi(q.FormValue("quantity"))
	b, ok := r.staged[n]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(b)
}

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op      string `json:"op"`
		Version int64  `json:"version"`
		Expect  *int64 `json:"expect"`
	}
	_ = json.NewDecoder(q.Body).Decode(&o)
	r.mu.Lock()
	switch {
	case o.Op != "start":
		r.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	case o.Version == r.version:
		r.mu.Unlock()
		return
	case r.busy || o.Expect != nil && *o.Expect != r.orders:
		r.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.busy = true
	whole := true
	for n := range Pieces {
		whole = whole && bytes.Equal(r.staged[n], Piece(o.Version, n))
	}
	r.mu.Unlock()
	r.Record.Printf("%s accepts the order to load version %d, pieces whole: %t", r.ID, o.Version, whole)
	go r.load(o.Version)
	if r.LoseOrder != nil && r.LoseOrder(o.Version) {
		r.Record.Printf("%s: the answer to the order is lost", r.ID)
		<-q.Context().Done()
		r.Record.Printf("%s: the connection of that order was closed", r.ID)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (r *Replica) load(version int64) {
	time.Sleep(r.Warm)
	r.mu.Lock()
	r.version, r.busy = version, false
	r.mu.Unlock()
	r.Record.Printf("%s serves version %d", r.ID, version)
	r.Beat()
}

// run answers a request: an engine with a stream of events.
func (r *Replica) run(w http.ResponseWriter, q *http.Request, arrived time.Time) {
	id := q.Header.Get("Eelgrassdrift-Request-Id")
	h := w.Header()
	h.Set("Eelgrassdrift-Request-Id", id)
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
	status := http.StatusOK
	switch {
	case q.Header.Get("Eelgrassdrift-Expect-Instance") != r.ID:
		status = http.StatusMisdirectedRequest
		h.Set("Eelgrassdrift-Instance-Id", r.ID)
	case r.Model != "" && (r.version == 0 || r.busy), r.active >= r.Slots:
		status = http.StatusServiceUnavailable
		h.Set("Eelgrassdrift-Not-Executed", "1")
	}
	if status != http.StatusOK {
		r.mu.Unlock()
		r.Record.Printf("%s: %s arrives, answered %d", r.ID, id, status)
		w.WriteHeader(status)
		return
	}
	x := &Run{ID: id, Arrived: arrived, Began: time.Now(), Replica: r.ID, Version: r.version}
	r.runs = append(r.runs, x)
	r.active++
	ended := r.ended
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	r.Record.Printf("%s: %s arrives, runs, version %d", r.ID, id, x.Version)
	h.Set("Eelgrassdrift-Response-Signature", "sig-"+id)
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ended:
			r.Record.Printf("%s: exits, %s is cut off", r.ID, id)
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			r.Record.Printf("%s: the connection of %s was closed", r.ID, id)
			panic(http.ErrAbortHandler)
		}
		r.awaitWake()
	}
	if r.Model == "" {
		wait(r.Work(id))
		_, _ = fmt.Fprintf(w, "body of %s\n", id)
		r.end(x)
		return
	}
	h.Set("Eelgrassdrift-Weight-Versions", strconv.FormatInt(x.Version, 10))
	h.Set("Content-Type", "text/event-stream")
	n, pause := r.Events(id)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= n; i++ {
		wait(pause)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 50))
		_ = http.NewResponseController(w).Flush()
	}
	r.end(x)
}

func (r *Replica) end(x *Run) {
	r.mu.Lock()
	x.Ended = true
	r.mu.Unlock()
	r.Record.Printf("%s: %s is answered whole", r.ID, x.ID)
}
