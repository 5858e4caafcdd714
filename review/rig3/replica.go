//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	slots     = 16
	// eventTime is the time of six tokens, and warmup that of a load.
	eventTime = 40 * time.Millisecond
	warmup    = 300 * time.Millisecond
)

// replica is a stand-in for a model replica.
type replica struct {
	*server
	name, zone, service string
	store               *store
	weights             *weights
	record              *record
	// stageTime is the time of a read or write of a staged piece.
	stageTime time.Duration

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	up       bool
	version  int64
	busy     bool
	orders   int64
	sequence int64
	active   int
	staged   map[int][]byte
	ran      map[string]int
	cut      chan struct{}
	// deadly is the part of prompts that ends the process when it begins to write an answer on it; empty for none.
	// deadlyAt holds the arrivals of requests with it, and deaths the ends.
	deadly           string
	deadlyAt, deaths []time.Time
	// begun holds the requests of which a token was made.
	begun map[string]bool
}

// boot starts a new incarnation of the replica, which holds no layers unless version is given.
func (r *replica) boot(version int64) error {
	r.mu.Lock()
	r.starts++
	r.id = fmt.Sprintf("i-%s-%d", r.name, r.starts)
	r.born, r.up, r.version, r.busy, r.orders, r.active = time.Now().UnixMilli(), true, version, false, 0, 0
	r.cut = make(chan struct{})
	r.mu.Unlock()
	if err := r.start(); err != nil {
		return err
	}
	r.record.add("replica %s starts as %s with version %d", r.name, r.id, version)
	r.beat()
	return nil
}

// crash ends the process. What is staged stays.
func (r *replica) crash() {
	r.mu.Lock()
	r.up = false
	id := r.id
	r.mu.Unlock()
	r.stop()
	r.record.add("replica %s crashes", id)
	// The entry is removed after three heartbeats of silence.
	time.AfterFunc(3*heartbeat, func() { r.store.put("keyed.servers", id, nil) })
}

func (r *replica) run(done <-chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			r.beat()
		}
	}
}

func (r *replica) models() []map[string]any {
	if r.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": model, "version": r.version, "adapters": []string{}}}
}

func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": r.models(), "sequence": r.sequence, "born": r.born,
	})
	r.store.put("keyed.servers", r.id, b)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch p := q.URL.Path; {
	case p == "/eelgrassdrift/report":
		r.mu.Lock()
		b, _ := json.Marshal(map[string]any{
			"stage": "both", "models": r.models(), "busy": r.busy, "sequence": r.orders, "queued": 0, "active": r.active,
			"kvUsed": 0, "kvTotal": 1640000, "handles": 0, "born": r.born,
		})
		r.mu.Unlock()
		_, _ = w.Write(b)
	case strings.HasPrefix(p, "/eelgrassdrift/stage-put/"):
		n, _ := strconv.Atoi(q.FormValue("quantity"))
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		r.stageSleep()
		r.mu.Lock()
		r.staged[n] = b
		r.mu.Unlock()
	case strings.HasPrefix(p, "/eelgrassdrift/stage-get/"):
		r.stageGet(w, q)
	case p == "/eelgrassdrift/order":
		r.order(w, q)
	case p == "/healthz":
		w.Header().Set("Eelgrassdrift-Instance-Id", r.id)
	default:
		r.serve(w, q)
	}
}

func (r *replica) stageGet(w http.ResponseWriter, q *http.Request) {
	if !q.URL.Query().Has("quantity") {
		r.mu.Lock()
		held := []int{}
		for n := range r.staged {
			held = append(held, n)
		}
		r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
		return
	}
	r.stageSleep()
	n, _ := strconv.Atoi(q.FormValue("quantity"))
	r.mu.Lock()
	b, ok := r.staged[n]
	r.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(b)
}

// order takes the staged pieces as they are, and loads them when the running requests have ended.
func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op       string `json:"op"`
		Version  int64  `json:"version"`
		SwapMode string `json:"swapMode"`
		Expect   *int64 `json:"expect"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || o.Expect != nil && *o.Expect != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.busy = true
	wrong := []int{}
	for n := range pieces {
		if !bytes.Equal(r.staged[n], r.weights.piece(o.Version, n)) {
			wrong = append(wrong, n)
		}
	}
	r.record.add("replica %s accepts the order for version %d, %d wrong pieces %v", r.id, o.Version, len(wrong), wrong)
	if o.SwapMode == "truncate" {
		close(r.cut)
		r.cut = make(chan struct{})
	}
	born := r.born
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			r.mu.Lock()
			idle := r.active == 0
			r.mu.Unlock()
			if idle {
				break
			}
		}
		time.Sleep(warmup)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born == born && r.up {
			r.version, r.busy = o.Version, false
			r.record.add("replica %s serves version %d", r.id, o.Version)
		}
	}()
	w.WriteHeader(http.StatusAccepted)
}

// serve runs a request as a stream of events.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Eelgrassdrift-Request-Id")
	w.Header().Set("Eelgrassdrift-Request-Id", id)
	r.mu.Lock()
	switch {
	case q.Header.Get("Eelgrassdrift-Expect-Instance") != r.id:
		w.Header().Set("Eelgrassdrift-Instance-Id", r.id)
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.version == 0 || r.busy || r.active >= slots:
		r.mu.Unlock()
		w.Header().Set("Eelgrassdrift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.active++
	r.ran[id]++
	version, cut, born := r.version, r.cut, r.born
	isDeadly := r.deadly != "" && strings.Contains(q.Header.Get("Eelgrassdrift-Prompt-Prefix"), r.deadly+":")
	if isDeadly {
		r.deadlyAt = append(r.deadlyAt, time.Now())
		r.record.add("request %s with the deadly part reaches %s", id, r.id)
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	if isDeadly {
		time.Sleep(eventTime)
		r.die(born)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Eelgrassdrift-Response-Signature", "sig."+id)
	w.Header().Set("Eelgrassdrift-Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= events; i++ {
		select {
		case <-time.After(eventTime):
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
		r.begun[id] = true
		r.mu.Unlock()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// events is the number of events of an answer.
const events = 8

// die ends the process that started at a time, which is back after some seconds.
func (r *replica) die(born int64) {
	r.mu.Lock()
	again := r.up && r.born == born
	if again {
		r.deaths = append(r.deaths, time.Now())
	}
	r.mu.Unlock()
	if !again {
		return
	}
	r.crash()
	time.AfterFunc(3*time.Second, func() {
		if err := r.boot(0); err != nil {
			r.record.add("replica %s doesn't start: %v", r.name, err)
		}
	})
}

// stageSleep takes the time of a read or write of a staged piece.
func (r *replica) stageSleep() {
	r.mu.Lock()
	d := r.stageTime
	r.mu.Unlock()
	time.Sleep(d)
}

// losePower loses what is staged.
func (r *replica) losePower() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staged = make(map[int][]byte)
}
