//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The weights: as on the pages of the small deployments.
const (
	pieces    = 96
	pieceSize = 24576
	model     = "m1"
	engines   = "assistant"
	bookings  = "booking"
	signature = "Eelgrassdrift-Response-Signature"
	requestID = "Eelgrassdrift-Request-Id"
	leaving   = "Server-Leaving"
	instance  = "X-Stand-In"
)

// pieceOf returns a piece of a version.
func pieceOf(version int64, n int) []byte {
	return bytes.Repeat([]byte{byte(version), byte(n), 0x5a, 0xc3}, pieceSize/4)
}

// replica is a stand-in of a replica, which is a process of its own. It echoes ids, checks the expected
// instance, and writes down what it runs.
type replica struct {
	id, listen, address, service, zone, store, dir string
	born                                           int64
	unframed, stopsAtOrder, exits                  bool
	gap, work, call                                time.Duration

	mu       sync.Mutex
	version  int64
	orders   int64
	sequence int64
	active   int
	// leaving is set by SIGTERM: all answers say so, and the entry says that the replica drains.
	leaving bool
	// acknowledged is set when the store has taken an entry that says so.
	acknowledged bool
	record       *os.File
}

// runReplica runs a replica until it is killed.
func runReplica(args []string) error {
	r := &replica{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("replica", flag.ContinueOnError)
	f.StringVar(&r.id, "id", "", "id")
	f.StringVar(&r.listen, "listen", "", "address on which the process listens")
	f.StringVar(&r.address, "address", "", "address in the list of replicas")
	f.StringVar(&r.service, "service", "", "service")
	f.StringVar(&r.zone, "zone", "", "zone")
	f.StringVar(&r.store, "store", "", "address of the store")
	f.StringVar(&r.dir, "dir", "", "folder of staged pieces")
	f.Int64Var(&r.version, "version", 0, "version that is loaded at the start; 0 for none")
	f.BoolVar(&r.unframed, "unframed", false, "answers have neither a length nor chunks")
	f.DurationVar(&r.gap, "gap", 45*time.Millisecond, "time between two events")
	f.DurationVar(&r.work, "work", 30*time.Millisecond, "time of a request to a plain service")
	f.DurationVar(&r.call, "call", 0, "time of a call that reads or writes staged pieces")
	f.BoolVar(&r.stopsAtOrder, "stops-at-order", false, "fall silent when an order arrives, until a signal lets the process go on")
	f.BoolVar(&r.exits, "exits", false, "exit after SIGTERM, once the replica has drained")
	out := f.String("record", "", "file of what was run")
	if err := f.Parse(args); err != nil {
		return err
	}
	var err error
	if r.record, err = os.OpenFile(*out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	if err := os.MkdirAll(r.dir, 0o755); err != nil {
		return err
	}
	if r.version > 0 {
		for n := range pieces {
			if err := os.WriteFile(r.file(n), pieceOf(r.version, n), 0o644); err != nil {
				return err
			}
		}
	}
	l, err := net.Listen("tcp", r.listen)
	if err != nil {
		return err
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	h := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() {
		<-term
		r.mu.Lock()
		r.leaving = true
		r.mu.Unlock()
		r.note("leaves", "-", "")
		if r.exits {
			r.exit(h)
		}
	}()
	go r.beats()
	r.note("started", "", "")
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	select {}
}

// exit ends the process as a sound server does after it has drained: it serves for the drain time from the acknowledgement
// of its entry and a little longer, takes no more connections, ends the answers that it has begun, and exits.
func (r *replica) exit(h *http.Server) {
	for !r.drained() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2200 * time.Millisecond)
	r.note("closes-port", "-", "")
	_ = h.Shutdown(context.Background())
	for {
		r.mu.Lock()
		n := r.active
		r.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	r.note("exits", "-", "")
	os.Exit(0)
}

// drained reports whether the store has acknowledged that the replica drains.
func (r *replica) drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acknowledged
}

func (r *replica) file(n int) string { return filepath.Join(r.dir, strconv.Itoa(n)) }

// note writes one line with a single write, so that a kill leaves whole lines.
func (r *replica) note(what, request, more string) {
	_, _ = fmt.Fprintf(r.record, "%s replica %s %s %s %s\n", stamp(), r.id, what, request, more)
}

// beats writes the entry of the replica about every heartbeat, and after a change.
func (r *replica) beats() {
	type state struct {
		version int64
		leaving bool
	}
	last := state{version: -1}
	for n := 0; ; n++ {
		r.mu.Lock()
		v := state{r.version, r.leaving}
		r.mu.Unlock()
		if v != last || n%12 == 0 {
			last = v
			r.beat()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *replica) beat() {
	r.mu.Lock()
	r.sequence++
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 16, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.leaving {
		e["state"] = "draining"
	}
	if r.service == engines {
		e["stage"], e["models"] = "both", r.models()
	}
	r.mu.Unlock()
	b, _ := json.Marshal(e)
	c := http.Client{Timeout: time.Second}
	if a, err := c.Post("http://"+r.store+"/entry?key="+r.id, "application/json", bytes.NewReader(b)); err == nil {
		_ = a.Body.Close()
		r.mu.Lock()
		r.acknowledged = r.acknowledged || e["state"] == "draining" && a.StatusCode == http.StatusOK
		r.mu.Unlock()
		r.note("wrote-entry", "-", fmt.Sprintf("%s born %d status %d", e["state"], r.born, a.StatusCode))
	}
}

// models returns what is loaded. The caller holds the lock.
func (r *replica) models() []map[string]any {
	if r.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": model, "version": r.version, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	if r.leaving {
		w.Header().Set(leaving, "1")
	}
	r.mu.Unlock()
	switch p := q.URL.Path; {
	case p == "/healthz":
		w.Header().Set("Eelgrassdrift-Instance-Id", r.id)
	case p == "/eelgrassdrift/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": r.models(), "busy": false, "sequence": r.orders, "queued": 0, "active": r.active,
			"kvUsed": 0, "kvTotal": 1640000, "handles": 0, "born": r.born,
		})
	case strings.HasPrefix(p, "/eelgrassdrift/stage-put/"):
		r.stagePut(w, q)
	case strings.HasPrefix(p, "/eelgrassdrift/stage-get/"):
		r.stageGet(w, q)
	case p == "/eelgrassdrift/order":
		r.order(w, q)
	default:
		r.run(w, q)
	}
}

func (r *replica) stagePut(w http.ResponseWriter, q *http.Request) {
	time.Sleep(r.call)
	n, err := strconv.Atoi(q.FormValue("quantity"))
	b, e := io.ReadAll(q.Body)
	if err != nil || e != nil || os.WriteFile(r.file(n), b, 0o644) != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (r *replica) stageGet(w http.ResponseWriter, q *http.Request) {
	time.Sleep(r.call)
	if !q.URL.Query().Has("quantity") {
		held := []int{}
		for n := range pieces {
			if _, err := os.Stat(r.file(n)); err == nil {
				held = append(held, n)
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
		return
	}
	n, _ := strconv.Atoi(q.FormValue("quantity"))
	b, err := os.ReadFile(r.file(n))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(b)
	r.note("read", "-", strconv.Itoa(n))
}

// order loads what is staged at the moment at which the order is accepted.
func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op      string `json:"op"`
		Version int64  `json:"version"`
		Expect  *int64 `json:"expect"`
	}
	_ = json.NewDecoder(q.Body).Decode(&o)
	if r.stopsAtOrder {
		r.note("silent", "-", "with an order")
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		time.Sleep(10 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Op != "start" || o.Expect != nil && *o.Expect != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.version = o.Version
	r.note("accepted-order", "-", fmt.Sprintf("version %d", o.Version))
	for n := range pieces {
		b, err := os.ReadFile(r.file(n))
		if err == nil && bytes.Equal(b, pieceOf(o.Version, n)) {
			continue
		}
		changed := "never"
		if i, err := os.Stat(r.file(n)); err == nil {
			changed = time.Since(i.ModTime()).String()
		}
		r.note("loaded-wrong", "-", fmt.Sprintf("version %d piece %d age %s", o.Version, n, changed))
	}
	w.WriteHeader(http.StatusAccepted)
}

// run answers a request: at an engine with a stream, at a plain service with 800 bytes.
func (r *replica) run(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(requestID)
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	loaded := r.version
	r.mu.Unlock()
	w.Header().Set(requestID, id)
	w.Header().Set(instance, r.id)
	switch {
	case q.Header.Get("Eelgrassdrift-Expect-Instance") != r.id:
		w.Header().Set("Eelgrassdrift-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.service == engines && loaded == 0:
		w.Header().Set("Eelgrassdrift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	r.active++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	r.note("runs", id, q.URL.Path)
	if r.service == engines {
		r.stream(w, q, id, loaded)
		return
	}
	time.Sleep(r.work)
	r.answer(w, id, "text/plain", [][]byte{plainBody(id)}, 0)
}

// plainBody is the whole answer of a plain service.
func plainBody(id string) []byte {
	h := sha256.Sum256([]byte(id))
	return []byte(strings.Repeat(hex.EncodeToString(h[:]), 13)[:800])
}

// events returns the number of events of the answer: six tokens in each.
func events(q *http.Request) int {
	_, tokens, _ := strings.Cut(q.Header.Get("Eelgrassdrift-Token-Count"), ",")
	n, _ := strconv.Atoi(tokens)
	return max(1, n/6)
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string, version int64) {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Eelgrassdrift-Weight-Versions", strconv.FormatInt(version, 10))
	var parts [][]byte
	for n := from + 1; n <= events(q); n++ {
		parts = append(parts, fmt.Appendf(nil, "id: %d\ndata: %s-%d\n\n", n, id, n))
	}
	time.Sleep(r.work)
	r.answer(w, id, "text/event-stream", parts, r.gap)
}

// answer writes the parts of an answer, with or without a frame, and notes each fifth part and the last one.
func (r *replica) answer(w http.ResponseWriter, id, kind string, parts [][]byte, gap time.Duration) {
	h := w.Header()
	h.Set("Content-Type", kind)
	h.Set(signature, "3e1b."+id)
	out, flush := io.Writer(w), func() { _ = http.NewResponseController(w).Flush() }
	if r.unframed {
		c, b, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = h.Write(b)
		_, _ = b.WriteString("\r\n")
		out, flush = b, func() { _ = b.Flush() }
	}
	for n, p := range parts {
		if _, err := out.Write(p); err != nil {
			r.note("caller-left", id, strconv.Itoa(n))
			return
		}
		flush()
		if (n+1)%5 == 0 || n+1 == len(parts) {
			r.note("sent", id, fmt.Sprintf("part %d of %d", n+1, len(parts)))
		}
		time.Sleep(gap)
	}
	r.note("whole", id, "")
}

// stamp returns the present time with milliseconds.
func stamp() string { return time.Now().Format("15:04:05.000") }
