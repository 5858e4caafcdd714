package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
)

const (
	// maxExchange bounds the answer of a peer in bytes.
	maxExchange = 32 << 20
	// staleAge is the age from which a peer without news may be cut off from the
	// platform itself. A read that waits for news there takes up to 2.7 s.
	staleAge = 3 * time.Second
	// minPenalty and maxPenalty bound the time for which a peer that failed is passed
	// over; it doubles with each failure.
	minPenalty = time.Second
	maxPenalty = 16 * time.Second
)

// PeerReader reads a table from peers: from the nearest one that isn't passed over
// because it failed, or because it had no news and was cut off itself. Two such peers
// would otherwise ask each other for as long as they are. One Follower uses it; its
// fields are set before the first read.
type PeerReader struct {
	// Table is the name by which the peers serve the table.
	Table  string
	Client *http.Client
	// Peers returns the addresses of the peers, near ones first.
	Peers func() []netip.AddrPort
	Now   func() time.Time

	failed map[netip.AddrPort]penalty
}

// penalty is the state of a peer that failed.
type penalty struct {
	until time.Time
	fails int
	// gone tells that the peer gave no answer; otherwise its answer was stale.
	gone bool
}

// Read has the meaning of connector.Table.Read.
func (r *PeerReader) Read(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
	a, ok := r.pick()
	if !ok {
		return connector.Changes{}, &Error{Op: "read " + r.Table, Kind: classifier.Unavailable, Err: errors.New("no peer is known")}
	}
	if r.failed[a].gone {
		// A peer that is still gone holds the read for no longer than it must. One
		// that is stale isn't read more often than others.
		wait = 0
	}
	c, err := r.ask(ctx, a, from, wait)
	if err != nil || len(c.Items) == 0 && c.Age > staleAge {
		r.fail(a, err != nil)
	} else {
		delete(r.failed, a)
	}
	return c, err
}

// pick returns the first peer that isn't passed over, else the one whose time is over
// first.
func (r *PeerReader) pick() (netip.AddrPort, bool) {
	now := r.Now()
	var first netip.AddrPort
	for _, a := range r.Peers() {
		until := r.failed[a].until
		if !now.Before(until) {
			return a, true
		}
		if !first.IsValid() || until.Before(r.failed[first].until) {
			first = a
		}
	}
	return first, first.IsValid()
}

func (r *PeerReader) fail(a netip.AddrPort, gone bool) {
	if r.failed == nil {
		r.failed = make(map[netip.AddrPort]penalty)
	}
	p := r.failed[a]
	p.until = r.Now().Add(min(maxPenalty, minPenalty<<min(p.fails, 16)))
	p.fails++
	p.gone = gone
	r.failed[a] = p
}

func (r *PeerReader) ask(ctx context.Context, a netip.AddrPort, from uint64, wait time.Duration) (connector.Changes, error) {
	var c connector.Changes
	op := "read " + r.Table + " from " + a.String()
	url := fmt.Sprintf("http://%s/v1/tables/%s?from=%d&wait-ms=%d", a, r.Table, from, wait.Milliseconds())
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return c, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	o, err := r.Client.Do(q)
	if err != nil {
		return c, &Error{Op: op, Kind: classifier.Unavailable, Err: err}
	}
	defer func() { _ = o.Body.Close() }()
	if o.StatusCode != http.StatusOK {
		return c, &Error{Op: op, Kind: classifier.Unavailable, Err: errors.Newf("status %d", o.StatusCode)}
	}
	b := io.LimitReader(watcher.Reader(ctx, o.Body), maxExchange)
	if err := json.NewDecoder(b).Decode(&c); err != nil {
		return c, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	return c, nil
}
