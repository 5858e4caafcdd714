//go:build review

package harness

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Store is a stand-in for the platform's store with keyed topics of one partition.
type Store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
}

type record struct {
	key   string
	value []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string][]record), changed: make(chan struct{})}
}

// Put appends a record; a nil value drops the key.
func (s *Store) Put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic])
}

// PutJSON appends a record with a JSON value.
func (s *Store) PutJSON(topic, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(topic, key, b)
}

// Door is the way of one machine to the store. While Cut is set the machine is partitioned from
// it: nothing is answered.
type Door struct {
	Store *Store
	Cut   atomic.Bool
}

// answerTime is the time of an answer of the store, as on the sheet.
const answerTime = 4 * time.Millisecond

// ServeHTTP implements http.Handler.
func (d *Door) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	d.block(q)
	time.Sleep(answerTime)
	topic := q.FormValue("topic")
	switch q.URL.Path {
	case "/eelgrassdrift/log-append":
		d.append(w, q, topic)
	case "/eelgrassdrift/log-newest":
		d.block(q)
		d.Store.newest(w, topic)
	case "/eelgrassdrift/log-read":
		from, _ := strconv.Atoi(q.FormValue("from"))
		wait, _ := strconv.Atoi(q.FormValue("waitMs"))
		b := d.Store.read(topic, from, time.Duration(wait)*time.Millisecond)
		d.block(q)
		_, _ = w.Write(b)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// block doesn't return while the machine is cut off and its connection is open.
func (d *Door) block(q *http.Request) {
	if !d.Cut.Load() {
		return
	}
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

func (d *Door) append(w http.ResponseWriter, q *http.Request, topic string) {
	b, _ := io.ReadAll(q.Body)
	end := 0
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		r := b[4 : 4+n]
		k := 1 + int(r[0])
		var v []byte
		if len(r) > k {
			v = r[k:]
		}
		end = d.Store.Put(topic, string(r[1:k]), v)
		b = b[4+n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end": end})
}

func (s *Store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
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

func (s *Store) read(topic string, from int, wait time.Duration) []byte {
	until := time.After(wait)
	for {
		s.mu.Lock()
		l, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(l) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(l)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, r := range l[min(from, len(l)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
				out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
			}
			return out
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		}
	}
}
