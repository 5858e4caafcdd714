package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
	"github.com/eelgrassdrift/eelgrassdrift/streamer"
)

const (
	// avoidDuration is how long an endpoint is not picked after a connection
	// error or a refusal for any reason other than its limit.
	avoidDuration = time.Second
	// maxBufferedResponse is the maximum size in bytes of a response that is
	// buffered until it is complete.
	maxBufferedResponse = 16 << 20
)

// make sends the call to the endpoint and forwards the response to the caller.
func (a *attempt) make() attemptResult {
	c, p := a.call, a.target
	g := c.gateway
	g.Log.Info().Str("request-id", c.id).Str("account", string(c.account.Name)).Str("serves", c.serves).
		Str("endpoint", string(p.name)).Str("version", string(p.version)).Uint64("revision", c.revision).
		Str("reason", p.reason).Int("try", a.number).Msg("route")
	r, err := g.send(a.ctx, a.request, p)
	if err != nil {
		return c.attemptFailed(a.ctx, p, connector.IsDialError(err) || a.watch.hasSentNothing(), err)
	}
	defer func() { _ = r.Body.Close() }()
	if !p.remote {
		g.table.Observe(p.name, header.Int(r.Header, header.Limit, 0), header.Int(r.Header, header.InFlight, 0))
	}
	g.counters.attempt(a.ctx, c.serves, r.Header.Get(header.Outcome))
	if o := r.Header.Get(header.Outcome); o != header.Run {
		return c.refused(p, r)
	}
	if v := recorder.Name(r.Header.Get(header.Version)); !c.acceptsVersion(p, v) {
		return attemptResult{outcome: retrier.Failed, reason: "version", detail: "the answer came from version " + string(v)}
	}
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return a.copyStream(r)
	}
	if c.hasStarted() {
		// The caller already has the beginning of a stream; only a resumed stream
		// can continue it.
		return attemptResult{outcome: retrier.Failed, reason: "resume", detail: "the endpoint did not resume the stream"}
	}
	return a.copyBuffered(r)
}

// hasStarted reports whether the caller has the beginning of a stream.
func (c *call) hasStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out != nil
}

// acceptsVersion reports whether v, the version that a response names, is the
// pinned one. A gateway of another failure domain chooses the version itself
// when none is pinned.
func (c *call) acceptsVersion(p target, v recorder.Name) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !strings.HasPrefix(c.serves, "model/"):
		return true
	case c.version != "":
		return v == c.version
	case p.remote:
		return v != ""
	}
	return v == p.version
}

// outgoing is a request between processes of this system.
type outgoing struct {
	method, uri string
	header      http.Header
	body        []byte
}

