package distributor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
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
// chunk.
func (t *task) waitCrossRegion(ctx context.Context, s Source) error {
	size := t.sizes[t.chunk]
	if !t.f.isCrossRegion(s) || size <= 0 || t.f.CrossRegionRate <= 0 {
		return nil
	}
	return t.f.crossRegion.WaitN(ctx, int(size))
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
	wait := f.Poll
	if s.LowerRanked {
		wait = 0
	}
	begin := f.Now()
	hedged := false
	var known waitChain
	var cycleSince time.Time
	for {
		if !s.LowerRanked {
			f.Store.setWaitChain(d, known.prepend(s.Member.Instance))
		}
		asked := f.Now()
		w := newWatchdog(wait+f.Stall, f.Stall, cancel, func() {
			if !f.hedgeBudget.withdraw() {
				return
			}
			f.peers.fail(s.Member.Address, f.Now())
			hedge(errStall)
		})
		state, from, err := t.get(ctx, s, wait, !cycleSince.IsZero(), w)
		w.stop()
		known = from
		switch {
		case err != nil:
			return err
		case state == "":
			return nil
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
			if cycle.elect(d) == f.Self.Instance || f.Now().Sub(cycleSince) >= f.Stall+2*time.Duration(len(cycle))*wait {
				t.markCycle(cycle)
				return errCycle
			}
		}
		if !hedged && f.Now().Sub(begin) > f.HedgeDelay {
			hedged = true
			hedge(errSlowSource)
		}
		if state == chunkBusy {
			if err := sleep(ctx, time.Duration(f.Rand()*float64(20*time.Millisecond))); err != nil {
				return err
			}
		}
	}
}

// get sends one request to a peer. If the peer sends no chunk, get returns the value
// of headerChunk and the chain of instances for which the peer waits; if the chunk
// was accepted, it returns an empty string. With inCycle set, the peer holds the
// request even while it waits for this instance.
func (t *task) get(ctx context.Context, s Source, wait time.Duration, inCycle bool, w *watchdog) (string, waitChain, error) {
	f := t.f
	d := t.chunks[t.chunk]
	url := f.Scheme + "://" + s.Member.Address.String() + t.urlPath + d.String() + "?wait-ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	if inCycle {
		url += "&in-cycle=true"
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", nil, errors.WithStack(err)
	}
	q.Header.Set(headerInstance, string(f.Self.Instance))
	q.Header.Set(headerDomain, string(f.Self.FailureDomain))
	q.Header.Set(headerRegion, string(f.Self.Region))
	r, err := f.Client.Do(q)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = r.Body.Close() }()
	switch r.StatusCode {
	case http.StatusOK:
		return "", nil, t.receive(s, r.Body, r.ContentLength, w)
	case http.StatusNotFound, http.StatusServiceUnavailable:
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 4<<10))
		if state := r.Header.Get(headerChunk); state == chunkFetching || state == chunkBusy {
			return state, parseWaitChain(r.Header.Get(headerSource)), nil
		}
		return chunkAbsent, nil, nil
	default:
		return "", nil, errors.Newf("peer replied with status %d", r.StatusCode)
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
	w := newWatchdog(f.Stall, f.Stall, cancel, func() { hedge(errStall) })
	defer w.stop()
	body, size, err := f.Origin.Fetch(ctx, d)
	if err == nil {
		defer func() { _ = body.Close() }()
		err = t.receive(Source{Level: FromOrigin}, body, size, w)
	}
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
func (t *task) receive(s Source, body io.Reader, size int64, w *watchdog) error {
	f := t.f
	t.receiving.Add(1)
	defer t.receiving.Add(-1)
	d, want := t.chunks[t.chunk], t.sizes[t.chunk]
	if want >= 0 && size >= 0 && size != want {
		return t.corrupted(s, errors.Newf("length is %d, not %d", size, want))
	}
	in := countingReader{body, func(n int) {
		f.received[s.Level].Add(int64(n))
		w.progress()
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
