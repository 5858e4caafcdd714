package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/activator"
	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/problem"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
	"github.com/eelgrassdrift/eelgrassdrift/streamer"
)

// engine is the backend of a model endpoint.
type engine struct {
	agent   *Agent
	runner  *activator.Runner
	store   *distributor.Store
	fetcher *distributor.Fetcher
	handler *distributor.Handler

	mu sync.Mutex
	// kept are the manifests that the store keeps.
	kept map[recorder.Digest]bool
}

func newEngine(a *Agent) (*engine, error) {
	e := &engine{agent: a, store: &distributor.Store{Limit: a.WeightsMemory}}
	if err := e.prepare(); err != nil {
		return nil, err
	}
	e.runner = &activator.Runner{
		Instance: a.Instance, FailureDomain: a.FailureDomain, Model: a.model(),
		Engine:  connector.NewEngine(a.Target, a.client),
		Replica: a.replica, Gate: &a.gate,
		Submit:    a.submit.Submit,
		Fetch:     e.fetch,
		HasChunks: e.hasChunks,
		Keep:      e.keep,
		Source:    func(v *registrar.Version) string { return a.weights + "/v1/weights/" + v.Manifest.String() },
		Warm:      e.warm,
		Cold:      a.limit.Reset,
		Changed:   a.changed.Fire,
		Log:       a.Log,
	}
	e.runner.Init()
	return e, nil
}

func (e *engine) run(ctx context.Context) error { return e.runner.Run(ctx) }

func (e *engine) leave() { e.runner.Leave() }

func (e *engine) status(s *relayv1.EndpointStatus) {
	n := e.runner.Status()
	s.State = stateOf(n.State)
	s.Version, s.Message = string(n.Version), n.Message
	s.ChunksVerified, s.ChunksTotal = uint32(n.Verified), uint32(n.Total)
}

func stateOf(s activator.State) relayv1.EndpointState {
	return relayv1.EndpointState(relayv1.EndpointState_value["ENDPOINT_STATE_"+strings.ToUpper(string(s))])
}

func (e *engine) handle(outer, local *http.ServeMux) {
	outer.HandleFunc("POST /v1/chat/completions", e.complete)
	e.handleChunks(outer, local)
}

// members returns the other endpoints of the model for the distributor.
func (e *engine) members() []distributor.Member {
	l := e.agent.members.Load()
	if l == nil {
		return nil
	}
	out := make([]distributor.Member, 0, len(l.Members))
	for _, m := range l.Members {
		p, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			continue
		}
		out = append(out, distributor.Member{
			Instance: recorder.Name(m.Instance), FailureDomain: recorder.Name(m.FailureDomain),
			Region: recorder.Name(m.Region), Address: p, Leaving: m.Leaving,
		})
	}
	return out
}

// warmBody is the request that an engine answers before it takes others.
const warmBody = `{"model":%q,"messages":[{"role":"user","content":"ready?"}],"max_tokens":1,"stream":false}`

