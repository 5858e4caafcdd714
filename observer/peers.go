package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
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
	// maxEpochRise is the largest rise of the epoch that is taken from a peer, and from a single
	// response of the platform. After a false one no response of the platform would be used any more.
	maxEpochRise = 1000
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
	// errUnconfirmed means that a process that knows no epoch got a high one from a single peer.
	errUnconfirmed = errors.New("the epoch isn't confirmed by another peer")
	// ErrInterrupted is the cause of the cancellation of a read that shall not wait any longer. It is
	// no failure of the source.
	ErrInterrupted = errors.New("the read was interrupted")
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
	// MaxAge is the age of its data from which a peer counts as failed also if it has changes; 0
	// means that only one without changes does.
	MaxAge time.Duration
	// Epoch returns the epoch of the offsets that are read from; 0 if it isn't known. It may be
	// nil.
	Epoch func() uint64

	// mu guards the following fields. A read may go on for a moment after the one that it was made for was
	// interrupted.
	mu     sync.Mutex
	failed map[netip.AddrPort]backoff
	// highEpoch is the last high epoch that was read while none was known, and highPeer its peer.
	highEpoch uint64
	highPeer  netip.AddrPort
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
	a, last, ok := r.pick()
	if !ok {
		return connector.Changes{}, &Error{Op: "read " + r.Table, Kind: classifier.Unavailable, Err: errNoPeers}
	}
	if last.unreachable {
		// A read from a peer that may still be unreachable should fail quickly. A stale
		// peer keeps the wait, so that it isn't polled more often than others.
		wait = 0
	}
	c, err := r.readFrom(ctx, a, from, wait)
	switch {
	case err != nil && isInterrupted(ctx):
	case errors.Is(err, errNotReady), errors.Is(err, errUnconfirmed):
		r.skip(a, backoff{until: r.Now().Add(notReadyBackoff)})
	case err == nil && r.MaxAge > 0 && c.Age > r.MaxAge:
		r.recordFailure(a, false)
		return connector.Changes{}, &Error{Op: "read " + r.Table + " from " + a.String(), Kind: classifier.Unavailable, Err: errors.Newf("the data is %s old", c.Age)}
	case err != nil || len(c.Items) == 0 && c.Age > staleAge:
		r.recordFailure(a, err != nil)
	default:
		r.forget(a)
	}
	return c, err
}

func isInterrupted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrInterrupted) }

// ReadAny returns the whole table of a random peer. The nearest ones may have been cut off from the
// platform together with this process, so they may lack the same records.
func (r *PeerReader) ReadAny(ctx context.Context) (connector.Changes, error) {
	l := r.Peers()
	if len(l) == 0 {
		return connector.Changes{}, &Error{Op: "read " + r.Table, Kind: classifier.Unavailable, Err: errNoPeers}
	}
	return r.readFrom(ctx, l[rand.IntN(len(l))], 0, 0)
}

// confirm reports whether the last high epoch was the same one and of another peer, or of the only
// one. After a single false epoch a process that has just started would use no other response.
func (r *PeerReader) confirm(a netip.AddrPort, epoch uint64) bool {
	only := len(r.Peers()) == 1
	r.mu.Lock()
	defer r.mu.Unlock()
	same := r.highEpoch == epoch && (r.highPeer != a || only)
	r.highEpoch, r.highPeer = epoch, a
	return same
}

// pick returns the first peer that isn't in backoff, or the one whose backoff ends
// first if all are, and the state of the peer.
func (r *PeerReader) pick() (peer netip.AddrPort, last backoff, ok bool) {
	now, peers := r.Now(), r.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	var first netip.AddrPort
	for _, a := range peers {
		p := r.failed[a]
		if !now.Before(p.until) {
			return a, p, true
		}
		if !first.IsValid() || p.until.Before(r.failed[first].until) {
			first = a
		}
	}
	return first, r.failed[first], first.IsValid()
}

func (r *PeerReader) recordFailure(a netip.AddrPort, unreachable bool) {
	r.mu.Lock()
	p := r.failed[a]
	r.mu.Unlock()
	p.until = r.Now().Add(min(maxBackoff, minBackoff<<min(p.failures, 16)))
	p.failures++
	p.unreachable = unreachable
	r.skip(a, p)
}

func (r *PeerReader) forget(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, a)
}

func (r *PeerReader) skip(a netip.AddrPort, p backoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = make(map[netip.AddrPort]backoff)
	}
	r.failed[a] = p
}

func (r *PeerReader) readFrom(ctx context.Context, a netip.AddrPort, from uint64, wait time.Duration) (connector.Changes, error) {
	var c connector.Changes
	op := "read " + r.Table + " from " + a.String()
	epoch := uint64(0)
	if r.Epoch != nil {
		epoch = r.Epoch()
	}
	url := fmt.Sprintf("http://%s/v1/tables/%s?from=%d&wait-ms=%d&packed=1&epoch=%d", a, r.Table, from, wait.Milliseconds(), epoch)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return c, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	o, err := header.Do(r.Client, q)
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
	if err := unpack(c.Items); err != nil {
		return connector.Changes{}, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	// Another program may have taken over the address of a peer.
	if c.Next == 0 || c.Age < 0 || c.Written < 0 {
		return connector.Changes{}, &Error{Op: op, Kind: classifier.Invalid, Err: errors.New("the response is not a table")}
	}
	if epoch != 0 && isFarAbove(c.Epoch, epoch) {
		return connector.Changes{}, &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("epoch %d, have %d", c.Epoch, epoch)}
	}
	if r.Epoch != nil && epoch == 0 && isFarAbove(c.Epoch, 0) && !r.confirm(a, c.Epoch) {
		return connector.Changes{}, &Error{Op: op, Kind: classifier.Unavailable, Err: errors.Wrapf(errUnconfirmed, "epoch %d", c.Epoch)}
	}
	if c.Epoch != 0 && c.Epoch < epoch {
		return connector.Changes{}, &Error{Op: op, Kind: classifier.Unavailable, Err: errors.Wrapf(errLowerEpoch, "epoch %d, have %d", c.Epoch, epoch)}
	}
	return c, nil
}
