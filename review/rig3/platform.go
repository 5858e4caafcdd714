//go:build review

// Command rig3 runs the cases 11 to 14 of the third review: the programs of deploy/system.toml as processes on loopback
// addresses, against small stand-ins of the platform's pages.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log of records in keyed topics.
type store struct {
	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
}

type entry struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: make(map[string][]entry), changed: make(chan struct{})}
}

// put appends a record and returns when that was acknowledged. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	topic := q.FormValue("topic")
	time.Sleep(2 * time.Millisecond)
	switch q.URL.Path {
	case "/eelgrassdrift/log-append":
		b, err := io.ReadAll(q.Body)
		if err != nil || len(b) < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if topic == "keyed.op" || topic == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.mu.Lock()
		end := len(s.topics[topic])
		s.mu.Unlock()
		if at := q.FormValue("at"); at != "" && at != strconv.Itoa(end) {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
			return
		}
		n := 5 + int(b[4])
		s.put(topic, string(b[5:n]), bytes.Clone(b[n:]))
		_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": end + 1})
	case "/eelgrassdrift/log-newest":
		s.newest(w, topic)
	case "/eelgrassdrift/log-read":
		from, _ := strconv.Atoi(q.FormValue("from"))
		wait, _ := strconv.Atoi(q.FormValue("waitMs"))
		s.read(q.Context(), w, topic, from, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, q)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	l := s.topics[topic]
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	last := make(map[string]int)
	for i, r := range l {
		last[r.key] = i
	}
	items := []item{}
	for i, r := range l {
		if last[r.key] == i && len(r.value) > 0 {
			items = append(items, item{r.key, base64.StdEncoding.EncodeToString(r.value), i})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(l)})
}

func (s *store) read(ctx context.Context, w http.ResponseWriter, topic string, from int, wait time.Duration) {
	until := time.After(wait)
	for {
		s.mu.Lock()
		l, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(l) || wait <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(l)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, r := range l[min(from, len(l)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
				out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-ctx.Done():
			return
		}
	}
}

// The weights of a small deployment.
const (
	pieces    = 96
	pieceSize = 24576
	model     = "m0"
)

// weights returns a piece of a version. alike names for a version the one that has the same bytes.
type weights struct{ alike map[int64]int64 }

func (o *weights) piece(version int64, n int) []byte {
	if v, ok := o.alike[version]; ok {
		version = v
	}
	seed := sha256.Sum256([]byte(fmt.Sprint(version, "/", n)))
	return bytes.Repeat(seed[:], pieceSize/len(seed))
}

// origin serves the weights over a link of 7.3 Mbit/s.
type origin struct {
	*weights
	mu   sync.Mutex
	free time.Time
}

func (o *origin) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	version, _ := strconv.ParseInt(q.FormValue("version"), 10, 64)
	if strings.HasPrefix(q.URL.Path, "/eelgrassdrift/manifest/") {
		var d []string
		for n := range pieces {
			h := sha256.Sum256(o.piece(version, n))
			d = append(d, hex.EncodeToString(h[:]))
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"model": model, "version": version, "chunkBytes": pieceSize, "layers": 16, "digests": d})
		return
	}
	n, err := strconv.Atoi(q.FormValue("quantity"))
	if err != nil || n < 0 || n >= pieces {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	now := time.Now()
	if o.free.Before(now) {
		o.free = now
	}
	o.free = o.free.Add(pieceSize * 8 * time.Second / 7_300_000)
	until := o.free
	o.mu.Unlock()
	time.Sleep(time.Until(until))
	_, _ = w.Write(o.piece(version, n))
}

// server serves HTTP on an address and can be ended as a process is: its port is closed and its connections are reset.
type server struct {
	address string
	handler http.Handler
	mu      sync.Mutex
	http    *http.Server
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.http = h
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	return nil
}

func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
	}
	s.http = nil
}
