package agent

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/problem"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

const (
	// probeInterval is the time between two looks at whether the service answers.
	probeInterval = time.Second
	// maxSilentProbes is the number of probes in a row without a response after which the
	// service stays in service. Each takes probeInterval, and callers wait for two seconds.
	maxSilentProbes = 2
	// maxAnswer bounds the answer of a plain service in bytes.
	maxAnswer = 16 << 20
)

// service is the backend of a plain service.
type service struct {
	agent *Agent
	// client opens a connection for each call: nothing but its connection ties a plain
	// service's answer to a call.
	client *http.Client
	guard  atomic.Pointer[guarder.Guard]
	up     atomic.Bool
	// dialer connects to the service to probe it.
	dialer net.Dialer
}

func newService(a *Agent) *service {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: header.MaxResponseBytes}
	return &service{agent: a, client: &http.Client{Transport: t}}
}

func (s *service) handle(outer, _ *http.ServeMux) {
	outer.HandleFunc("/", s.serve)
	outer.HandleFunc("GET /v1/intents/", func(w http.ResponseWriter, q *http.Request) {
		if g := s.guard.Load(); g != nil {
			g.Handler().ServeHTTP(w, q)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

func (s *service) leave() {}

func (s *service) status(n *relayv1.EndpointStatus) {
	n.State = relayv1.EndpointState_ENDPOINT_STATE_EMPTY
	if s.up.Load() && s.declared() != nil {
		n.State = relayv1.EndpointState_ENDPOINT_STATE_READY
	}
	if s.agent.leaving.Load() {
		n.State = relayv1.EndpointState_ENDPOINT_STATE_LEAVING
	}
}

func (s *service) declared() *registrar.Service {
	return s.agent.replica.Current().Services[s.agent.service()]
}

func (s *service) run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return s.probe(ctx) })
	g.Go(func() error { return s.runGuard(ctx) })
	return g.Wait()
}

// probe looks whether the service takes connections. One that refuses them is gone, but one
// that doesn't respond may be sound and go on.
func (s *service) probe(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	silent := 0
	for {
		err := s.dial(ctx)
		if silent++; !isTimeout(err) {
			silent = 0
		}
		up := err == nil || silent > 0 && silent <= maxSilentProbes && s.up.Load()
		if s.up.Swap(up) != up {
			s.agent.Log.Info().Bool("up", up).Msg("service probed")
			s.agent.changed.Fire()
		}
		select {
		case <-t.C:
		case <-s.agent.replica.Changed():
			s.agent.changed.Fire()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func (s *service) dial(ctx context.Context) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, s.agent.Target, http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	a := q.URL.Host
	if q.URL.Port() == "" {
		a = net.JoinHostPort(a, "80")
	}
	ctx, stop := context.WithTimeout(ctx, probeInterval)
	defer stop()
	c, err := s.dialer.DialContext(ctx, "tcp", a)
	if err != nil {
		return err
	}
	return c.Close()
}

// runGuard runs the guard once the service is declared. A change of the
// declared window takes effect when the agent starts anew.
func (s *service) runGuard(ctx context.Context) error {
	a := s.agent
	for s.declared() == nil {
		select {
		case <-a.replica.Changed():
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	l := connector.NewLog(a.LogURL, &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: header.MaxResponseBytes,
	}})
	l.Unconfirmed = follower.LogUnconfirmed(a.Log)
	g := &guarder.Guard{
		Log:     l,
		Service: a.service(), Instance: a.Instance, Address: a.address, BootID: a.bootID,
		Window: s.declared().KeyWindow.Std(), Retention: a.LogRetention,
		Client: a.peers, Scheme: a.scheme(), Logger: a.Log,
	}
	if err := registerPause(a.Metrics.Meter, g.Pause); err != nil {
		return err
	}
	s.guard.Store(g)
	return g.Run(ctx)
}

// serve answers one call of the service.
func (s *service) serve(w http.ResponseWriter, q *http.Request) {
	a := s.agent
	v, ctx, stop, ok := a.arrive(w, q)
	if !ok {
		return
	}
	defer stop()
	d := s.declared()
	if d == nil {
		v.refuse("not-declared", "the service is not declared")
		return
	}
	if r := a.refusal(); r != "" {
		v.refuse(r, "this endpoint takes no new requests: "+r)
		return
	}
	if !a.limit.Acquire() {
		v.refuse("limit", "the endpoint's limit is reached")
		return
	}
	failed := false
	defer func() { v.done(result{failed: failed}) }()
	key := q.Header.Get(header.IdempotencyKey)
	if key == "" || d.IsIdempotent(q.Method) {
		n, err := s.call(ctx, v)
		failed = s.answer(v, n, err) && ctx.Err() == nil
		return
	}
	failed = s.guarded(ctx, v, key, d.Timeout.Std())
}

// guarded runs a call at most once for its key. The run goes on when the caller
// leaves, so that a repeat can have its answer, but not beyond the end of a planned stop.
func (s *service) guarded(ctx context.Context, v *visit, key string, limit time.Duration) bool {
	g := s.guard.Load()
	if g == nil {
		v.refuse("guard-not-ready", "the guard of idempotency keys has not started")
		return false
	}
	c := guarder.Call{Account: recorder.Name(v.q.Header.Get(header.Account)), Key: key, Request: v.digest()}
	n, err := g.Do(ctx, c, func(context.Context) (guarder.Answer, error) {
		r, stop := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer stop()
		defer context.AfterFunc(ctx, func() {
			if v.isStopped(ctx) {
				stop()
			}
		})()
		return s.call(r, v)
	})
	if n.Winner.IsValid() {
		v.w.Header().Set(header.Winner, n.Winner.String())
	}
	if err == nil && n.Running {
		p := problem.New(http.StatusConflict, header.Unknown, "the first call with this key is still running")
		p.RetryAfter = time.Second
		v.stamp(header.Unknown, "running")
		p.Write(v.w)
		return false
	}
	return s.answer(v, n.Answer, err)
}

// digest covers everything that makes the request what it is.
func (v *visit) digest() recorder.Digest {
	h := fmt.Appendf(nil, "%s %s\n%s\n", v.q.Method, v.q.URL.RequestURI(), v.q.Header.Get("Content-Type"))
	return recorder.DigestOf(append(h, v.body...))
}

// call sends the request to the service once. An error of kind Unavailable
// means that the service did not get it.
func (s *service) call(ctx context.Context, v *visit) (guarder.Answer, error) {
	q, err := http.NewRequestWithContext(ctx, v.q.Method, s.agent.Target+v.q.URL.RequestURI(), bytes.NewReader(v.body))
	if err != nil {
		return guarder.Answer{}, &Error{Op: "call service", Kind: classifier.Unavailable, Err: err}
	}
	// Without GetBody the transport can't repeat the request on its own.
	q.GetBody = nil
	for _, k := range []string{"Content-Type", "Accept", header.CallerID, header.Account} {
		if n := v.q.Header.Get(k); n != "" {
			q.Header.Set(k, n)
		}
	}
	if n := v.q.Header.Get(header.IdempotencyKey); n != "" {
		header.SetIdempotencyKey(q.Header, n)
	}
	r, err := header.Do(s.client, q)
	if err != nil {
		s.agent.Log.Warn().Str("request-id", v.id).Err(err).Msg("service not reached")
		if connector.IsDialError(err) {
			return guarder.Answer{}, &Error{Op: "call service", Kind: classifier.Unavailable, Err: errors.New("the service can't be reached")}
		}
		return guarder.Answer{}, &Error{Op: "call service", Kind: classifier.OutcomeUnknown, Err: errors.New("the service did not answer")}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := v.readWhole(r, isJSON(r))
	if err != nil {
		return guarder.Answer{}, &Error{Op: "read answer", Kind: classifier.OutcomeUnknown, Err: err}
	}
	n := guarder.Answer{Status: r.StatusCode, Body: b, Header: make(http.Header)}
	names := []string{"Content-Type", "Location", "ETag", "Cache-Control", header.RetryAfter}
	if v.q.Method == http.MethodHead {
		// It is the length that the answer to a GET would have.
		names = append(names, "Content-Length")
	}
	for _, k := range names {
		if x := r.Header.Get(k); x != "" {
			n.Header.Set(k, x)
		}
	}
	return n, nil
}

// answer writes the answer or the error, and reports whether the service failed.
func (s *service) answer(v *visit, n guarder.Answer, err error) bool {
	var e *guarder.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		header.SetRetryAfter(v.w.Header(), e.RetryAfter)
	}
	switch k := classifier.Of(err); {
	case err == nil:
		for x, y := range n.Header {
			v.w.Header()[x] = y
		}
		v.stamp(header.Run, "")
		if v.q.Method != http.MethodHead {
			v.w.Header().Set("Content-Length", strconv.Itoa(len(n.Body)))
		}
		v.w.WriteHeader(n.Status)
		_, _ = v.w.Write(n.Body)
		return n.Status >= http.StatusInternalServerError
	case k == classifier.Unavailable:
		v.refuse("unavailable", "this attempt was not run, and what became of earlier ones is as they were told: "+err.Error())
		return false
	case k == classifier.Invalid, k == classifier.Conflict:
		v.stamp(header.NotRun, k.String())
		problem.New(k.Status(), header.NotRun, err.Error()).Write(v.w)
		return false
	default:
		v.fail(header.Unknown, k.String(), err.Error())
		return true
	}
}