// request returns the request to send to p.
func (c *call) request(p target) outgoing {
	h := make(http.Header)
	for _, k := range []string{"Content-Type", "Accept"} {
		if v := c.q.Header.Get(k); v != "" {
			h.Set(k, v)
		}
	}
	h.Set(header.RequestID, c.id)
	h.Set(header.CallerID, c.callerID)
	h.Set(header.Account, string(c.account.Name))
	h.Set(header.Priority, strconv.Itoa(c.account.Priority))
	h.Set(header.Revision, strconv.FormatUint(c.revision, 10))
	h.Set(header.DeadlineMS, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if p.version != "" {
		h.Set(header.Version, string(p.version))
	}
	if c.key != "" {
		header.SetIdempotencyKey(h, c.key)
	}
	if c.position > 0 {
		h.Set(header.ResumeFrom, strconv.FormatUint(c.position, 10))
	}
	if p.remote {
		h.Set(header.Hops, "1")
	}
	return outgoing{c.q.Method, c.q.URL.RequestURI(), h, c.body}
}

// send sends o to p and returns the response. A response that names another request is an
// error; processes of older versions name none. So is one that ends where the connection is
// closed: a process of this system gives each a length or sends it in chunks, so its head broke off.
func (g *Gateway) send(ctx context.Context, o outgoing, p target) (*http.Response, error) {
	scheme := "http"
	if !g.TLS.IsZero() {
		scheme = "https"
	}
	q, err := http.NewRequestWithContext(ctx, o.method, scheme+"://"+p.address.String()+o.uri, bytes.NewReader(o.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without GetBody the transport can't repeat the request on its own.
	q.GetBody = nil
	q.Header = o.header
	r, err := header.Do(g.client, q)
	if err != nil {
		return nil, err
	}
	if id := r.Header.Get(header.RequestID); id != "" && id != o.header.Get(header.RequestID) {
		_ = r.Body.Close()
		return nil, errors.Newf("response to request %q", id)
	}
	if connector.IsEndedByClose(r) {
		_ = r.Body.Close()
		return nil, errors.Newf("response %s has neither a length nor chunks", r.Status)
	}
	return r, nil
}

// attemptFailed returns the result of an attempt that got no response. The
// outcome is NotRun if nothing was sent, otherwise Unknown.
func (c *call) attemptFailed(ctx context.Context, p target, sentNothing bool, err error) attemptResult {
	g := c.gateway
	a := attemptResult{outcome: retrier.Unknown, reason: "connection", detail: "the endpoint did not answer"}
	switch {
	case errors.Is(context.Cause(ctx), errSuperseded):
		a.reason, a.detail = "superseded", errSuperseded.Error()
	case sentNothing:
		a.outcome, a.detail = retrier.NotRun, "the endpoint can't be reached"
	case ctx.Err() != nil:
		a.reason, a.detail = c.endReason()
		a.detail += " while the endpoint worked"
	}
	if ctx.Err() == nil && !p.remote {
		g.table.Avoid(p.name, time.Now().Add(avoidDuration))
	}
	g.Log.Warn().Str("request-id", c.id).Str("endpoint", string(p.name)).Stringer("outcome", a.outcome).Err(err).
		Msg("attempt failed")
	g.counters.attempt(ctx, c.serves, a.outcome.String())
	g.counters.response(ctx, c.serves, err)
	return a
}

// refused returns the result of a response whose outcome is not "run".
func (c *call) refused(p target, r *http.Response) attemptResult {
	o, _ := retrier.ParseOutcome(r.Header.Get(header.Outcome))
	a := attemptResult{outcome: o, reason: r.Header.Get(header.Reason)}
	b, _ := io.ReadAll(io.LimitReader(r.Body, 4<<10))
	a.detail = detailOf(b)
	if n := header.Int(r.Header, header.RetryAfter, 0); n > 0 {
		a.retryAfter = time.Duration(n) * time.Second
	}
	// An unknown outcome comes from the idempotency guard and says nothing about
	// the health of the endpoint.
	if a.reason != limitReason && o != retrier.Unknown && !p.remote {
		c.gateway.table.Avoid(p.name, time.Now().Add(avoidDuration))
	}
	if r.StatusCode == http.StatusConflict || r.StatusCode == http.StatusBadRequest {
		// The request is invalid, or the first call with its key is still running.
		// Another endpoint would answer the same. After an attempt that may have run, the
		// caller gets what is known of that one.
		a.response, a.body = r, b
	}
	return a
}

// copyStream verifies each frame of the stream and forwards it to the caller.
func (a *attempt) copyStream(r *http.Response) attemptResult {
	c := a.call
	in := &streamer.Reader{In: r.Body, Request: c.id, From: a.from, Reserve: c.buffers.Reserve}
	version := recorder.Name(r.Header.Get(header.Version))
	for {
		f, err := in.Next()
		if errors.Is(err, io.EOF) {
			c.recordSuccess(a, http.StatusOK)
			return attemptResult{finished: true}
		}
		if err != nil {
			return attemptResult{outcome: retrier.Failed, reason: streamer.FaultOf(err).String(), detail: "the stream broke: " + err.Error()}
		}
		a.watch.recordFrame()
		if !a.writeFrame(f, version) {
			return attemptResult{outcome: retrier.Failed, reason: "superseded", detail: errSuperseded.Error()}
		}
	}
}

// copyBuffered reads a complete response before forwarding it, so that a truncated
// one is never forwarded.
func (a *attempt) copyBuffered(r *http.Response) attemptResult {
	b, err := a.call.buffers.Read(r.Body, maxBufferedResponse)
	if err != nil {
		n := attemptResult{outcome: retrier.Unknown, reason: "cut", detail: "the answer was cut"}
		switch {
		case errors.Is(err, receiver.ErrTooLarge):
			n.reason, n.detail = "oversized", "the answer is larger than 16 MiB"
		case errors.Is(err, receiver.ErrNoBufferSpace):
			n.reason, n.detail = "no-buffer-space", "the gateway has no room for the answer"
		case a.ctx.Err() != nil:
			n.reason, n.detail = a.call.endReason()
			n.detail += " during the answer"
		}
		return n
	}
	if !a.writeWhole(r, b) {
		return attemptResult{outcome: retrier.Failed, reason: "superseded", detail: errSuperseded.Error()}
	}
	a.call.recordSuccess(a, r.StatusCode)
	return attemptResult{finished: true}
}

// writeResponse writes a complete response to the caller.
func (c *call) writeResponse(r *http.Response, b []byte) {
	h := c.w.Header()
	for _, k := range []string{"Content-Type", "Location", "ETag", "Cache-Control", header.RetryAfter, header.Version, header.Outcome} {
		if v := r.Header.Get(k); v != "" {
			h.Set(k, v)
		}
	}
	if c.q.Method == http.MethodHead {
		// It is the length that the answer to a GET would have.
		if v := r.Header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	} else {
		h.Set("Content-Length", strconv.Itoa(len(b)))
	}
	c.w.WriteHeader(r.StatusCode)
	_, _ = c.w.Write(b)
}
