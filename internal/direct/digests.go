package direct

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// firstDigests asks all peers at once and returns the first digests, or nil if none has sent
// any within the given time.
func firstDigests(ctx context.Context, peers []distributor.Member, wait time.Duration,
	ask func(ctx context.Context, m distributor.Member) ([][32]byte, error),
) [][32]byte {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answers := make(chan [][32]byte, len(peers))
	for _, m := range peers {
		go func() {
			d, err := ask(ctx, m)
			if err != nil {
				d = nil
			}
			answers <- d
		}()
	}
	for range peers {
		select {
		case d := <-answers:
			if d != nil {
				return d
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// maxDigests is the largest number of pieces of a version.
const maxDigests = 1 << 16

// readDigests reads SHA-256 digests that are concatenated without a separator.
func readDigests(r io.Reader) ([][32]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxDigests*32+1))
	if err != nil {
		return nil, errors.Wrap(err, "read digests")
	}
	if len(b) == 0 || len(b)%32 != 0 || len(b) > maxDigests*32 {
		return nil, errors.Newf("read digests: %d bytes", len(b))
	}
	d := make([][32]byte, len(b)/32)
	for i := range d {
		copy(d[i][:], b[i*32:])
	}
	return d, nil
}

// serveDigests answers with the digests of the pieces of a version.
func (a *Agent) serveDigests(w http.ResponseWriter, q *http.Request) {
	v, err := strconv.ParseInt(q.PathValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	d := a.loader.KnownDigests(v)
	if d == nil {
		http.NotFound(w, q)
		return
	}
	for i := range d {
		if _, err := w.Write(d[i][:]); err != nil {
			return
		}
	}
}

// digests returns the digests of a version from the gateway table. If that lacks them, it
// asks other instances: the first digestPeers
// members of this failure domain, and a random one in case these are lost. If none
// knows them, the first members ask the origin, but only a few of the others do,
// because the origin accepts only a few dozen connections in all. The error is of kind
// Refused where the caller has to ask again later, and NotFound where it may ask the
// origin.
func (a *Agent) digests(ctx context.Context, model string, version int64) ([][32]byte, error) {
	if d := a.follower.state.Digests(model, version); d != nil {
		return d.Pieces, nil
	}
	all := a.members()
	near := slices.DeleteFunc(slices.Clone(all), func(m distributor.Member) bool { return string(m.FailureDomain) != a.Domain })
	near = near[:min(len(near), digestPeers)]
	asksOrigin := slices.ContainsFunc(near, func(m distributor.Member) bool { return m.Address == a.Peers })
	if len(all) > 0 {
		near = append(near, all[rand.IntN(len(all))])
	}
	wait := digestTimeout
	if asksOrigin {
		wait = originDigestDelay
	}
	near = slices.DeleteFunc(near, func(m distributor.Member) bool { return m.Address == a.Peers })
	d := firstDigests(ctx, near, wait, func(ctx context.Context, m distributor.Member) ([][32]byte, error) {
		return a.requestDigests(ctx, m.Address, version)
	})
	if d != nil {
		return d, nil
	}
	k := classifier.Refused
	if asksOrigin || rand.Float64() < originProbability {
		k = classifier.NotFound
	}
	return nil, &loader.Error{Op: "ask for digests", Kind: k, Err: errors.Newf("none of %d peers knows version %d", len(near), version)}
}

// keepDigests writes digests that the origin sent to the gateway table, unless another
// instance has, and deletes those that nobody needs any more.
func (a *Agent) keepDigests(ctx context.Context, model string, version int64, pieces [][32]byte) {
	s := a.follower.state
	if s.Digests(model, version) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepDigestsTimeout)
	defer cancel()
	b, err := json.Marshal(observer.Digests{Model: model, Version: version, Pieces: pieces})
	if err == nil {
		err = a.follower.tables.Gateways.Put(ctx, observer.DigestKey(model, version), b)
	}
	for _, k := range s.SupersededDigests(model, version) {
		err = errors.CombineErrors(err, a.follower.tables.Gateways.Put(ctx, k, nil))
	}
	if err != nil {
		a.Log.Warn().Err(err).Int64("version", version).Msg("digests-not-kept")
	}
}

// onNewConnection returns a client that makes a connection for each request. Idle connections
// of c are not used.
func onNewConnection(c *http.Client) *http.Client {
	n := *c
	if t, ok := c.Transport.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		n.Transport = t
	}
	return &n
}

// requestDigests asks a peer. The answer doesn't name its version, and on a connection in use
// again the second copy of an earlier one would be taken for it.
func (a *Agent) requestDigests(ctx context.Context, peer netip.AddrPort, version int64) ([][32]byte, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+"/v1/digests/"+strconv.FormatInt(version, 10), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "ask for digests")
	}
	r, err := header.Do(onNewConnection(a.follower.client), q)
	if err != nil {
		return nil, errors.Wrap(err, "ask for digests")
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return nil, errors.Newf("ask for digests: status %d", r.StatusCode)
	}
	return readDigests(r.Body)
}
