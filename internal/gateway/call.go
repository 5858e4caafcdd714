package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/problem"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
	"github.com/eelgrassdrift/eelgrassdrift/router"
	"github.com/eelgrassdrift/eelgrassdrift/streamer"
)

// call is the state of one request of a caller across all of its attempts.
type call struct {
	gateway  *Gateway
	w        http.ResponseWriter
	q        *http.Request
	id       string
	callerID string
	body     []byte
	// buffers is what the call holds of the buffers of the gateway.
	buffers  receiver.Share
	account  *registrar.ClientAccount
	revision uint64
	begun    time.Time
	deadline time.Time

	// serves is the model or service that the endpoint has to serve.
	serves     string
	stream     bool
	idempotent bool
	// key is the idempotency key of a non-idempotent call, which must not run
	// twice; empty if there is none.
	key    string
	prefix uint64

	// mu guards the fields up to answered, which running attempts use, and what they
	// write to the caller.
	mu sync.Mutex
	// running holds the attempts that have not ended. Only serve changes it.
	running []*attempt
	// version is the model version that later attempts must use, pinned by the
	// first frame sent to the caller.
	version recorder.Name
	// out writes a stream to the caller; nil before the first frame.
	out *streamer.Writer
	// position is the sequence number from which a broken stream resumes.
	position uint64
	// answered is set when the caller has the whole answer.
	answered bool

	// ended gets each attempt when it has ended, silent a signal while the endpoint of
	// one is silent.
	ended  chan *attempt
	silent chan struct{}
	// last is the result of the last attempt that failed.
	last attemptResult
	// waitReason is the reason last logged for the wait for a silent endpoint.
	waitReason string
	// tried and triedDomains are excluded from further picks.
	tried, triedDomains []recorder.Name
	tries               int
	// retry is the decision that took a retry from the budget for the next attempt; the zero
	// value if none did.
	retry retrier.Decision
	// ran reports whether an attempt may have run. It is set once a stream has begun.
	ran bool
	// limitRefusals counts the refusals by endpoints at their limit.
	limitRefusals int
}

// target is the destination of an attempt: an endpoint, or a gateway of another
// failure domain.
type target struct {
	name    recorder.Name
	address netip.AddrPort
	version recorder.Name
	// remote is set for a gateway of another failure domain.
	remote bool
	reason string
	done   func()
	// reportResult records the result of the attempt in the endpoint table; nil for
	// a gateway of another failure domain.
	reportResult func(failed bool)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	// finished is set when the final response was sent to the caller.
	finished bool
	outcome  retrier.Outcome
	// reason is a kebab-case word, detail a sentence.
	reason, detail string
	retryAfter     time.Duration
	// response and body are the endpoint's refusal of an invalid request, for the
	// caller if no attempt may have run; otherwise nil.
	response *http.Response
	body     []byte
}

const (
	// pickTimeout bounds the search of an admitted call for an endpoint below its
	// limit. Other gateways compete for the same endpoints.
	pickTimeout = 500 * time.Millisecond
	// pickBackoff is the initial delay between two picks; it doubles each time.
	pickBackoff = 5 * time.Millisecond
	// maxLimitRefusals is the number of limit refusals that a call may retry
	// without using the retry budget. A refusal costs the endpoint very little.
	maxLimitRefusals = 5
	// limitReason is the reason given by an endpoint that is at its limit.
	limitReason = "limit"
)

// serve makes attempts until the final response is sent.
func (c *call) serve() {
	ctx, stop := context.WithDeadline(c.q.Context(), c.deadline)
	defer stop()
	c.ended, c.silent = make(chan *attempt), make(chan struct{}, 1)
	defer c.end()
	c.gateway.budget.Offer()
	c.last = attemptResult{outcome: retrier.NotRun, reason: "no-endpoint"}
	for more := true; more; more = c.await(ctx) {
		p, err := c.pick(ctx)
		if err != nil {
			c.gateway.budget.Refund(c.retry)
			c.giveUp(c.last, err)
			return
		}
		c.retry = retrier.Decision{}
		c.begin(ctx, p)
	}
}

// waitAfterLimitRefusal backs off after a refusal by an endpoint at its limit, so
// that gateways competing for its last capacity don't refuse their callers. It
// reports whether to try again without using the retry budget.
func (c *call) waitAfterLimitRefusal(ctx context.Context, a attemptResult) bool {
	if a.outcome != retrier.NotRun || a.reason != limitReason || c.limitRefusals >= maxLimitRefusals {
		return false
	}
	c.limitRefusals++
	select {
	case <-time.After(pickBackoff << c.limitRefusals):
		return true
	case <-ctx.Done():
		return false
	}
}

// decideRetry decides whether to make another attempt. A broken stream resumes at
// another endpoint of the same version, so a partly sent response does not rule
// out a retry.
func (c *call) decideRetry(a attemptResult) retrier.Decision {
	if c.isStopped() || !c.endsInTime() {
		return retrier.Decision{Reason: stopping}
	}
	return retrier.Decide(&c.gateway.budget, retrier.Attempt{
		Outcome: a.outcome, Idempotent: c.idempotent, Remaining: time.Until(c.deadline), Tries: c.tries,
	})
}

