package distributor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// cancelStalls is the number of further Stall periods without a byte after which a
// request is canceled.
const cancelStalls = 4

// attempt asks one source for the chunk until the chunk arrives or the source fails.
// It calls hedge when the next source should be asked as well, within the budget of
// hedged requests.
func (t *task) attempt(ctx context.Context, s Source, hedge func(error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.Level == FromOrigin {
		return t.askOrigin(ctx, cancel, hedge)
	}
	a := s.Member.Address
	err := t.askPeer(ctx, cancel, s, hedge)
	switch {
	case err == nil:
		t.f.peers.succeed(a)
		t.f.hedgeBudget.deposit()
	case isAny(err, errMiss, errCycle, errPlanChanged, errCorrupt, errRejected),
		ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStall):
		t.f.peers.endProbe(a)
	default:
		t.f.peers.fail(a, t.f.Now())
	}
	return err
}

func isAny(err error, list ...reason) bool {
	for _, r := range list {
		if errors.Is(err, r) {
			return true
		}
	}
	return false
}

// waitCrossRegion waits until this instance's share of CrossRegionRate admits the
// chunk. A lower-ranked source most likely has nothing to send: it isn't waited for, and its
// bytes count once they have arrived. Otherwise the leaders of the origin's region notice half
// a second late that the origin is back.
func (t *task) waitCrossRegion(ctx context.Context, s Source) error {
	if !t.isCounted(s) || s.LowerRanked {
		return nil
	}
	return t.f.crossRegion.WaitN(ctx, int(t.sizes[t.chunk]))
}

// countCrossRegion counts the bytes of a lower-ranked source.
func (t *task) countCrossRegion(s Source) {
	if t.isCounted(s) && s.LowerRanked {
		t.f.crossRegion.ReserveN(t.f.Now(), int(t.sizes[t.chunk]))
	}
}

// isCounted reports whether the bytes of a source count for CrossRegionRate.
func (t *task) isCounted(s Source) bool {
	return t.f.isCrossRegion(s) && t.sizes[t.chunk] > 0 && t.f.CrossRegionRate > 0
}

// claim waits until the chunk may be asked for, and while it is arriving from another source
// over a link that all sources share and that is narrow.
func (t *task) claim(ctx context.Context) (*claim, error) {
	for {
		c, err := t.f.Link.claim(ctx, t.sizes[t.chunk])
		if err != nil || !c.narrow || t.receiving.Load() == 0 {
			return c, err
		}
		c.end(false)
		if err := sleep(ctx, t.f.Poll); err != nil {
			return nil, err
		}
	}
}

// isCrossRegion reports whether the bytes of a source come from another region.
func (f *Fetcher) isCrossRegion(s Source) bool {
	return s.Level == OtherRegion || s.Level == FromOrigin && f.Self.Region != f.OriginRegion
}

// askPeer requests the chunk from a peer, and repeats the request while the peer is
// fetching the chunk itself.
func (t *task) askPeer(ctx context.Context, cancel context.CancelCauseFunc, s Source, hedge func(error)) error {
	f := t.f
	if err := t.waitCrossRegion(ctx, s); err != nil {
		return err
	}
	d := t.chunks[t.chunk]
	hold := f.Poll
	if s.LowerRanked {
		hold = 0
	}
	begin := f.Now()
	hedged := false
	var known waitChain
	var cycleSince time.Time
	seenHolders := 0
	for {
		if !s.LowerRanked {
			f.Store.setWaitChain(d, known.prepend(s.Member.Instance))
		}
		c, err := t.claim(ctx)
		if err != nil {
			return err
		}
		wait := hold
		if c.narrow {
			wait = 0
		}
		asked := f.Now()
		w := newWatchdog(wait+f.Stall, f.Stall, cancel, func(bool) bool {
			if !f.hedgeBudget.withdraw() {
				return false
			}
			f.peers.fail(s.Member.Address, f.Now())
			hedge(errStall)
			return true
		})
		r, err := t.get(ctx, s, query{wait: wait, inCycle: !cycleSince.IsZero(), seenHolders: seenHolders}, w, c)
		w.stop()
		state, from := r.state, r.chain
		known = from
		switch {
		case err != nil:
			return err
		case state == "":
			t.countCrossRegion(s)
			return nil
		case len(r.holders) > 0:
			if t.askHolders(ctx, r.holders, s.Level, hedge) {
				return nil
			}
			seenHolders = r.holderCount
			continue
		case s.LowerRanked, state == chunkAbsent && (f.Now().Sub(begin) >= f.Wait || f.Now().Sub(asked) < wait/2):
			return errMiss
		case t.isRankChanged(s):
			return errPlanChanged
		}
		f.peers.succeed(s.Member.Address)
		if cycle := from.prepend(s.Member.Instance).cycle(f.Self.Instance); len(cycle) == 0 {
			cycleSince = time.Time{}
		} else {
			// The elected member breaks the cycle and the others wait for it.
			// Names of a cycle that was broken keep circulating for as long as
			// its detection took. Members that see different cycles may each
			// wait for another one; they stop after a further Stall.
			if cycleSince.IsZero() {
				cycleSince = f.Now()
			}
			if cycle.elect(d) == f.Self.Instance || f.Now().Sub(cycleSince) >= f.Stall+2*time.Duration(len(cycle))*hold {
				t.markCycle(cycle)
				return errCycle
			}
		}
		if !hedged && f.Now().Sub(begin) > f.HedgeDelay {
			hedged = true
			hedge(errSlowSource)
		}
		switch {
		case c.narrow:
			if err := sleep(ctx, time.Duration((0.5+f.Rand()/2)*float64(f.Poll))); err != nil {
				return err
			}
		case state == chunkBusy:
			if err := sleep(ctx, time.Duration(f.Rand()*float64(20*time.Millisecond))); err != nil {
				return err
			}
		}
	}
}

