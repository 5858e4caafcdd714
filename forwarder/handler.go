package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sender"
	"github.com/eelgrassdrift/eelgrassdrift/internal/stopper"
	"github.com/eelgrassdrift/eelgrassdrift/isolator"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
	"github.com/eelgrassdrift/eelgrassdrift/retrier"
)

const (
	// maxTokens bounds the length of a prompt or an answer that a caller may state.
	maxTokens = 1 << 24
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxFailedDials bounds the failed dials of one call, which count neither as
	// attempts nor as retries.
	maxFailedDials = 4
	// startRetryAfter is the Retry-After time of a gateway that has no configuration yet: after a
	// loss of all power no gateway has one for about a second.
	startRetryAfter = time.Second
)

// Budget limits the retries of all gateways to a share of the requests plus a
// burst per window.
type Budget struct {
	// Share is the number of retries that each request adds.
	Share float64
	// Burst returns the number of unused retries that this gateway may accumulate at
	// present.
	Burst func() float64
}

// Handler is the HTTP handler for callers. Its fields are set before the first request.
type Handler struct {
	Headers    Headers
	Dispatcher *dispatcher.Dispatcher
	Transport  *Transport
	// DecodeNotice decodes what a response says about the requests that its endpoint wants.
	// Its result is used also beside an error. It may be nil.
	DecodeNotice func(status int, h http.Header) (dispatcher.Notice, error)
	// AskProcess asks the process at the address for its state. If it is nil, a process at an address that
	// accepts connections counts as the one that was there before.
	AskProcess func(ctx context.Context, a netip.AddrPort) (connector.ProcessState, error)
	// Table returns the current routing table, or nil if no configuration is known.
	Table  func() *resolver.Table
	Budget Budget
	// Observe is called with the result of each call; it may be nil.
	Observe func(Result)
	// WriteTimeout is how long a caller may take to accept a part of its response; 0
	// means sender.DefaultTimeout.
	WriteTimeout time.Duration
	// Isolator holds requests back that end their endpoints; nil means that none is.
	Isolator *isolator.Isolator
	// UnheldRoutes are the names of the routes whose requests are never held back. Endings under
	// them aren't counted.
	UnheldRoutes []string
	// ClaimTrial claims the next trial of a suspect for a request of this gateway, and reports
	// whether no other gateway can have it. ReturnTrial returns one that wasn't made. If they are
	// nil no trials are made.
	ClaimTrial  func(ctx context.Context, d isolator.Digest) bool
	ReturnTrial func(d isolator.Digest)
	Log         zerolog.Logger

	// endingChecks shares the checks whether a process has ended.
	endingChecks singleflight.Group

	// calls holds the calls that may be sent to endpoints.
	calls   sync.Map
	budgets sync.Map
	buffers receiver.Buffers
	// capacity is nil if the gateway doesn't know what it can take.
	capacity *Capacity
	// noticeErrors limits the log lines about notices.
	noticeErrors logLimiter
	// invalid counts the responses of endpoints that HTTP doesn't allow.
	invalid atomic.Int64
	// stopper knows how long the requests of each route usually take.
	stopper stopper.Stopper
}

// Result describes a finished call.
type Result struct {
	Route, Service string
	// Outcome is "served" or the reason of the failure, in kebab case.
	Outcome string
	Status  int
	Tries   int
	// Waited is the time in the queue, First the time to the first event or to the
	// complete response, and Total the time to the end of the call.
	Waited, First, Total time.Duration
}

// InvalidResponses returns the number of responses of endpoints that HTTP doesn't allow.
func (f *Handler) InvalidResponses() int64 { return f.invalid.Load() }

// noteInvalid counts the error of a response if HTTP doesn't allow the response.
func (f *Handler) noteInvalid(err error) {
	if header.IsInvalid(err) {
		f.invalid.Add(1)
	}
}

// BufferedBytes returns the size of the reserved body buffers.
func (f *Handler) BufferedBytes() int64 { return f.buffers.Used() }

func (f *Handler) budget(service string) *retrier.Budget {
	if b, ok := f.budgets.Load(service); ok {
		return b.(*retrier.Budget)
	}
	b, _ := f.budgets.LoadOrStore(service, &retrier.Budget{Share: f.Budget.Share, BurstFunc: f.Budget.Burst})
	return b.(*retrier.Budget)
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	start := time.Now()
	ctx, stop := context.WithCancel(q.Context())
	defer stop()
	w, done := f.stopper.Add(w, stop)
	defer done()
	if f.capacity != nil {
		w = &linkWriter{ResponseWriter: w, capacity: f.capacity}
	}
	w = &sender.Writer{ResponseWriter: w, Timeout: f.WriteTimeout}
	c := &call{
		handler: f, w: w, ctl: http.NewResponseController(w), start: start, id: q.Header.Get(f.Headers.RequestID),
		lease: &dispatcher.Lease{}, attempts: attempts{changed: make(chan struct{}, 1)}, buffers: receiver.Share{Of: &f.buffers},
	}
	if f.isForEndpoint(q) {
		c.answerMisdirected()
		return
	}
	t := f.Table()
	if t == nil {
		c.refuse("no-configuration", startRetryAfter)
		return
	}
	c.revision = t.Configuration.Revision
	if n := t.Configuration.Limits.HeaderBytes; n > 0 && headerBytes(q.Header) > n {
		c.answerStatus(http.StatusRequestHeaderFieldsTooLarge, "headers-too-large", nil)
		return
	}
	m, err := t.Resolve(q.Host, pathOf(q.RequestURI), bearer(q.Header))
	if err != nil {
		c.fail(classifier.Of(err), "not-allowed", err)
		return
	}
	defer c.buffers.Release()
	c.prepare(q, m)
	c.ranks = t.Ranks(c.service)
	if !c.endsInTime() {
		c.refuse(stopping, otherGatewayRetryAfter)
		return
	}
	limit := bodyLimit(t)
	if q.ContentLength > limit {
		// The rest of the connection is the body, which isn't read.
		w.Header().Set("Connection", "close")
		c.answerTooLarge(&http.MaxBytesError{Limit: limit})
		return
	}
	if !c.acquireCapacity(q) {
		return
	}
	defer c.returnCapacity()
	if !c.readBody(q, limit) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.ctx, c.cancel = ctx, cancel
	c.suspects = sync.OnceValue(c.newSuspects)
	f.calls.Store(c, nil)
	defer f.calls.Delete(c)
	if c.refuseIfHeld() {
		return
	}
	defer c.endTrial(false)
	f.budget(c.service).Offer()
	c.serve()
}

// pathOf returns the path of a request target without decoding or cleaning it.
func pathOf(uri string) string {
	if i := strings.Index(uri, "://"); i > 0 && !strings.HasPrefix(uri, "/") {
		if j := strings.IndexByte(uri[i+3:], '/'); j >= 0 {
			uri = uri[i+3+j:]
		}
	}
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// bearer returns the bearer token of the Authorization header, or "".
func bearer(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
