package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/problem"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sender"
	"github.com/eelgrassdrift/eelgrassdrift/limiter"
)

const (
	// maxBody bounds the body of a request in bytes.
	maxBody = 8 << 20
	// maxTime bounds one request.
	maxTime = time.Hour
	// stopped is the reason of a failure because the end of a planned stop has cut the request.
	stopped       = "stopped"
	stoppedDetail = "this endpoint stopped before the answer was whole"
)

// visit is one request at the agent.
type visit struct {
	agent *Agent
	w     http.ResponseWriter
	q     *http.Request
	id    string
	body  []byte
	begun time.Time
	// buffers is what the visit holds of the buffers of the agent.
	buffers receiver.Share
	// stream is the progress of a streamed response.
	stream limiter.Stream
}

// arrive reads the whole request, so that a cut one is refused before any work.
func (a *Agent) arrive(w http.ResponseWriter, q *http.Request) (*visit, context.Context, context.CancelFunc, bool) {
	left := header.Remaining(q.Header, maxTime)
	ctx, cancel := context.WithTimeout(q.Context(), left)
	w, remove := a.stopper.Add(w, cancel)
	v := &visit{
		agent: a, w: &sender.Writer{ResponseWriter: w}, q: q, id: q.Header.Get(header.RequestID), begun: time.Now(),
		buffers: receiver.Share{Of: &a.buffers},
	}
	stop := func() {
		remove()
		cancel()
		v.buffers.Release()
	}
	w.Header().Set(header.RequestID, v.id)
	if left <= 0 {
		stop()
		v.refuse("deadline", "the deadline has passed")
		return nil, nil, nil, false
	}
	b, err := receiver.Body(v.w, q, maxBody, v.begun.Add(left), &v.buffers)
	if err != nil {
		stop()
		v.refuse("body", "the request body is not whole: "+err.Error())
		return nil, nil, nil, false
	}
	v.body = b
	return v, ctx, stop, true
}

// isStopped reports whether the end of a planned stop has cut the request with the given context.
func (v *visit) isStopped(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && v.agent.stopper.IsCut()
}

// refusal returns why operators want no new work here, or "".
func (a *Agent) refusal() string {
	s := a.replica.Current()
	switch {
	case a.leaving.Load():
		return "leaving"
	case s.IsOut(a.FailureDomain):
		return "domain-out"
	case s.Drains[a.Instance] != nil:
		return "drained"
	}
	return ""
}

// stamp writes the headers that every response carries.
func (v *visit) stamp(outcome, reason string) {
	h := v.w.Header()
	h.Set(header.Outcome, outcome)
	if reason != "" {
		h.Set(header.Reason, reason)
	}
	h.Set(header.Endpoint, string(v.agent.Instance))
	h.Set(header.Limit, strconv.Itoa(v.agent.limit.Limit()))
	h.Set(header.InFlight, strconv.Itoa(v.agent.limit.InFlight()))
}

// refuse answers that nothing was run.
func (v *visit) refuse(reason, detail string) {
	v.agent.Log.Info().Str("request-id", v.id).Str("outcome", header.NotRun).Str("reason", reason).Msg("request refused")
	v.stamp(header.NotRun, reason)
	problem.New(http.StatusServiceUnavailable, header.NotRun, detail).Write(v.w)
}

// fail answers that the work failed, or that its outcome is not known.
func (v *visit) fail(outcome, reason, detail string) {
	v.agent.Log.Warn().Str("request-id", v.id).Str("outcome", outcome).Str("reason", reason).Str("detail", detail).
		Msg("request failed")
	v.stamp(outcome, reason)
	problem.New(http.StatusBadGateway, outcome, detail).Write(v.w)
}

// done ends the request for the limit. A request that its caller ended says
// nothing about the endpoint.
func (v *visit) done(n result) {
	s := limiter.Sample{FirstToken: n.first, Total: time.Since(v.begun), Tokens: n.tokens, Failed: n.failed}
	if n.ended {
		s = limiter.Sample{}
	}
	s.Stream = &v.stream
	v.agent.limit.Release(s)
}
