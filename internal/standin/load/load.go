package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/service"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxInFlight bounds the requests in flight, so that a system that answers
// nothing does not use up the machine.
const maxInFlight = 20_000

// Load is a run of the generator. Exported fields are set before Run.
type Load struct {
	// Targets are base URLs of gateways; requests go to them in turn, as through
	// the platform's load balancer.
	Targets []string
	// Probe is the time between two looks at /readyz of the targets; 0 sends to
	// all of them without a look.
	Probe    time.Duration
	Accounts []Account
	// Duration is the time in which requests are sent. Answers are awaited
	// longer, up to Timeout.
	Duration time.Duration
	// Timeout bounds each request; 0 means 30 s.
	Timeout time.Duration
	// Versions are the allowed versions of answers; empty allows all.
	Versions []string
	// Services are the URLs of the statistics of all services that execute the
	// bookings; empty makes no audit.
	Services []string
	Seed     uint64
	// Client sends the requests; nil means one with many idle connections.
	Client *http.Client

	balancer *balancer
	inFlight atomic.Int64
	mu       sync.Mutex
	calls    map[string]Outcome
}

// Run sends the load, waits for the answers and returns the report. When ctx
// ends, it sends nothing more and requests in flight are lost.
func (l *Load) Run(ctx context.Context) (Report, error) {
	if l.Client == nil {
		l.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute}}
	}
	if l.Timeout == 0 {
		l.Timeout = 30 * time.Second
	}
	l.calls = map[string]Outcome{}
	l.balancer = &balancer{targets: l.Targets, client: l.Client}
	if l.Probe > 0 {
		c, stop := context.WithCancel(ctx)
		defer stop()
		go l.balancer.probe(c, l.Probe)
	}
	start := time.Now()
	run := strconv.FormatInt(start.UnixNano(), 36)
	var tallies []*tally
	var wg sync.WaitGroup
	for _, a := range l.Accounts {
		for _, k := range []struct {
			kind string
			rate float64
		}{{kindChat, a.ChatPerSecond}, {kindCall, a.CallsPerSecond}, {kindRead, a.ReadsPerSecond}} {
			if k.rate <= 0 {
				continue
			}
			t := newTally(a.Name, k.kind)
			tallies = append(tallies, t)
			wg.Go(func() { l.drive(ctx, newPlan(a, k.kind, k.rate, l.Seed, run), t, start, &wg) })
		}
	}
	wg.Wait()
	r := Report{Seed: l.Seed, Elapsed: recorder.Duration(time.Since(start)), Reasons: map[string]int{}}
	for _, t := range tallies {
		r.Rows = append(r.Rows, t.report(r.Reasons))
	}
	if len(l.Services) == 0 {
		return r, nil
	}
	n, err := readExecutions(context.WithoutCancel(ctx), l.Client, l.Services)
	if err != nil {
		return r, err
	}
	r.Audit = compare(l.calls, n)
	return r, nil
}

// drive sends the requests of a plan at their times.
func (l *Load) drive(ctx context.Context, p *plan, t *tally, start time.Time, wg *sync.WaitGroup) {
	at := start
	for {
		at = at.Add(p.pause())
		if at.Sub(start) >= l.Duration || !standin.Sleep(ctx, time.Until(at)) {
			return
		}
		q, planned := p.next(at), at
		if l.inFlight.Load() >= maxInFlight {
			t.mu.Lock()
			t.row.Unsent++
			t.mu.Unlock()
			continue
		}
		t.mu.Lock()
		t.row.Sent++
		t.mu.Unlock()
		l.inFlight.Add(1)
		wg.Go(func() {
			defer l.inFlight.Add(-1)
			v := l.send(ctx, p.account, q, t, planned)
			t.end(v, time.Since(planned))
			if q.kind == kindCall {
				l.mu.Lock()
				l.calls[q.key] = v.outcome
				l.mu.Unlock()
			}
		})
	}
}

// send makes one request and checks its answer.
func (l *Load) send(ctx context.Context, a Account, q request, t *tally, planned time.Time) verdict {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	base := l.balancer.next()
	h, err := http.NewRequestWithContext(ctx, q.method, base+q.path, bytes.NewReader(q.body))
	if err != nil {
		return verdict{Failed, err.Error()}
	}
	h.Header.Set("X-Request-Id", q.id)
	if a.Key != "" {
		h.Header.Set("Authorization", "Bearer "+a.Key)
	}
	if q.header != "" {
		h.Header.Set("Idempotency-Key", q.header)
		// The transport of net/http repeats a POST with this header by itself when
		// a kept connection closes before the answer. Without GetBody it can't.
		h.GetBody = nil
	}
	if len(q.body) > 0 {
		h.Header.Set("Content-Type", "application/json")
	}
	r, err := l.Client.Do(h)
	if err != nil {
		return lost(ctx)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode >= http.StatusMultipleChoices {
		return status(r)
	}
	v := l.verify(r, q, t, planned)
	if v.outcome == Lost && ctx.Err() != nil {
		return lost(ctx)
	}
	return v
}

func lost(ctx context.Context) verdict {
	if ctx.Err() != nil {
		return verdict{Lost, "no final answer in time"}
	}
	return verdict{Lost, "no answer"}
}

func (l *Load) verify(r *http.Response, q request, t *tally, planned time.Time) verdict {
	switch q.kind {
	case kindChat:
		last := planned
		ids := []string{q.id}
		// The gateway names the id under which the engine worked.
		if id := r.Header.Get("Eelgrass-Request-Id"); id != "" {
			ids = append(ids, id)
		}
		if id := r.Header.Get("X-Request-Id"); id != "" {
			ids = append(ids, id)
		}
		c := check{
			body: q.body, ids: ids,
			version: r.Header.Get("Eelgrass-Version"), versions: l.Versions,
			seen: func() { last = t.token(planned, last, time.Now()) },
		}
		if q.streamed {
			return c.stream(r.Body)
		}
		return c.whole(r.Body)
	case kindCall:
		var b service.Booking
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			return verdict{Lost, "answer is cut"}
		}
		if b.Key != q.key {
			return verdict{WrongContent, "answer to another booking"}
		}
	default:
		var v struct {
			Path string `json:"path"`
		}
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			return verdict{Lost, "answer is cut"}
		}
		if v.Path != q.path {
			return verdict{WrongContent, "answer to another read"}
		}
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return verdict{Whole, ""}
}
