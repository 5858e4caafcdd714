package gateway

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/admitter"
	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/problem"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
	"github.com/eelgrassdrift/eelgrassdrift/router"
)

const (
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 8 << 20
	// maxCallerID and maxIdempotencyKey are the maximum lengths in bytes of IDs
	// that callers choose.
	maxCallerID       = 128
	maxIdempotencyKey = 255
)

func (g *Gateway) callerRoutes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", g.readyz)
	m.Handle("GET /metrics", g.Metrics.Handler)
	m.HandleFunc("/", g.serveCaller)
	return m
}

// attachTimeout is how long a gateway that has just started reports not ready
// while its table has no endpoints. Agents attach within a second. Afterwards the
// gateway reports ready without endpoints, because it can still forward requests
// to other failure domains.
const attachTimeout = 5 * time.Second

// readyz answers the load balancer's readiness check with 200 or 503.
func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	noEndpoints := len(g.table.All()) == 0 && time.Since(g.started) < attachTimeout
	if g.stopper.IsStopping() || !g.replica.CaughtUp() || noEndpoints {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveCaller authenticates, admits and serves one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, q *http.Request) {
	w, q, done := g.track(w, q)
	defer done()
	c := &call{gateway: g, w: w, q: q, id: uuid.NewString(), begun: time.Now(), buffers: receiver.Share{Of: &g.buffers}}
	defer c.buffers.Release()
	c.callerID = q.Header.Get(header.CallerID)
	if c.callerID == "" || len(c.callerID) > maxCallerID {
		c.callerID = c.id
	}
	w.Header().Set(header.CallerID, c.callerID)
	w.Header().Set(header.RequestID, c.id)
	if g.stopper.IsStopping() {
		w.Header().Set("Connection", "close")
	}
	if p := g.identify(c); p != nil {
		c.refuse("refused", *p)
		return
	}
	if !c.endsInTime() {
		c.refuse(stopping, stopProblem())
		return
	}
	g.meter.Offer(c.account.Name)
	t, err := g.admission(c.serves).Admit(q.Context(), admitter.Request{Account: &c.account.ClientAccount, Deadline: c.deadline})
	if err != nil {
		c.refuseAdmission(err)
		return
	}
	defer t.Done()
	c.serve()
}

func (c *call) refuseAdmission(err error) {
	if c.isStopped() {
		c.refuse(stopping, stopProblem())
		return
	}
	c.refuse("admission", admissionProblem(err))
}

func admissionProblem(err error) problem.Problem {
	p := problem.New(http.StatusTooManyRequests, header.NotRun, err.Error())
	var e *admitter.Error
	if errors.As(err, &e) {
		p.RetryAfter = e.RetryAfter
		p.Status = e.Kind.Status()
		p.Title = http.StatusText(p.Status)
	}
	return p
}

// identify authenticates the caller, reads the body and resolves the model or
// service. It returns nil, or the error response for a rejected call.
func (g *Gateway) identify(c *call) *problem.Problem {
	refuse := func(status int, detail string) *problem.Problem {
		p := problem.New(status, header.NotRun, detail)
		return &p
	}
	s := g.replica.Current()
	d, ok := authenticator.KeyDigest(c.q.Header.Get("Authorization"))
	if ok {
		c.account = s.AccountByKey(d)
	}
	if c.account == nil {
		c.w.Header().Set("WWW-Authenticate", "Bearer")
		return refuse(http.StatusUnauthorized, "a valid key is needed in the header Authorization")
	}
	b, err := receiver.Body(c.w, c.q, maxBody, c.begun.Add(c.gateway.RequestTimeout), &c.buffers)
	if errors.Is(err, os.ErrDeadlineExceeded) && g.stopper.IsCut() {
		p := stopProblem()
		return &p
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(http.StatusRequestTimeout, "the body is not complete after "+c.gateway.RequestTimeout.String())
	}
	if errors.Is(err, receiver.ErrNoBufferSpace) {
		return refuse(http.StatusServiceUnavailable, "no room for the body")
	}
	if err != nil {
		var m *http.MaxBytesError
		if errors.As(err, &m) {
			return refuse(http.StatusRequestEntityTooLarge, "the body is larger than 8 MiB")
		}
		return refuse(http.StatusBadRequest, "the body is not whole")
	}
	c.body, c.revision = b, s.Offset
	if c.q.URL.Path == completionsPath {
		return c.identifyModel(s)
	}
	return c.identifyService(s)
}

// completionsPath is the path of chat completions.
const completionsPath = "/v1/chat/completions"

// completion holds the fields of a completion request that routing needs.
// Engines accept further fields, so unknown ones are allowed.
type completion struct {
	Model    recorder.Name `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (c *call) identifyModel(s *registrar.State) *problem.Problem {
	p := problem.New(http.StatusBadRequest, header.NotRun, "")
	if c.q.Method != http.MethodPost {
		p = problem.New(http.StatusMethodNotAllowed, header.NotRun, "use POST")
		return &p
	}
	var v completion
	if err := json.Unmarshal(c.body, &v); err != nil {
		p.Detail = "the body is not a JSON completion request: " + err.Error()
		return &p
	}
	if v.Model.Check() != nil || s.Models[v.Model] == nil {
		p = problem.New(http.StatusNotFound, header.NotRun, "field model: no such model")
		return &p
	}
	c.serves, c.stream, c.idempotent = "model/"+string(v.Model), v.Stream, true
	if len(v.Messages) > 0 {
		c.prefix = router.PrefixHash(v.Messages[0].Content)
	}
	c.deadline = c.begun.Add(c.gateway.RequestTimeout)
	return nil
}

func (c *call) identifyService(s *registrar.State) *problem.Problem {
	v := s.ServiceByPath(c.q.URL.Path)
	if v == nil {
		p := problem.New(http.StatusNotFound, header.NotRun, "no service has this path")
		return &p
	}
	c.serves, c.idempotent = "service/"+string(v.Name), v.IsIdempotent(c.q.Method)
	c.deadline = c.begun.Add(v.Timeout.Std())
	if k := c.q.Header.Get(header.IdempotencyKey); !c.idempotent && k != "" {
		if len(k) > maxIdempotencyKey {
			p := problem.New(http.StatusBadRequest, header.NotRun, "the idempotency key is longer than 255 bytes")
			return &p
		}
		c.key = k
	}
	return nil
}

// refuse sends p as the final response. An unavailable response without a
// Retry-After gets one second.
func (c *call) refuse(reason string, p problem.Problem) {
	if p.Status == classifier.Unavailable.Status() && p.RetryAfter == 0 {
		p.RetryAfter = time.Second
	}
	c.final(reason, p)
}