// askHolders asks instances that got the chunk from a busy source, without waiting, and
// reports whether one sent it.
func (t *task) askHolders(ctx context.Context, names []recorder.Name, l Level, hedge func(error)) bool {
	for _, n := range names {
		m, ok := t.member(n)
		if !ok || n == t.f.Self.Instance || !t.f.peers.admit(m.Address, t.f.Now()) {
			continue
		}
		ctx, cancel := context.WithCancelCause(ctx)
		r, err := t.askHolder(ctx, cancel, Source{Member: m, Level: l}, hedge)
		stalled := errors.Is(context.Cause(ctx), errStall)
		cancel(nil)
		switch {
		case err == nil && r.state == "":
			t.f.peers.succeed(m.Address)
			return true
		case err == nil, isAny(err, errRejected), ctx.Err() != nil && !stalled:
			t.f.peers.endProbe(m.Address)
		default:
			t.f.peers.fail(m.Address, t.f.Now())
		}
	}
	return false
}

// askHolder sends one request to an instance that got the chunk. The time in which the
// instance must answer begins once the link of this one is free for the chunk. If it falls
// silent within the chunk, the next source is asked as well, unless the budget is used up or
// a narrow link would keep that one waiting for this chunk.
func (t *task) askHolder(ctx context.Context, cancel context.CancelCauseFunc, s Source, hedge func(error)) (reply, error) {
	c, err := t.claim(ctx)
	if err != nil {
		return reply{}, err
	}
	w := newWatchdog(t.f.Stall, t.f.Stall, cancel, func(begun bool) bool {
		if !begun || c.narrow || !t.f.hedgeBudget.withdraw() {
			cancel(errStall)
			return false
		}
		t.f.peers.fail(s.Member.Address, t.f.Now())
		hedge(errStall)
		return true
	})
	defer w.stop()
	return t.get(ctx, s, query{seenHolders: -1}, w, c)
}

// query holds the parameters of a request to a peer.
type query struct {
	// wait is how long the peer holds the request.
	wait time.Duration
	// inCycle makes the peer hold the request even while it waits for this instance.
	inCycle bool
	// seenHolders is the number of holders of the chunk that the peer had when it last
	// named some; negative if this instance doesn't want to be sent on.
	seenHolders int
}

func (q query) String() string {
	s := "?wait-ms=" + strconv.FormatInt(q.wait.Milliseconds(), 10)
	if q.inCycle {
		s += "&in-cycle=true"
	}
	if q.seenHolders >= 0 {
		s += "&seen-holders=" + strconv.Itoa(q.seenHolders)
	}
	return s
}

// reply is the reply of a peer that sent no chunk.
type reply struct {
	// state is the value of headerChunk; empty if the chunk was accepted.
	state string
	// chain holds the instances for which the peer waits.
	chain waitChain
	// holders names instances that got the chunk from the peer, which has sent it to
	// holderCount.
	holders     []recorder.Name
	holderCount int
}

