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

// hardStall is the multiple of Stall after which a silent source is given up.
const hardStall = 4

// attempt asks one source for the chunk until it has it or the source failed.
// It calls slow when the next source should be asked as well, within the budget
// of hedged requests.
func (t *task) attempt(ctx context.Context, s Source, slow func(error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.Level == FromOrigin {
		return t.askOrigin(ctx, cancel, slow)
	}
	a := s.Member.Address
	err := t.askPeer(ctx, cancel, s, slow)
	switch {
	case err == nil:
		t.f.peers.succeed(a)
		t.f.hedges.earn()
	case isAny(err, errMiss, errLoop, errPlan, errCorrupt, errRejected),
		ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStall):
		t.f.peers.release(a)
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

// pace waits for this instance's share of the rate into the region.
func (t *task) pace(ctx context.Context, s Source) error {
	size := t.sizes[t.chunk]
	if !t.f.crosses(s) || size <= 0 || t.f.CrossRegionRate <= 0 {
		return nil
	}
	return t.f.cross.WaitN(ctx, int(size))
}

// crosses reports whether a source's bytes come from another region.
func (f *Fetcher) crosses(s Source) bool {
	return s.Level == OtherRegion || s.Level == FromOrigin && f.Self.Region != f.OriginRegion
}

// askPeer asks a peer again while the peer is fetching the chunk itself.
func (t *task) askPeer(ctx context.Context, cancel context.CancelCauseFunc, s Source, slow func(error)) error {
	f := t.f
	if err := t.pace(ctx, s); err != nil {
		return err
	}
	d := t.chunks[t.chunk]
	wait := f.Poll
	if s.Behind {
		wait = 0
	}
	begin := f.Now()
	impatient := false
	var known chain
	var looped time.Time
	for {
		if !s.Behind {
			f.Store.setSource(d, known.behind(s.Member.Instance))
		}
		asked := f.Now()
		w := newWatch(wait+f.Stall, f.Stall, cancel, func() {
			if !f.hedges.take() {
				return
			}
			f.peers.fail(s.Member.Address, f.Now())
			slow(errStall)
		})
		state, from, err := t.get(ctx, s, wait, !looped.IsZero(), w)
		w.stop()
		known = from
		switch {
		case err != nil:
			return err
		case state == "":
			return nil
		case s.Behind, state == chunkAbsent && (f.Now().Sub(begin) >= f.Wait || f.Now().Sub(asked) < wait/2):
			return errMiss
		case t.outranked(s):
			return errPlan
		}
		f.peers.succeed(s.Member.Address)
		if ring := from.behind(s.Member.Instance).cycle(f.Self.Instance); len(ring) == 0 {
			looped = time.Time{}
		} else {
			// The other members wait for the one that takes over. Names of a
			// cycle that has ended pass on for as long as it took to find it.
			// Members that know different cycles may each wait for another one,
			// which ends Stall later.
			if looped.IsZero() {
				looped = f.Now()
			}
			if ring.breaker(d) == f.Self.Instance || f.Now().Sub(looped) >= f.Stall+2*time.Duration(len(ring))*wait {
				t.loop(ring)
				return errLoop
			}
		}
		if !impatient && f.Now().Sub(begin) > f.HedgeDelay {
			impatient = true
			slow(errPatience)
		}
		if state == chunkBusy {
			if err := sleep(ctx, time.Duration(f.Rand()*float64(20*time.Millisecond))); err != nil {
				return err
			}
		}
	}
}

// get makes one request to a peer. It returns the reason in headerChunk where
// the peer has no body to give, with the chain of instances that the peer waits
// for, or an empty string with the chunk accepted. With looped the peer holds
// the request also while it waits for this instance.
func (t *task) get(ctx context.Context, s Source, wait time.Duration, looped bool, w *watch) (string, chain, error) {
	f := t.f
	d := t.chunks[t.chunk]
	url := f.Scheme + "://" + s.Member.Address.String() + t.path + d.String() + "?wait-ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	if looped {
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
		return "", nil, t.take(s, r.Body, r.ContentLength, w)
	case http.StatusNotFound, http.StatusServiceUnavailable:
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 4<<10))
		if state := r.Header.Get(headerChunk); state == chunkFetching || state == chunkBusy {
			return state, parseChain(r.Header.Get(headerSource)), nil
		}
		return chunkAbsent, nil, nil
	default:
		return "", nil, errors.Newf("status %d", r.StatusCode)
	}
}

// askOrigin reads the chunk from the origin.
func (t *task) askOrigin(ctx context.Context, cancel context.CancelCauseFunc, slow func(error)) error {
	f := t.f
	select {
	case f.slots <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-f.slots }()
	if err := f.gate.wait(ctx, f.Now); err != nil {
		return err
	}
	if err := f.originRate.Wait(ctx); err != nil {
		return err
	}
	if err := t.pace(ctx, Source{Level: FromOrigin}); err != nil {
		return err
	}
	if t.outranked(Source{Level: FromOrigin}) {
		return errPlan
	}
	d := t.chunks[t.chunk]
	f.Store.setSource(d, nil)
	w := newWatch(f.Stall, f.Stall, cancel, func() { slow(errStall) })
	defer w.stop()
	body, size, err := f.Origin.Fetch(ctx, d)
	if err == nil {
		defer func() { _ = body.Close() }()
		err = t.take(Source{Level: FromOrigin}, body, size, w)
	}
	if err == nil {
		f.gate.accept()
		return nil
	}
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStall) {
		var after time.Duration
		if e := (*connector.Error)(nil); errors.As(err, &e) {
			after = e.RetryAfter
		}
		f.gate.refuse(f.Now(), after, f.MaxBackoff, f.Rand())
	}
	return errors.Mark(err, errOrigin)
}

// take reads a body into the buffer that the store keeps and verifies it.
func (t *task) take(s Source, body io.Reader, size int64, w *watch) error {
	f := t.f
	d, want := t.chunks[t.chunk], t.sizes[t.chunk]
	if want >= 0 && size >= 0 && size != want {
		return t.corrupted(s, errors.Newf("length is %d, not %d", size, want))
	}
	in := meter{body, func(n int) {
		f.received[s.Level].Add(int64(n))
		w.touch()
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
		Bool("behind", s.Behind).Int("bytes", len(b)).Msg("chunk-verified")
	return nil
}

// meter tells how many bytes each read gave.
type meter struct {
	io.Reader
	count func(n int)
}

func (m meter) Read(b []byte) (int, error) {
	n, err := m.Reader.Read(b)
	m.count(n)
	return n, err
}

func (t *task) corrupted(s Source, err error) error {
	t.f.corrupt.Add(1)
	t.f.Log.Info().Stringer("chunk", t.chunks[t.chunk]).Str("source", s.Name()).Stringer("source-level", s.Level).
		Str("reason", err.Error()).Msg("chunk-corrupted")
	return errors.Mark(err, errCorrupt)
}
