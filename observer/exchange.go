package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// maxExchange bounds the answer of a peer in bytes.
const maxExchange = 32 << 20

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "read operators from peer".
	Op string
	// Kind classifies the failure.
	Kind classifier.Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Class returns the kind of the failure.
func (e *Error) Class() classifier.Kind { return e.Kind }

// Handler serves tables to peers: GET /v1/tables/{name}?from=N&wait-ms=N.
type Handler struct {
	// Tables are served by name; the map isn't changed.
	Tables map[string]*Table
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	t := h.Tables[q.PathValue("name")]
	if t == nil {
		http.NotFound(w, q)
		return
	}
	from, err := strconv.ParseUint(q.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(q.FormValue("wait-ms"))
	if err != nil {
		http.Error(w, "wait-ms is not a number", http.StatusBadRequest)
		return
	}
	if wait := time.Duration(ms) * time.Millisecond; wait > 0 && t.Next() <= from {
		t.Wait(q.Context().Done(), wait)
	}
	c := t.Since(from)
	if c.Next == 0 {
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write shows at the peer, which asks the next one.
	_ = json.NewEncoder(w).Encode(c)
}

// staleAge is the age from which a peer without news may be cut off from the
// platform itself. A read that waits for news there takes up to 2.7 s.
const staleAge = 3 * time.Second

// Peers returns a source that asks one peer after the other. It moves on to the next
// after a failure, and from a peer that has no news and is cut off itself: two such
// peers would otherwise ask each other for as long as they are.
func Peers(name string, client *http.Client, peers func() []netip.AddrPort) Source {
	var turn atomic.Uint32
	return Source{Name: "peers", Read: func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
		l := peers()
		if len(l) == 0 {
			return connector.Changes{}, &Error{Op: "read " + name, Kind: classifier.Unavailable, Err: errors.New("no peer is known")}
		}
		a := l[int(turn.Load())%len(l)]
		c, err := readPeer(ctx, client, a, name, from, wait)
		if err != nil || len(c.Items) == 0 && c.Age > staleAge {
			turn.Add(1)
		}
		return c, err
	}}
}

func readPeer(ctx context.Context, client *http.Client, a netip.AddrPort, name string, from uint64, wait time.Duration) (connector.Changes, error) {
	var c connector.Changes
	op := "read " + name + " from " + a.String()
	url := fmt.Sprintf("http://%s/v1/tables/%s?from=%d&wait-ms=%d", a, name, from, wait.Milliseconds())
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return c, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	r, err := client.Do(q)
	if err != nil {
		return c, &Error{Op: op, Kind: classifier.Unavailable, Err: err}
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return c, &Error{Op: op, Kind: classifier.Unavailable, Err: errors.Newf("status %d", r.StatusCode)}
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxExchange)).Decode(&c); err != nil {
		return c, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	return c, nil
}
