//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The keyed topics of the platform.
const (
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
)

type storeRecord struct {
	key   string
	value []byte
}

// store is a sound stand-in of the platform's metadata store: keyed topics with one partition. It
// loses nothing, and answers at once.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// down makes the store answer 503 to all calls; nothing is done then.
	down bool
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), changed: make(chan struct{})}
}

// put appends a record; without a value the key is dropped.
func (s *store) put(topic, key string, value []byte) {
	s.append(topic, "", key, value)
}

// append appends a record if the topic ends at the offset, which may be empty.
func (s *store) append(topic, at, key string, value []byte) (offset, end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end = len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		return 0, end, false
	}
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return end, end + 1, true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	topic := q.FormValue("topic")
	switch q.URL.Path {
	case "/eelgrassdrift/log-append":
		s.serveAppend(w, q, topic)
	case "/eelgrassdrift/log-newest":
		s.serveNewest(w, topic)
	case "/eelgrassdrift/log-read":
		from, _ := strconv.Atoi(q.FormValue("from"))
		wait, _ := strconv.Atoi(q.FormValue("waitMs"))
		s.serveRead(w, q, topic, from, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, q)
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveAppend(w http.ResponseWriter, q *http.Request, topic string) {
	b, err := io.ReadAll(q.Body)
	if err != nil || len(b) < 5 || len(b) < 5+int(b[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == operatorTopic || topic == serverTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	n := int(b[4])
	offset, end, ok := s.append(topic, q.FormValue("at"), string(b[5:5+n]), b[5+n:])
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": end})
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]item)
	for i, r := range s.topics[topic] {
		last[r.key] = item{r.key, r.value, i}
	}
	items := []item{}
	for _, i := range last {
		if len(i.Value) > 0 {
			items = append(items, i)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, q *http.Request, topic string, from int, wait time.Duration) {
	until := time.After(wait)
	for {
		s.mu.Lock()
		l, changed, down := s.topics[topic], s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > len(l) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		if from < len(l) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(l)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, r := range l[from:] {
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
		case <-q.Context().Done():
			return
		}
	}
}
