package engine

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxOrder bounds a load order in bytes.
const maxOrder = 64 << 10

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrder))
	if err != nil {
		standin.ReplyError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !e.gate.Pass(w, r, outage) {
		return
	}
	var o connector.LoadOrder
	if err := recorder.DecodeStrict(b, &o); err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := checkOrder(o); err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, err := e.beginLoad(o)
	if err != nil {
		e.logLoad(o, err)
		standin.ReplyError(w, http.StatusConflict, err.Error())
		return
	}
	// The order is carried out also when its sender has gone.
	done := make(chan error, 1)
	go func() { done <- e.carryOut(ctx, o) }()
	select {
	case err = <-done:
	case <-r.Context().Done():
		return
	}
	switch {
	case errors.Is(err, context.Canceled) || e.loses.Hit(&e.dice):
		standin.Abort()
	case err != nil:
		standin.ReplyError(w, http.StatusConflict, err.Error())
	default:
		standin.Reply(w, http.StatusOK, e.State())
	}
}

func checkOrder(o connector.LoadOrder) error {
	if err := o.Model.Check(); err != nil {
		return errors.Wrap(err, "field model")
	}
	if err := o.Version.Check(); err != nil {
		return errors.Wrap(err, "field version")
	}
	if o.Size < 1 {
		return errors.Newf("field size: %d is below 1", o.Size)
	}
	return nil
}

// beginLoad checks an order against the state and takes the engine out of
// service. The context ends when the engine restarts.
func (e *Engine) beginLoad(o connector.LoadOrder) (context.Context, error) {
	f := e.gate.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case f.LoadError != "":
		return nil, errors.New(f.LoadError)
	case e.state.Loading:
		return nil, errors.New("a load is in progress")
	case o.Fencing < e.state.Fencing && !e.FencingIgnored:
		return nil, errors.Newf("fencing number %d is below %d", o.Fencing, e.state.Fencing)
	case !e.Now().Before(o.Deadline):
		return nil, errors.New("deadline of the order has passed")
	case len(e.jobs) > 0:
		return nil, errors.Newf("%d requests are in flight", len(e.jobs))
	}
	e.state = connector.EngineState{
		BootID: e.state.BootID, Fencing: max(o.Fencing, e.state.Fencing), Loading: true,
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.abandon = cancel
	return ctx, nil
}

// carryOut reads the weights and puts them in service. After a failure the
// engine is empty.
func (e *Engine) carryOut(ctx context.Context, o connector.LoadOrder) error {
	var err error
	if !e.WithoutWeights {
		err = e.readWeights(ctx, o)
	}
	if err == nil && !standin.Sleep(ctx, e.LoadTime+e.gate.Get().LoadDelay.Std()) {
		err = ctx.Err()
	}
	e.mu.Lock()
	if ctx.Err() != nil {
		err = ctx.Err()
	} else {
		e.abandon()
		e.abandon = nil
		e.state.Loading = false
	}
	if err == nil {
		e.state.Model, e.state.Version, e.state.Digest = o.Model, o.Version, o.Digest.String()
		e.state.Adapters, e.state.Role = o.Adapters, o.Role
		e.warmth = warmth{since: e.Now()}
		e.cache = cache{}
	}
	e.mu.Unlock()
	e.logLoad(o, err)
	return err
}

func (e *Engine) readWeights(ctx context.Context, o connector.LoadOrder) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Source, nil)
	if err != nil {
		return errors.Wrap(err, "field source")
	}
	r, err := e.Client.Do(q)
	if err != nil {
		return errors.Wrap(err, "read weights")
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return errors.Newf("read weights: status %d", r.StatusCode)
	}
	h := sha256.New()
	n, err := io.Copy(h, io.LimitReader(r.Body, o.Size+1))
	if err != nil {
		return errors.Wrap(err, "read weights")
	}
	if n != o.Size {
		return errors.Newf("weights have %d or more bytes, not %d", n, o.Size)
	}
	if d := recorder.Digest(h.Sum(nil)); d != o.Digest {
		return errors.Newf("weights have digest %s, not %s", d, o.Digest)
	}
	return nil
}

func (e *Engine) logLoad(o connector.LoadOrder, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := LoadStat{At: e.Now().UTC(), Model: o.Model, Version: o.Version, Fencing: o.Fencing}
	if err != nil {
		s.Error = err.Error()
	}
	e.stats.Loads = append(e.stats.Loads, s)
	e.stats.Loads = e.stats.Loads[max(0, len(e.stats.Loads)-maxLoads):]
	v := e.Log.Info().Str("version", string(o.Version)).Uint64("fencing", o.Fencing)
	if err != nil {
		v = v.Str("error", s.Error)
	}
	v.Msg("load")
}