// get sends one request to a peer.
func (t *task) get(ctx context.Context, s Source, p query, w *watchdog, c *claim) (_ reply, err error) {
	defer func() { c.end(err != nil) }()
	f := t.f
	d := t.chunks[t.chunk]
	url := f.Scheme + "://" + s.Member.Address.String() + t.urlPath + d.String() + p.String()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return reply{}, errors.WithStack(err)
	}
	q.Header.Set(headerInstance, string(f.Self.Instance))
	q.Header.Set(headerDomain, string(f.Self.FailureDomain))
	q.Header.Set(headerRegion, string(f.Self.Region))
	r, err := header.Do(f.Client, q)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = r.Body.Close() }()
	switch r.StatusCode {
	case http.StatusOK:
		return reply{}, t.receive(s, r.Body, r.ContentLength, w, c)
	case http.StatusNotFound, http.StatusServiceUnavailable:
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 4<<10))
		a := reply{state: r.Header.Get(headerChunk), chain: parseWaitChain(r.Header.Get(headerSource))}
		if a.state == chunkBusy {
			a.holderCount, a.holders = parseHolders(r.Header.Get(headerHolderCount), r.Header.Get(headerHolders))
		}
		if a.state != chunkFetching && a.state != chunkBusy {
			return reply{state: chunkAbsent}, nil
		}
		return a, nil
	default:
		return reply{}, errors.Newf("peer replied with status %d", r.StatusCode)
	}
}

// askOrigin reads the chunk from the origin.
func (t *task) askOrigin(ctx context.Context, cancel context.CancelCauseFunc, hedge func(error)) error {
	f := t.f
	select {
	case f.originSlots <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-f.originSlots }()
	if err := f.originBackoff.wait(ctx, f.Now); err != nil {
		return err
	}
	if err := f.originRate.Wait(ctx); err != nil {
		return err
	}
	if err := t.waitCrossRegion(ctx, Source{Level: FromOrigin}); err != nil {
		return err
	}
	if t.isRankChanged(Source{Level: FromOrigin}) {
		return errPlanChanged
	}
	d := t.chunks[t.chunk]
	f.Store.setWaitChain(d, nil)
	w := newWatchdog(f.Stall, f.Stall, cancel, func(bool) bool { hedge(errStall); return true })
	defer w.stop()
	c := f.Link.originClaim(t.sizes[t.chunk])
	body, size, err := f.Origin.Fetch(ctx, d)
	if err == nil {
		defer func() { _ = body.Close() }()
		err = t.receive(Source{Level: FromOrigin}, body, size, w, c)
	}
	c.end(err != nil)
	if err == nil {
		f.originBackoff.succeed()
		return nil
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStall) {
		var after time.Duration
		if e := (*connector.Error)(nil); errors.As(err, &e) {
			after = e.RetryAfter
		}
		f.originBackoff.fail(f.Now(), after, f.MaxBackoff, f.Rand())
	}
	return errors.Mark(err, errOrigin)
}

// receive reads a body into a buffer, verifies it and hands the buffer to the store.
func (t *task) receive(s Source, body io.Reader, size int64, w *watchdog, c *claim) error {
	f := t.f
	c.begin()
	t.receiving.Add(1)
	defer t.receiving.Add(-1)
	d, want := t.chunks[t.chunk], t.sizes[t.chunk]
	if want >= 0 && size >= 0 && size != want {
		return t.corrupted(s, errors.Newf("length is %d, not %d", size, want))
	}
	in := countingReader{body, func(n int) {
		f.received[s.Level].Add(int64(n))
		w.progress(n)
		c.arrive(n)
	}}
	var b []byte
	var err error
	if want >= 0 {
		b = make([]byte, want)
		_, err = io.ReadFull(in, b)
	} else {
		b, err = io.ReadAll(io.LimitReader(in, recorder.MaxManifest+1))
	}
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	err = t.accept(d, b)
	if errors.Is(err, errCorrupt) {
		return t.corrupted(s, err)
	}
	if err != nil {
		return err
	}
	f.Log.Debug().Stringer("chunk", d).Str("source", s.Name()).Stringer("source-level", s.Level).
		Bool("behind", s.LowerRanked).Int("bytes", len(b)).Msg("chunk-verified")
	return nil
}

// countingReader calls count with the number of bytes of each read.
type countingReader struct {
	io.Reader
	count func(n int)
}

func (m countingReader) Read(b []byte) (int, error) {
	n, err := m.Reader.Read(b)
	m.count(n)
	return n, err
}

// corrupted logs and counts a corrupted chunk and returns err marked errCorrupt.
func (t *task) corrupted(s Source, err error) error {
	t.f.corrupt.Add(1)
	t.f.Log.Info().Stringer("chunk", t.chunks[t.chunk]).Str("source", s.Name()).Stringer("source-level", s.Level).
		Str("reason", err.Error()).Msg("chunk-corrupted")
	return errors.Mark(err, errCorrupt)
}