func (e *engine) warm(ctx context.Context, v *registrar.Version) error {
	b := fmt.Sprintf(warmBody, string(v.Model))
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, e.agent.Target+"/v1/chat/completions", strings.NewReader(b))
	if err != nil {
		return errors.WithStack(err)
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(header.CallerID, uuid.NewString())
	r, err := header.Do(e.agent.client, q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK || r.Header.Get(header.Version) != string(v.Name) {
		return errors.Newf("engine answered with status %d from version %q", r.StatusCode, r.Header.Get(header.Version))
	}
	return nil
}

// complete answers a completion from the engine.
func (e *engine) complete(w http.ResponseWriter, q *http.Request) {
	a := e.agent
	v, ctx, stop, ok := a.arrive(w, q)
	if !ok {
		return
	}
	defer stop()
	if r := a.refusal(); r != "" {
		v.refuse(r, "this endpoint takes no new requests: "+r)
		return
	}
	pass, err := a.gate.Enter(recorder.Name(q.Header.Get(header.Version)))
	if err != nil {
		v.refuse("not-ready", err.Error())
		return
	}
	defer pass.Leave()
	if !a.limit.Acquire() {
		v.refuse("limit", "the endpoint's limit is reached")
		return
	}
	n := e.forward(ctx, v, pass)
	v.done(n)
	if n.abort {
		// Closing the connection is the only way to tell the gateway that a
		// response under way is not whole.
		panic(http.ErrAbortHandler)
	}
}

// result is how a forwarded request ended.
type result struct {
	// first is the time to the first byte of a stream.
	first time.Duration
	// tokens is the number of frames of a stream.
	tokens int
	// ended tells that the caller ended the request early.
	ended bool
	// failed tells that the engine did not do the work.
	failed bool
	// abort tells that a response under way can't be completed.
	abort bool
}

// forward sends the request to the engine and copies the answer.
func (e *engine) forward(ctx context.Context, v *visit, p activator.Pass) result {
	r, err := e.send(ctx, v)
	if err != nil {
		if v.isStopped(ctx) {
			v.fail(header.Failed, stopped, stoppedDetail)
			return endedBy(ctx)
		}
		if ctx.Err() != nil {
			v.fail(header.Failed, "deadline", "the caller's deadline passed or the caller left")
			return endedBy(ctx)
		}
		e.agent.Log.Warn().Str("request-id", v.id).Err(err).Msg("engine not reached")
		e.runner.Suspect(p.BootID, "the connection to the engine broke")
		if connector.IsDialError(err) {
			v.refuse("engine", "the engine can't be reached")
		} else {
			v.fail(header.Failed, "engine", "the engine did not answer")
		}
		return result{failed: true}
	}
	defer func() { _ = r.Body.Close() }()
	if n := v.q.Header.Get(header.ResumeFrom); n != "" && r.StatusCode == http.StatusOK && r.Header.Get(header.ResumeFrom) != n {
		// An engine that starts again from the beginning may write another text.
		v.fail(header.Failed, "resume", "the engine does not resume streams")
		return result{}
	}
	if id := r.Header.Get(header.CallerID); id != "" && id != v.id {
		v.fail(header.Failed, "foreign", fmt.Sprintf("engine answered request %q", id))
		return result{failed: true}
	}
	if err := sameSource(r, p); err != nil {
		e.runner.Suspect(p.BootID, "engine answered from another version or boot")
		v.fail(header.Failed, "version", err.Error())
		return result{failed: true}
	}
	if r.StatusCode >= http.StatusInternalServerError || r.StatusCode == http.StatusTooManyRequests {
		b, _ := io.ReadAll(io.LimitReader(r.Body, 1<<10))
		v.fail(header.Failed, "engine", fmt.Sprintf("engine answered with status %d: %s", r.StatusCode, b))
		return result{failed: true}
	}
	isStream := strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
	if !isStream {
		if err := v.giveLength(r); err != nil {
			v.fail(header.Failed, "cut", "the engine's answer: "+err.Error())
			return result{failed: ctx.Err() == nil && !errors.Is(err, receiver.ErrNoBufferSpace)}
		}
	}
	v.stamp(header.Run, "")
	h := v.w.Header()
	h.Set(header.Version, string(p.Version))
	h.Set(header.BootID, p.BootID)
	if isStream {
		n := e.copyStream(ctx, v, r)
		if n.failed {
			// An engine that restarts breaks its streams and is cold afterwards.
			e.runner.Suspect(p.BootID, "a stream of the engine broke")
		}
		return n
	}
	return copyWhole(ctx, v, r)
}

// sameSource compares the version and the boot id that an answer names with
// those for which the request was admitted.
func sameSource(r *http.Response, p activator.Pass) error {
	v, b := r.Header.Get(header.Version), r.Header.Get(header.BootID)
	if b == p.BootID && (v == string(p.Version) || v == "" && r.StatusCode != http.StatusOK) {
		return nil
	}
	return errors.Newf("engine answered from version %q of boot %q, not %q of %q", v, b, p.Version, p.BootID)
}

func (e *engine) send(ctx context.Context, v *visit) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, e.agent.Target+"/v1/chat/completions", bytes.NewReader(v.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(header.CallerID, v.id)
	for _, k := range []string{header.Priority, header.ResumeFrom} {
		if s := v.q.Header.Get(k); s != "" {
			q.Header.Set(k, s)
		}
	}
	return header.Do(e.agent.client, q)
}

func (e *engine) copyStream(ctx context.Context, v *visit, r *http.Response) result {
	from := uint64(max(0, header.Int(v.q.Header, header.ResumeFrom, 0)))
	in := &streamer.Reader{In: r.Body, Request: v.id, From: from, Reserve: v.buffers.Reserve}
	out := &streamer.Writer{Out: v.w, Form: streamer.Hop, Request: v.id, From: from}
	var n result
	for {
		e.agent.limit.Await(&v.stream)
		f, err := in.Next()
		if errors.Is(err, io.EOF) {
			return n
		}
		if err != nil {
			e.agent.Log.Warn().Str("request-id", v.id).Stringer("fault", streamer.FaultOf(err)).Err(err).Msg("stream broken")
			n.failed = ctx.Err() == nil
			n.abort, n.ended = n.failed, ctx.Err() != nil
			if v.isStopped(ctx) {
				_ = out.Fail(problem.New(http.StatusBadGateway, header.Failed, stoppedDetail).Encode()) // the caller may have left
			}
			return n
		}
		n.tokens++
		e.agent.limit.Token(&v.stream)
		if n.first == 0 {
			n.first = time.Since(v.begun)
		}
		if err := out.Frame(f); err != nil {
			n.ended = true
			return n
		}
	}
}

// endedBy tells a deadline without a first byte, which counts against the
// engine, from a caller that left.
func endedBy(ctx context.Context) result {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return result{failed: late, ended: !late}
}

// copyWhole copies an answer that is not a stream. One that the deadline cuts must not look
// whole either.
func copyWhole(ctx context.Context, v *visit, r *http.Response) result {
	for _, k := range []string{"Content-Type", "Content-Length"} {
		if s := r.Header.Get(k); s != "" {
			v.w.Header().Set(k, s)
		}
	}
	v.w.WriteHeader(r.StatusCode)
	if _, err := io.Copy(v.w, r.Body); err != nil {
		return result{failed: ctx.Err() == nil, abort: true}
	}
	return result{}
}
