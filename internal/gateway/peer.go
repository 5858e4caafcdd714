package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/problem"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

// detailOf returns the detail of a problem document.
func detailOf(b []byte) string {
	var p problem.Problem
	if json.Unmarshal(b, &p) != nil {
		return ""
	}
	return p.Detail
}

// servePeer serves a request forwarded by a gateway of another failure domain. It
// picks endpoints of its own failure domain only, so that a request is forwarded
// between failure domains at most once.
func (g *Gateway) servePeer(w http.ResponseWriter, q *http.Request) {
	w, q, done := g.track(w, q)
	defer done()
	c := &call{gateway: g, w: w, q: q, id: q.Header.Get(header.RequestID), callerID: q.Header.Get(header.CallerID), begun: time.Now()}
	c.buffers.Of = &g.buffers
	defer c.buffers.Release()
	w.Header().Set(header.RequestID, c.id)
	c.account = &registrar.ClientAccount{}
	c.account.Name = recorder.Name(q.Header.Get(header.Account))
	c.account.Priority = header.Int(q.Header, header.Priority, 0)
	c.version = recorder.Name(q.Header.Get(header.Version))
	c.position = uint64(max(0, header.Int(q.Header, header.ResumeFrom, 0)))
	pinned := c.version
	b, err := receiver.Body(c.w, q, maxBody, c.begun.Add(g.RequestTimeout), &c.buffers)
	if err != nil {
		problem.New(http.StatusServiceUnavailable, header.NotRun, "the body is not whole").Write(w)
		return
	}
	c.body = b
	s := g.replica.Current()
	if s.IsOut(g.FailureDomain) {
		problem.New(http.StatusServiceUnavailable, header.NotRun, "the failure domain is out").Write(w)
		return
	}
	if p := c.identifyPeer(s); p != nil {
		p.Write(w)
		return
	}
	c.version = pinned
	c.serveRemote(q.Context(), header.Remaining(q.Header, time.Hour))
}

func (c *call) identifyPeer(s *registrar.State) *problem.Problem {
	c.revision = s.Offset
	if c.q.URL.Path == completionsPath {
		return c.identifyModel(s)
	}
	return c.identifyService(s)
}

// serveRemote makes attempts at endpoints of its own failure domain and forwards
// the first response that is not a refusal unmodified. The gateway that sent the
// request verifies it.
func (c *call) serveRemote(ctx context.Context, left time.Duration) {
	g := c.gateway
	c.deadline = c.begun.Add(left)
	ctx, stop := context.WithDeadline(ctx, c.deadline)
	defer stop()
	c.triedDomains = g.domains.names()
	for {
		p, err := c.pick(ctx)
		if err != nil {
			g.Log.Info().Str("request-id", c.id).Str("serves", c.serves).Err(err).Msg("peer request refused")
			x := problem.New(http.StatusServiceUnavailable, header.NotRun, err.Error())
			x.RetryAfter = time.Second
			x.Write(c.w)
			return
		}
		c.tries++
		if !c.forwardAttempt(ctx, p) {
			return
		}
		c.tried = append(c.tried, p.name)
	}
}

// forwardAttempt makes one attempt and reports whether another one may follow. If
// not, it has written the response.
func (c *call) forwardAttempt(ctx context.Context, p target) bool {
	defer p.done()
	g := c.gateway
	g.Log.Info().Str("request-id", c.id).Str("account", string(c.account.Name)).Str("serves", c.serves).
		Str("endpoint", string(p.name)).Str("version", string(p.version)).Uint64("revision", c.revision).
		Str("reason", p.reason).Str("from", "peer").Int("try", c.tries).Msg("route")
	r, err := g.send(ctx, c.request(p), p)
	if err != nil {
		a := c.attemptFailed(ctx, p, connector.IsDialError(err), err)
		if a.outcome == retrier.NotRun && c.tries < retrier.DefaultMaxTries {
			return true
		}
		problem.New(http.StatusBadGateway, a.outcome.String(), a.detail).Write(c.w)
		return false
	}
	defer func() { _ = r.Body.Close() }()
	g.table.Observe(p.name, header.Int(r.Header, header.Limit, 0), header.Int(r.Header, header.InFlight, 0))
	if r.Header.Get(header.Outcome) == header.NotRun && c.tries < retrier.DefaultMaxTries {
		if r.Header.Get(header.Reason) != limitReason {
			g.table.Avoid(p.name, time.Now().Add(avoidDuration))
		}
		return true
	}
	copyResponse(c.w, r)
	if r.Header.Get(header.Outcome) == header.Run && r.StatusCode < http.StatusBadRequest && ctx.Err() == nil {
		c.noteDuration()
	}
	return false
}

// copyResponse streams a response to w unmodified and aborts the connection if the
// response is truncated.
func copyResponse(w http.ResponseWriter, r *http.Response) {
	h := w.Header()
	for k, v := range r.Header {
		h[k] = v
	}
	w.WriteHeader(r.StatusCode)
	f := http.NewResponseController(w)
	b := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(b)
		if n > 0 {
			if _, e := w.Write(b[:n]); e != nil {
				return
			}
			_ = f.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
