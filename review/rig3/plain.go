//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainReplica is a stand-in for a replica of a plain service.
type plainReplica struct {
	*server
	id, zone string
	store    *store
	born     int64
	mu       sync.Mutex
	sequence int64
	ran      map[string]int
}

func (r *plainReplica) run(done <-chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		r.beat()
		select {
		case <-done:
			return
		case <-t.C:
		}
	}
}

func (r *plainReplica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": plainService, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
	r.store.put("keyed.servers", r.id, b)
}

func (r *plainReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Eelgrassdrift-Request-Id")
	w.Header().Set("Eelgrassdrift-Request-Id", id)
	switch {
	case q.URL.Path == "/healthz":
		w.Header().Set("Eelgrassdrift-Instance-Id", r.id)
	case !strings.HasPrefix(q.URL.Path, plainPrefix):
		w.WriteHeader(http.StatusNotFound)
	case q.Header.Get("Eelgrassdrift-Expect-Instance") != r.id:
		w.Header().Set("Eelgrassdrift-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		r.mu.Lock()
		r.ran[id]++
		r.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		w.Header().Set("Eelgrassdrift-Response-Signature", "sig."+id)
		_, _ = io.WriteString(w, id)
	}
}

// sendPlain sends a request to the plain service.
func (f *fleet) sendPlain(front, id string) result {
	v := result{sent: time.Now()}
	q, _ := http.NewRequest(http.MethodPost, "http://"+front+plainPrefix+"2f", strings.NewReader("{}"))
	q.Host = plainHost
	q.Header.Set("Eelgrassdrift-Request-Id", id)
	q.Header.Set("Eelgrassdrift-Deadline-Ms", "1000")
	q.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		v.outcome = "error " + err.Error()
		return v
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	v.outcome = fmt.Sprintf("status %d, %q", r.StatusCode, b)
	v.served = err == nil && r.StatusCode == http.StatusOK && string(b) == id && r.Header.Get("Eelgrassdrift-Response-Signature") != ""
	return v
}
