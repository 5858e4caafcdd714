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
	// maxResponseBytes bounds the response of a peer: the list of some 17,000 endpoints. A
	// process reads three tables at the same time, and another program may have taken over the
	// address of a peer.
	maxResponseBytes = 8 << 20
	// staleAge is the age of its data beyond which a peer that has no changes may itself
	// be cut off from the platform. A read that waits for changes at the platform takes
	// up to 2.7 s, so a lower age is normal.
	staleAge = 3 * time.Second
	// minBackoff and maxBackoff bound the time for which a failed peer is skipped; it
	// doubles with each failure.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// notReadyBackoff is the time for which a peer is skipped that has just started and
	// doesn't know the table yet.
	notReadyBackoff = 100 * time.Millisecond
)

var (
	// errNotReady means that a peer doesn't know the table yet.
	errNotReady = errors.New("the peer doesn't know the table yet")
	errNoPeers  = errors.New("no peers are known")
)

// PeerReader reads a table from the nearest peer that isn't in backoff. A peer is put
// into backoff if a read fails, or if it has no changes and its data is stale, which
// means that it may be cut off from the platform itself. Otherwise two peers that are
// cut off would read from each other for as long as that lasts. A PeerReader is used by
// one Follower; its fields are set before the first read.
type PeerReader struct {
	// Table is the name under which the peers serve the table.
	Table  string
	Client *http.Client
	// Peers returns the addresses of the peers, the nearest first.
	Peers func() []netip.AddrPort
	Now   func() time.Time

	failed map[netip.AddrPort]backoff
}

// backoff is the state of a peer after failed reads.
type backoff struct {
	until    time.Time
	failures int
	// unreachable reports whether the last read failed; otherwise its data was stale.
	unreachable bool
}

// Read reads changes as connector.Table.Read does.
func (r *PeerReader) Read(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
	a, ok := r.pick()
	if !ok {
		return connector.Changes{}, &Error{Op: "read " + r.Table, Kind: classifier.Unavailable, Err: errNoPeers}
	}
	if r.failed[a].unreachable {
		// A read from a peer that may still be unreachable should fail quickly. A stale
		// peer keeps the wait, so that it isn't polled more often than others.
		wait = 0
	}
	c, err := r.readFrom(ctx, a, from, wait)
	switch {
	case errors.Is(err, errNotReady):
		r.skip(a, backoff{until: r.Now().Add(notReadyBackoff)})
	case err != nil || len(c.Items) == 0 && c.Age > staleAge:
		r.recordFailure(a, err != nil)
	default:
		delete(r.failed, a)
	}
	return c, err
}

// pick returns the first peer that isn't in backoff, or the one whose backoff ends
// first if all are.
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

func (r *PeerReader) recordFailure(a netip.AddrPort, unreachable bool) {
	p := r.failed[a]
	p.until = r.Now().Add(min(maxBackoff, minBackoff<<min(p.failures, 16)))
	p.failures++
	p.unreachable = unreachable
	r.skip(a, p)
}

func (r *PeerReader) skip(a netip.AddrPort, p backoff) {
	if r.failed == nil {
		r.failed = make(map[netip.AddrPort]backoff)
	}
	r.failed[a] = p
}

func (r *PeerReader) readFrom(ctx context.Context, a netip.AddrPort, from uint64, wait time.Duration) (connector.Changes, error) {
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
	if o.StatusCode == http.StatusServiceUnavailable {
		return c, &Error{Op: op, Kind: classifier.Unavailable, Err: errNotReady}
	}
	if o.StatusCode != http.StatusOK {
		return c, &Error{Op: op, Kind: classifier.Unavailable, Err: errors.Newf("status %d", o.StatusCode)}
	}
	// Processes of older versions name no table.
	if name := o.Header.Get(tableHeader); name != "" && name != r.Table {
		return c, &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("the response is the table %.40q", name)}
	}
	b := io.LimitReader(watcher.Reader(ctx, o.Body), maxResponseBytes)
	if err := json.NewDecoder(b).Decode(&c); err != nil {
		return c, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	// Another program may have taken over the address of a peer.
	if c.Next == 0 || c.Age < 0 || c.Written < 0 {
		return connector.Changes{}, &Error{Op: op, Kind: classifier.Invalid, Err: errors.New("the response is not a table")}
	}
	return c, nil
}