// pick returns the target of the next attempt. While all endpoints are at their
// limits it retries with exponential backoff for up to pickTimeout.
func (c *call) pick(ctx context.Context) (target, error) {
	begun := time.Now()
	for wait := pickBackoff; ; wait *= 2 {
		p, err := c.pickOnce()
		if err == nil || classifier.Of(err) != classifier.Exhausted || time.Since(begun)+wait > pickTimeout {
			return p, err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return target{}, err
		}
	}
}

func (c *call) pickOnce() (target, error) {
	if c.isStopped() || !c.endsInTime() {
		return target{}, errStopping
	}
	g := c.gateway
	s := g.replica.Current()
	c.mu.Lock()
	version := c.version
	c.mu.Unlock()
	err := error(&router.Error{Op: "pick endpoint", Kind: classifier.Unavailable, Err: errors.New("the failure domain is out")})
	if !s.IsOut(g.FailureDomain) || g.foreignEndpoints.Load() > 0 {
		var p router.Pick
		r := router.Request{Serves: c.serves, Version: version, Prefix: c.prefix, Exclude: c.excluded(s)}
		k := &g.picker
		if c.key != "" {
			// Hashing the key sends repeats through other gateways of the failure
			// domain to the same agent.
			r.Prefix, k = xxhash.Sum64String(c.key), &g.keyed
		}
		if p, err = k.Pick(r); err == nil {
			n := target{name: p.Endpoint.Instance, address: p.Endpoint.Address, version: p.Endpoint.Version, reason: string(p.Reason)}
			n.done = p.Done
			n.reportResult = func(failed bool) {
				if failed {
					p.Failed(time.Now())
				} else {
					p.Succeeded()
				}
			}
			return n, nil
		}
	}
	full := classifier.Of(err) != classifier.Exhausted
	if v, ok := g.pickDomain(c.serves, version, c.triedDomains, full); ok {
		n := target{name: v.domain, address: v.address, version: version, remote: true, reason: "spill-over"}
		n.done = g.domains.count(v.domain, c.serves)
		return n, nil
	}
	return target{}, err
}

// excluded returns the endpoints that must not be picked: those already tried,
// drained, or in a failure domain that is out.
func (c *call) excluded(s *registrar.State) []recorder.Name {
	hasForeignEndpoints := c.gateway.foreignEndpoints.Load() > 0
	if len(s.Drains) == 0 && !hasForeignEndpoints {
		return c.tried
	}
	out := slices.Clone(c.tried)
	for n := range s.Drains {
		out = append(out, n)
	}
	if hasForeignEndpoints {
		for e := range c.gateway.table.Each() {
			if s.IsOut(e.FailureDomain) {
				out = append(out, e.Instance)
			}
		}
	}
	return out
}

// giveUp sends the final error response. Its outcome is "not-run" only if no
// attempt may have run.
func (c *call) giveUp(last attemptResult, err error) {
	if !c.ran && (c.isStopped() || !c.endsInTime()) {
		c.refuse(stopping, stopProblem())
		return
	}
	p := problem.New(http.StatusServiceUnavailable, header.NotRun, last.detail)
	p.RetryAfter = last.retryAfter
	switch {
	case c.ran && last.outcome == retrier.Unknown && !c.idempotent:
		p = problem.New(http.StatusBadGateway, header.Unknown, last.detail)
	case c.ran:
		p = problem.New(http.StatusBadGateway, header.Failed, last.detail)
	case err != nil:
		p.Detail = err.Error()
		if last.detail != "" {
			p.Detail += "; " + last.detail
		}
	}
	late := !time.Now().Before(c.deadline)
	if c.ran && late {
		c.noteDuration()
	}
	if c.ran && (late || c.isStopped()) {
		p.Status, p.Title = http.StatusGatewayTimeout, http.StatusText(http.StatusGatewayTimeout)
	}
	reason := last.reason
	if err != nil {
		reason = classifier.Of(err).String()
	}
	c.refuse(reason, p)
}

// final logs, counts and writes the final response of a call that did not
// succeed.
func (c *call) final(reason string, p problem.Problem) {
	g := c.gateway
	p.RequestID = c.callerID
	g.Log.Info().Str("request-id", c.id).Str("serves", c.serves).Int("status", p.Status).Str("outcome", p.Outcome).
		Str("reason", reason).Str("detail", p.Detail).Dur("took-ms", time.Since(c.begun)).Msg("request refused")
	g.counters.request(c.q.Context(), c.serves, p.Outcome, time.Since(c.begun))
	if c.out != nil && c.out.Started() {
		if err := c.out.Fail(p.Encode()); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	p.Write(c.w)
}

// recordSuccess logs and counts a call that succeeded.
func (c *call) recordSuccess(a *attempt, status int) {
	g := c.gateway
	g.Log.Info().Str("request-id", c.id).Str("serves", c.serves).Str("endpoint", string(a.target.name)).Str("version", string(c.version)).
		Int("status", status).Int("tries", a.number).Dur("took-ms", time.Since(c.begun)).Msg("request completed")
	g.counters.request(c.q.Context(), c.serves, header.Run, time.Since(c.begun))
	if status < http.StatusBadRequest {
		c.noteDuration()
	}
}
